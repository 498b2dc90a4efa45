"""Odd entries in the list of runners, each beside sound runners that start after it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint.front.runners.fleet import Fleet
from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, new_request, plain_runner
from tests.front.odd_values.odd_documents import huge, nested, odd_registrations, with_value
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_core.serving.runner import Runner
    from sesamepoint_standins.platform.bench import PlatformBench

SETTLE_S = 3.0
# Time within which an entry is read, in seconds.
FOLLOW_S = 0.7
# Enough to be sent to each of a few runners; and beside one of many entries.
REQUESTS = 12
FEW_REQUESTS = 3


async def _check_followed(case: TestCase, bench: PlatformBench, label: str) -> None:
    """Check that callers are answered, and that a runner and an instance that start now are used."""
    late = plain_runner(len(bench.runners) + 1)
    bench.add_runner(late)
    await trio.sleep(SETTLE_S)
    number = len(bench.fronts) + 1
    bench.add_front(number)
    await bench.wait_until_ready()
    await _check_answered(case, bench, label)
    case.assertTrue(late.runs, f'{label}: a runner that started later gets nothing')


async def _check_answered(case: TestCase, bench: PlatformBench, label: str, requests: int = REQUESTS) -> None:
    """Check that requests at each instance are answered."""
    for name in bench.fronts:
        for _ in range(requests):
            answer = await bench.new_caller(name).send(new_request('/thumb/a'))
            case.assertEqual(answer.status, 200, f'{label} at {name}')


class OddEntriesTest(TestCase):
    """Instances follow the list of runners whatever one entry of it holds."""

    @in_virtual_time
    async def test_list_followed_after_nested_entry(self) -> None:
        """Guards against a list of runners that is never followed again after an entry that is nested deep."""
        for bracket in '[{':
            async with open_bench(configuration(), fleet(), fronts=2) as bench:
                bench.store.put_raw(
                    RUNNER_TOPIC, 'i-odd', with_value(plain_runner(9).registration, 'x', nested(100_000, bracket))
                )
                await trio.sleep(SETTLE_S)
                await _check_followed(self, bench, bracket)

    @in_virtual_time
    async def test_requests_answered_beside_huge_slots(self) -> None:
        """Guards against requests that end without an answer since a runner names more slots than a float holds."""
        for key in ('i-odd', 'i-web1'):
            async with open_bench(configuration(), fleet(), fronts=2) as bench:
                bench.store.put_raw(RUNNER_TOPIC, key, with_value(plain_runner(9).registration, 'slots', huge(400)))
                await trio.sleep(SETTLE_S)
                await _check_followed(self, bench, key)

    @in_virtual_time
    async def test_requests_answered_beside_any_odd_entry(self) -> None:
        """Guards against instances that stop over any field of an entry: nested, huge, out of range, malformed."""
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            odd = plain_runner(9)
            bench.network.listen(odd.address, odd.serve)
            for label, text in odd_registrations().items():
                bench.store.put_raw(RUNNER_TOPIC, odd.key, text)
                await trio.sleep(FOLLOW_S)
                await _check_answered(self, bench, label, FEW_REQUESTS)
            await _check_followed(self, bench, 'after all')

    @in_virtual_time
    async def test_requests_answered_beside_odd_names(self) -> None:
        """Guards against requests that end without an answer since a runner's name doesn't fit into a header."""
        for key in ('i-\r\nx: y', 'i-\0', 'i-\x7f', ' ', 'i 1', 'i-\u00e9'):
            async with open_bench(configuration(), fleet(), fronts=2) as bench:
                odd = plain_runner(9)
                bench.network.listen(odd.address, odd.serve)
                bench.store.put(RUNNER_TOPIC, key, odd.registration)
                await trio.sleep(SETTLE_S)
                await _check_answered(self, bench, repr(key))

    @in_virtual_time
    async def test_list_followed_after_record_that_fails(self) -> None:
        """Guards against a list that is never followed again after a record that decodes and can't be applied."""
        update, replace_all = Fleet.update, Fleet.replace_all

        def failing_update(fleet: Fleet, runner: Runner) -> None:
            if runner.key == 'i-odd':
                raise ArithmeticError(runner.key)
            update(fleet, runner)

        def failing_replace_all(fleet: Fleet, runners: Iterable[Runner]) -> None:
            for runner in runners:
                if runner.key == 'i-odd':
                    raise ArithmeticError(runner.key)
            replace_all(fleet, runners)

        with patch.object(Fleet, 'update', failing_update), patch.object(Fleet, 'replace_all', failing_replace_all):
            async with open_bench(configuration(), fleet(), fronts=2) as bench:
                bench.store.put(RUNNER_TOPIC, 'i-odd', plain_runner(9).registration)
                await trio.sleep(SETTLE_S)
                await _check_followed(self, bench, 'failing record')
