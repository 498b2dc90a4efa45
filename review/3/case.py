"""Instances are stopped and started in turn; who sends usage reports meanwhile?

Exit status: 1 if holders of the duty acted in the order A, B, A within the lease time
(or one of the other bounds on holders was broken), 0 if not, 2 if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from itertools import cycle, count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import http, instances, platform, runners

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 3
LEASE_S = 3.0
GRACE_S = 8.0
# Pause between two stops, and the delay after which the platform starts a process that has ended.
GAP_S = 1.0
RESTART_S = 0.3
END_AFTER_S = 108.0
# A round begins so long after a usage report, and only after so long a time of calm.
AFTER_REPORT_S = 2.0
CALM_S = 3.0
WINDOW_S = 5.0
MORE_SETTINGS = """cloud.address={usage}
cloud.rate_per_s=50.0
cloud.duties=usage
cloud.duty_per_s=50.0
bounds.usage_window_s=5
bounds.usage_off=0.05
bounds.usage_late_s=10
"""
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'thumb', 'host': 'boats.example', 'path_prefix': '/thumb/', 'kind': 'idempotent',
            'service': 'web', 'timeout_ms': 1000, 'target_latency_ms': 200, 'priority': 0, 'max_attempts': 2,
        }
    ],
    'services': [{'name': 'web', 'health_path': '/healthz', 'max_conns': 110}],
    'limits': {
        'max_header_bytes': 16384, 'max_body_bytes': 100000, 'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
    },
    'tenants': [{'name': 'harbor', 'api_keys': ['key-of-harbor']}],
}


class Record:
    """Lines of record.txt, with times since the start."""

    def __init__(self) -> None:
        self._file = (HERE / 'record.txt').open('w')
        self._began = time.monotonic()

    def at(self, when: float) -> float:
        return when - self._began

    def write(self, when: float, text: str) -> None:
        self._file.write(f'{self.at(when):9.3f} {text}\n')
        self._file.flush()


async def send_requests(found: list, record: Record, stopped: set) -> None:
    """Send requests of a client to the ready instances in turn, on new connections."""
    for number, instance in zip(count(), cycle(found)):
        await asyncio.sleep(0.1)
        if instance in stopped:
            continue
        request_id = f'{number:016x}'
        headers = {
            'Host': 'boats.example', 'Authorization': 'Bearer key-of-harbor',
            'Sesamepoint-Request-Id': request_id, 'Sesamepoint-Deadline-Ms': '1000',
        }
        status = 'no answer'
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(instance.host, instance.port), 1)
            writer.write(http.encode_request('GET', '/thumb/1', headers))
            response = await asyncio.wait_for(http.read_response(reader), 1.5)
            status = str(response.status) if response else status
            writer.close()
        except (OSError, asyncio.TimeoutError) as exc:
            status = type(exc).__name__
        record.write(time.monotonic(), f'request {request_id} to {instance.name}: {status}')


def broken_rules(calls: list) -> list:
    """Return what breaks the rule ONE, from what the platform saw."""
    broken = []
    counts: dict = {}
    holders: dict = {}
    highest = -1
    for number, (when, holder, fence, window, of_window) in enumerate(calls):
        if counts.setdefault(window, of_window) != of_window:
            broken.append((when, f'window {window} was reported with different counts'))
        if holders.setdefault(fence, holder) != holder:
            broken.append((when, f'fence {fence} has two holders'))
        if fence < highest:
            broken.append((when, f'fence {fence} after {highest}'))
        highest = max(highest, fence)
        recent = [call[1] for call in calls[:number] if when - call[0] < LEASE_S]
        turn = recent[recent.index(holder) :] if holder in recent else []
        if any(other != holder for other in turn):
            broken.append((when, f'A, B, A within {LEASE_S} s: {", ".join([*turn, holder])}'))
    return broken


async def wait_after_report(usage: platform.UsageEndpoint) -> str:
    """Wait until the given time after a report of a window; return who sent the last report."""
    while not usage.calls:
        await asyncio.sleep(0.05)
    since_s = time.monotonic() - usage.calls[-1][0]
    await asyncio.sleep((AFTER_REPORT_S - since_s) % WINDOW_S)
    return usage.calls[-1][1]


async def roll(found: list, record: Record, stopped: set) -> None:
    """Stop and start the instances in turn."""

    async def stop(instance: instances.Instance) -> None:
        record.write(time.monotonic(), f'SIGTERM to {instance.name}')
        stopped.add(instance)
        await instance.stop_and_start(GRACE_S, RESTART_S)
        record.write(time.monotonic(), f'{instance.name} started again')
        if await instance.wait_ready():
            stopped.discard(instance)

    stops = []
    for instance in found:
        stops.append(asyncio.ensure_future(stop(instance)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*stops)


async def play(folder: Path, record: Record) -> int:
    store, usage, runner = platform.Store(), platform.UsageEndpoint(), runners.Runner('i-web-1', 'web')
    store_server = await http.serve(store.handle, '127.0.0.1')
    usage_server = await http.serve(usage.handle, '127.0.0.1')
    runner_server = await http.serve(runner.handle, '127.0.0.1')
    runner.address = http.address_of(runner_server)
    store.put('keyed.op', 'config', CONFIGURATION)
    store.put('keyed.servers', runner.key, runner.registration)
    settings = MORE_SETTINGS.replace('{usage}', http.address_of(usage_server))
    found = [instances.Instance(n + 1, folder, http.address_of(store_server), settings) for n in range(INSTANCES)]
    peer_port = instances.common_port(found)
    stopped: set = set()
    began = time.monotonic()
    reported = 0

    async def note_calls() -> None:
        nonlocal reported
        while True:
            await asyncio.sleep(0.05)
            for when, holder, fence, window, of_window in usage.calls[reported:]:
                reported += 1
                record.write(when, f'usage of window {window} from {holder} with fence {fence}: {of_window}')

    try:
        for instance in found:
            instance.write_settings(peer_port)
            instance.start()
        for instance in found:
            if not await instance.wait_ready():
                record.write(time.monotonic(), f'{instance.name} did not get ready')
                return 2
        tasks = [asyncio.ensure_future(send_requests(found, record, stopped)), asyncio.ensure_future(note_calls())]
        while time.monotonic() - began < END_AFTER_S - 22:
            await asyncio.sleep(CALM_S)
            holder = await wait_after_report(usage)
            if TROUBLE:
                # As for a roll of the leader: the machine that acted last is stopped first.
                await roll(sorted(found, key=lambda one: one.name != holder), record, stopped)
        await asyncio.sleep(max(END_AFTER_S - 5 - (time.monotonic() - began), 1))
        for task in tasks:
            task.cancel()
    finally:
        for instance in found:
            instance.end()
    if not usage.calls:
        record.write(time.monotonic(), 'no usage was reported')
        return 2
    broken = broken_rules(usage.calls)
    for when, text in broken:
        record.write(when, f'BROKEN: {text}')
    record.write(time.monotonic(), f'{len(usage.calls)} reports, {len(broken)} times broken')
    return 1 if broken else 0


def main() -> int:
    record = Record()
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(play(Path(folder), record))
        except Exception as exc:
            record.write(time.monotonic(), f'could not run: {exc!r}')
            raise SystemExit(2) from exc


if __name__ == '__main__':
    sys.exit(main())
