"""Start of instances, all at the same moment: imports, and the time to the first served request."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint.front.quarantine.quarantine import STARTUP_HOLD_S
from sesamepoint.platform.wire_names import INSTANCE_TOPIC, QUARANTINE_TOPIC
from sesamepoint_standins.platform.bench import PlatformBench
from tests.front.builders import configuration, fleet, new_prompt_request, new_request
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_standins.platform.caller import CallerAnswer

FRONTS = 30
STATUS_OK = 200
# Two connections and two calls one after the other, and the work of a plain request.
MAX_FIRST_ANSWER_S = 0.2
MAX_DIFFERENCE_S = 0.01
OUTAGE_S = 0.5
# The longest pause of an instance that can't serve yet, and the above.
MAX_AFTER_RETURN_S = 0.4 + MAX_FIRST_ANSWER_S
# Modules that a front process does not need before it serves. The first ones are
# parts of libraries; then the modules of the older commands.
NOT_AT_START = (
    'certifi',
    'email',
    'html',
    'http',
    'importlib.metadata',
    'importlib.resources',
    'prometheus_client',
    'wsgiref',
    'grpclib',
    'h2',
    'hypercorn',
    'json5',
    'pydantic',
    'sesamepoint.agent',
    'sesamepoint.control',
    'sesamepoint.entry',
    'sesamepoint.front.telemetry.metrics_page',
    'sesamepoint.keys',
    'sesamepoint.link',
    'sesamepoint.process.process_builders',
    'sesamepoint.settings',
)
LIST_MODULES = 'import sys, sesamepoint.cli, sesamepoint.process.front_process; print(*sys.modules)'


class ImportTest(TestCase):
    """The modules that a front process imports before it serves."""

    def test_modules_not_needed_at_start(self) -> None:
        """Guards against imports that delay each start: those named here took a tenth of its processor time."""
        command = [sys.executable, '-c', LIST_MODULES]
        run = subprocess.run(command, capture_output=True, check=True, text=True)  # noqa: S603
        imported = set(run.stdout.split())
        self.assertIn('sesamepoint.front.front', imported)
        self.assertEqual(sorted(imported.intersection(NOT_AT_START)), [])


class FirstAnswerTest(TestCase):
    """Thirty instances start at once, and a caller of each sends a request at the same moment."""

    @in_virtual_time
    async def test_all_started_at_once(self) -> None:
        """Guards against requests that wait for more than the configuration and the list of runners."""
        for answer in await _first_answers(_no_fault):
            self.assertEqual(answer.status, STATUS_OK)
            self.assertLess(answer.took_s, MAX_FIRST_ANSWER_S)

    @in_virtual_time
    async def test_list_of_instances_slow(self) -> None:
        """Guards against requests that wait for the list of instances."""
        for answer in await _first_answers(_slow_list_of_instances):
            self.assertEqual(answer.status, STATUS_OK)
            self.assertLess(answer.took_s, MAX_FIRST_ANSWER_S)

    @in_virtual_time
    async def test_list_of_quarantined_requests_slow(self) -> None:
        """Guards against requests that wait for the list of quarantined requests beyond the limit of that wait."""
        for answer in await _first_answers(_slow_list_of_quarantined_requests):
            self.assertEqual(answer.status, STATUS_OK)
            self.assertLess(answer.took_s, STARTUP_HOLD_S + MAX_FIRST_ANSWER_S)

    @in_virtual_time
    async def test_inventories_refused(self) -> None:
        """Guards against prompts that wait for the prefix inventories of engines: none comes, and none is later."""
        latest = []
        for fault in (_no_fault, _refuse_inventories):
            answers = await _first_answers(fault, prompts=True)
            self.assertEqual({answer.status for answer in answers}, {STATUS_OK})
            latest.append(max(answer.first_byte_s for answer in answers))
        self.assertLess(latest[1], latest[0] + MAX_DIFFERENCE_S)

    @in_virtual_time
    async def test_store_returns_later(self) -> None:
        """The store returns 0.5 s after the start; guards against requests held for longer than a first retry."""
        for answer in await _first_answers(_store_down):
            self.assertEqual(answer.status, STATUS_OK)
            self.assertLess(answer.took_s, OUTAGE_S + MAX_AFTER_RETURN_S)


async def _first_answers(fault: Callable[[PlatformBench], None], *, prompts: bool = False) -> list[CallerAnswer]:
    answers: list[CallerAnswer] = []
    async with trio.open_nursery() as nursery:
        bench = PlatformBench(nursery)
        bench.publish(configuration())
        for runner in fleet():
            bench.add_runner(runner)
        fault(bench)
        for number in range(1, FRONTS + 1):
            bench.add_front(number)

        async def ask(number: int) -> None:
            request = new_prompt_request('/tag/a') if prompts else new_request('/thumb/a')
            answers.append(await bench.new_caller(f'front-{number}').send(request))

        async with trio.open_nursery() as callers:
            for number in range(1, FRONTS + 1):
                callers.start_soon(ask, number)
            if bench.store.unavailable:
                await trio.sleep(OUTAGE_S)
                bench.store.unavailable = False
        nursery.cancel_scope.cancel()
    return answers


def _no_fault(_: PlatformBench) -> None:
    """Leave the deployment as it is."""


def _slow_list_of_instances(bench: PlatformBench) -> None:
    bench.store.topic_delays_s = {INSTANCE_TOPIC: 0.8}


def _slow_list_of_quarantined_requests(bench: PlatformBench) -> None:
    bench.store.topic_delays_s = {QUARANTINE_TOPIC: 0.8}


def _refuse_inventories(bench: PlatformBench) -> None:
    for runner in bench.runners.values():
        runner.serves_inventory = False


def _store_down(bench: PlatformBench) -> None:
    bench.store.unavailable = True
