"""Accounts at engines that are short, in virtual time, with the loads of :mod:`tests.front.fair_share.account_load`.

Small accounts ask for less than their shares, so they must be served nearly as if they were alone.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.fair_share.work import WorkGroup
from sesamepoint.front.fair_share.work_messages import AccountWorkMessage
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, engine, new_prompt_request
from tests.front.burst import FRONTS
from tests.front.fair_share.account_load import (
    FLOOD,
    IMPATIENT_FLOOD,
    LARGE,
    LEAVING_FLOOD,
    SMALL,
    AccountLoad,
    accounts_configuration,
    run_load,
)
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.fair_share.fair_shares import AccountStanding
    from sesamepoint_core.fair_share.methods import ShareDecision
    from sesamepoint_standins.platform.runner import RunnerStandIn

LOAD_S = 3.0
# Share of their requests that small accounts must have served: alone they have nearly all.
MIN_SERVED = 0.8
# The same while instances or messages fail: requests at a killed instance are lost.
MIN_SERVED_WITH_FAULTS = 0.65


class FloodTest(TestCase):
    """One account sends twenty times its usual load."""

    @in_virtual_time
    async def test_small_accounts_keep_their_share(self) -> None:
        """Guards against small accounts that are refused because of one that floods the engines."""
        load = await run_load(FLOOD, Random(1), load_s=LOAD_S)
        self.assertGreater(load.served_share(*SMALL), MIN_SERVED)

    @in_virtual_time
    async def test_immediate_retries(self) -> None:
        """Guards against an account that gets more because its callers retry at once and ignore retry times."""
        load = await run_load(IMPATIENT_FLOOD, Random(2), load_s=LOAD_S)
        self.assertGreater(load.served_share(*SMALL), MIN_SERVED)

    @in_virtual_time
    async def test_callers_that_disconnect(self) -> None:
        """Guards against an account whose work does not count because its callers disconnect early."""
        load = await run_load(LEAVING_FLOOD, Random(3), load_s=LOAD_S)
        self.assertGreater(load.served_share(*SMALL), MIN_SERVED)


class FaultTest(TestCase):
    """A flood while instances or messages fail."""

    @in_virtual_time
    async def test_instance_killed(self) -> None:
        """Guards against shares that depend on one instance."""

        async def kill(bench: PlatformBench) -> None:
            bench.kill_front('front-2')
            bench.fronts.pop('front-2')

        load = await _run_with_fault(kill)
        self.assertGreater(load.served_share(*SMALL), MIN_SERVED_WITH_FAULTS)

    @in_virtual_time
    async def test_all_restarted(self) -> None:
        """Guards against shares that are not learnt again after all instances restart."""

        async def restart(bench: PlatformBench) -> None:
            for name in list(bench.fronts):
                bench.kill_front(name)
                bench.add_front(int(name.rpartition('-')[2]))
            await bench.wait_until_ready()

        load = await _run_with_fault(restart)
        self.assertGreater(load.served_share(*SMALL), MIN_SERVED_WITH_FAULTS)

    @in_virtual_time
    async def test_one_way_link(self) -> None:
        """Guards against an instance that starves small accounts because it gets no messages but sends them."""

        async def make_deaf(bench: PlatformBench) -> None:
            bench.fronts['front-1'].peers.handlers[AccountWorkMessage] = _drop

        load = await _run_with_fault(make_deaf)
        self.assertGreater(load.served_share(*SMALL), MIN_SERVED)

    @in_virtual_time
    async def test_messages_lost_doubled_and_late(self) -> None:
        """Guards against shares that are wrong when messages are lost, doubled or late."""

        async def garble(bench: PlatformBench) -> None:
            for front in bench.fronts.values():
                handlers = front.peers.handlers
                handlers[AccountWorkMessage] = _Garbler(handlers[AccountWorkMessage]).on_message

        load = await _run_with_fault(garble)
        self.assertGreater(load.served_share(*SMALL), MIN_SERVED)

    @in_virtual_time
    async def test_account_removed_while_it_waits(self) -> None:
        """Guards against requests of a removed account that wait for ever or block the queue."""

        async def remove(bench: PlatformBench) -> None:
            self.assertGreater(sum(front._components.engine_queue.count() for front in bench.fronts.values()), 0)
            bench.publish(accounts_configuration(2, SMALL))

        load = await _run_with_fault(remove)
        self.assertGreater(load.served_share(*SMALL), MIN_SERVED)
        waiting = sum(front._components.engine_queue.count() for front in load.bench.fronts.values())
        self.assertEqual(waiting, 0)


class NoAccountsTest(TestCase):
    """Deployments without accounts."""

    @in_virtual_time
    async def test_nothing_counted_or_sent(self) -> None:
        """Guards against fair shares that take effect, or cost messages, where the configuration has no accounts."""
        async with open_bench(configuration(), _engines(), fronts=2) as bench:
            received: list[object] = []
            for front in bench.fronts.values():
                front.peers.handlers[AccountWorkMessage] = received.append
            for _ in range(20):
                answer = await bench.new_caller('front-1').send(new_prompt_request('/tag/a'))
                self.assertEqual(answer.status, 200)
            await trio.sleep(2)
            self.assertEqual(received, [])
            self.assertEqual(bench.fronts['front-1']._components.account_shares.shares.meter.count(), 0)

    @in_virtual_time
    async def test_decisions_as_before(self) -> None:
        """Guards against an engine queue that orders or refuses by work which was counted for accounts earlier."""
        async with open_bench(configuration(), _engines(), fronts=FRONTS) as bench:
            for front in bench.fronts.values():
                account_shares = front._components.account_shares
                account_shares.method = _fail_to_decide
                account_shares.shares.note_offered(WorkGroup('llm'), '', 100, trio.current_time())
                account_shares.shares.note_used(WorkGroup('llm'), '', 10, trio.current_time())
            load = AccountLoad(bench, Random(1))
            await load.run(FLOOD, 1)
            # Some are late or refused, so the engines were short.
            self.assertLess(load.mean_worth(*SMALL, LARGE), 1)


class _Garbler:
    """Loses each third message, doubles each second one, and delivers an old one again after each."""

    def __init__(self, handler: Callable[[AccountWorkMessage], None]) -> None:
        self._handler = handler
        self._messages: list[AccountWorkMessage] = []

    def on_message(self, message: AccountWorkMessage) -> None:
        """Pass a message on, or not."""
        self._messages.append(message)
        count = len(self._messages)
        if count % 3:
            self._handler(message)
        if count % 2:
            self._handler(message)
        self._handler(self._messages[count // 2])


def _fail_to_decide(standing: AccountStanding) -> ShareDecision:
    """Fail, since no decision may depend on the standing of an account."""
    raise AssertionError(standing)


def _drop(_: AccountWorkMessage) -> None:
    """Drop a message."""


def _engines() -> list[RunnerStandIn]:
    return [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 7)]


async def _run_with_fault(fault: object) -> AccountLoad:
    """Run a flood, and cause ``fault`` after a third of it."""
    async with open_bench(accounts_configuration(), _engines(), fronts=FRONTS) as bench:
        load = AccountLoad(bench, Random(4))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, FLOOD, LOAD_S)
            await trio.sleep(LOAD_S / 3)
            await fault(bench)  # type: ignore[operator]
        return load
