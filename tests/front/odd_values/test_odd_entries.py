"""Odd entries in the list of runners, each beside sound runners that start after it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, new_request, plain_runner
from tests.front.odd_values.odd_documents import huge, nested, odd_registrations, with_value
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench

SETTLE_S = 3.0
# Many at once: what one of them breaks, all sound runners show.
BATCH = 40


async def _check_followed(case: TestCase, bench: PlatformBench, label: str) -> None:
    """Check that callers are answered, and that a runner and an instance that start now are used."""
    late = plain_runner(len(bench.runners) + 1)
    bench.add_runner(late)
    await trio.sleep(SETTLE_S)
    number = len(bench.fronts) + 1
    bench.add_front(number)
    await bench.wait_until_ready()
    for name in bench.fronts:
        for _ in range(12):
            answer = await bench.new_caller(name).send(new_request('/thumb/a'))
            case.assertEqual(answer.status, 200, f'{label} at {name}')
    case.assertTrue(late.runs, f'{label}: a runner that started later gets nothing')


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
