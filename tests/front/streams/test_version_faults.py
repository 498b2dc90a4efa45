"""Random faults against streams over several attempts, by fixed seeds, and a faulty variant that they catch."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest import TestCase
from unittest.mock import patch

from sesamepoint.front.requests import start_check
from sesamepoint.front.runners.incarnation_check import FarEnd, check_incarnation
from sesamepoint.front.runners.fleet_member import Member
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.streams.version_faults import run_seed

if TYPE_CHECKING:
    from sesamepoint.front.requests.job import Job
    from sesamepoint.http1.client import ClientConn

# Add each seed that fails, with a line on the cause.
# 1: streams began at a runner that had restarted at another version, while the store was down.
SEEDS = (1, 2, 30, 53)
# With rate limits, rejections and hidden starts too. 3, 17: the start of a runner with a rate limit was not checked.
SEEDS_WITH_STATUS = (3, 17)


class VersionFaultsTest(TestCase):
    """Versions that come and go, and instances that fail."""

    def test_no_violations(self) -> None:
        """Guards against streams of two versions, and take-ups that are refused for no reason, under random faults."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(run_seed, seed, seed=seed), [])

    def test_no_violations_with_status(self) -> None:
        """Guards against the same where runners name rate limits, reject requests or hide their start."""
        for seed in SEEDS_WITH_STATUS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(run_seed, seed, True, seed=seed), [])

    def test_without_check_at_rate_limits(self) -> None:
        """Guards against faults that never restart a runner with a rate limit unseen."""
        with patch.object(start_check, 'check_incarnation', _unchecked_at_limit):
            violations = [run_virtual(run_seed, seed, True, seed=seed) for seed in SEEDS_WITH_STATUS]
        self.assertTrue(any(violations))

    def test_without_origins(self) -> None:
        """Guards against faults that break nothing: if any runner may go on, streams hold two versions."""
        self.assertTrue(self._violations_with(Member, 'of_origin', lambda member, origin: True))

    def test_without_checked_connections(self) -> None:
        """Guards against faults that never restart a runner unseen."""
        self.assertTrue(self._violations_with(start_check, 'check_incarnation', _never_checked))

    def _violations_with(self, owner: Any, name: str, faulty: Any) -> list[str]:
        with patch.object(owner, name, faulty):
            return run_virtual(run_seed, SEEDS[0], seed=SEEDS[0])


async def _unchecked_at_limit(member: Member, conn: ClientConn, job: Job) -> FarEnd:
    limited = member._runner_statuses.limits.limited(member.incarnation)  # noqa: SLF001
    return FarEnd.expected if limited else await check_incarnation(member, conn, job)


async def _never_checked(*_: object) -> FarEnd:
    return FarEnd.expected
