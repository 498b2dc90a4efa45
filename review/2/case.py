"""Runners start again at another version while the store is down; at which versions do streams go on?

Exit status: 1 if more than two streams hold pieces of two versions, 0 if not, 2 if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from itertools import count, cycle
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import http, instances, platform

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 2
# Each stream has 13 pieces, one each 0.14 s: 1.8 s of the 3 s that its client waits.
EVENTS = 13
PAUSE_S = 0.14
DEADLINE_MS = 3000
REQUEST_INTERVAL_S = 0.03
# When the store goes down, and for how long.
DOWN_AFTER_S = 6.0
DOWN_S = 4.5
# When in that time the two last runners of the old version crash, and how long each is down.
CRASHES_AT_S = (0.3, 2.3)
RUNNER_DOWN_S = 0.6
# The requests a second that each runner names in its answers; the load stays far below it.
LIMIT = '30'
OLD, NEW = 'v1', 'v2'
ALLOWED_STREAMS = 2
SEND_FOR_S = 10.0
# Two of seven are still at the old version; one crashes at a time, a share of 0.143.
KEYS = tuple(f'i-engine-{number}' for number in range(1, 8))
LATE_KEYS = KEYS[:2]
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'tag', 'host': 'boats.example', 'path_prefix': '/tag/', 'kind': 'streaming',
            'service': 'llm', 'timeout_ms': 3000, 'target_latency_ms': 250, 'gap_aim_ms': 150, 'priority': 0,
            'max_attempts': 2, 'resumable': True,
        }
    ],
    'services': [
        {
            'name': 'llm', 'health_path': '/healthz', 'max_conns': 210,
            'engine': {'slots': 24, 'kv_tokens': 548319, 'kv_bytes': 18432, 'link_mbps': 370000.0},
        }
    ],
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

    def write(self, text: str, when: float = 0) -> None:
        self._file.write(f'{(when or time.monotonic()) - self._began:8.3f} {text}\n')
        self._file.flush()


def registration(address: str, options: dict) -> dict:
    return {
        'service': 'llm', 'address': address, 'zone': 'zone-front-1', 'version': options['version'], 'slots': 24,
        'state': 'ready', 'cold_remaining_ms': 0, 'sequence': 0, 'stage': 'decode', 'born': options['born'],
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    }


async def send_stream(instance: instances.Instance, number: int, record: Record, found: list) -> None:
    """Send one request for a stream, and note what its client gets."""
    request_id = f'{number:016x}'
    headers = {
        'Host': 'boats.example', 'Authorization': 'Bearer key-of-harbor',
        'Sesamepoint-Request-Id': request_id, 'Sesamepoint-Model': 'm',
        'Sesamepoint-Token-Count': f'300,{EVENTS}', 'Sesamepoint-Prompt-Prefix': f'5c1e07a2:100,{request_id}:200',
        'Sesamepoint-Deadline-Ms': str(DEADLINE_MS),
    }
    reader, writer = await asyncio.open_connection(instance.host, instance.port)
    try:
        writer.write(http.encode_request('POST', '/tag/1', headers, b'a hull to tag'))
        response = await asyncio.wait_for(http.read_response(reader), DEADLINE_MS / 1000 + 1)
    except (OSError, asyncio.TimeoutError) as exc:
        record.write(f'answer {request_id} from {instance.name}: {type(exc).__name__}')
        return
    finally:
        writer.close()
    if response is None:
        record.write(f'answer {request_id} from {instance.name}: broken off, as its client can tell')
        return
    pieces = response.body.count(b'\n\n')
    stamp = response.headers.get('sesamepoint-server-stamp', 'none')
    record.write(f'answer {request_id} from {instance.name}: {response.status}, complete, {pieces} pieces, stamp {stamp}')
    if response.status == 200:
        versions = [version for version in (OLD, NEW) if f'build {version}'.encode() in response.body]
        found.append((request_id, versions))


async def play(folder: Path, record: Record) -> int:
    store = platform.Store()
    store_server = await http.serve(store.handle, '127.0.0.1')
    store.put('keyed.op', 'config', CONFIGURATION)
    runs = folder / 'runs'
    addresses = {key: f'127.0.0.1:{instances.free_port("127.0.0.1")}' for key in KEYS}
    engines = {}
    fronts = [instances.Instance(n + 1, folder, http.address_of(store_server)) for n in range(INSTANCES)]
    peer_port = instances.common_port(fronts)
    answers: list = []
    options_of: dict = {}

    def start(key: str, version: str) -> None:
        born = int(time.time() * 1000)
        options_of[key] = {
            'events': EVENTS, 'pause_s': PAUSE_S, 'framed': True, 'version': version, 'born': born, 'limit': LIMIT,
        }
        program = str(HERE.parent / 'standins' / 'engine.py')
        command = [sys.executable, program, key, addresses[key], str(runs), json.dumps(options_of[key])]
        engines[key] = subprocess.Popen(command)

    try:
        for key in KEYS:
            start(key, OLD if key in LATE_KEYS else NEW)
            store.put('keyed.servers', key, registration(addresses[key], options_of[key]))
        for front in fronts:
            front.write_settings(peer_port)
            front.start()
        for front in fronts:
            if not await front.wait_ready():
                record.write(f'{front.name} did not get ready')
                return 2
        await asyncio.sleep(1)
        began = time.monotonic()
        tasks = []

        async def crash(key: str, at_s: float) -> None:
            await asyncio.sleep(at_s)
            engines[key].kill()
            engines[key].wait()
            record.write(f'{key} crashes')
            await asyncio.sleep(RUNNER_DOWN_S)
            start(key, NEW)
            record.write(f'{key} starts again under its id, at version {NEW}')
            # It registers at once, and again at each heartbeat, until the store accepts that.
            while store.down:
                await asyncio.sleep(0.05)
            store.put('keyed.servers', key, registration(addresses[key], options_of[key]))

        async def trouble() -> None:
            await asyncio.sleep(DOWN_AFTER_S)
            store.down = True
            record.write('the store is down')
            crashes = [asyncio.ensure_future(crash(key, at_s)) for key, at_s in zip(LATE_KEYS, CRASHES_AT_S)]
            await asyncio.sleep(DOWN_S)
            store.down = False
            record.write('the store is back')
            await asyncio.gather(*crashes)

        if TROUBLE:
            tasks.append(asyncio.ensure_future(trouble()))
        for number, front in zip(count(1), cycle(fronts)):
            if time.monotonic() - began > SEND_FOR_S:
                break
            tasks.append(asyncio.ensure_future(send_stream(front, number, record, answers)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)
    finally:
        for process in engines.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for front in fronts:
            front.end()
    for line in runs.read_text().splitlines():
        when, _, text = line.partition(' ')
        record.write(f'run: {text}', float(when))
    if not answers:
        record.write('no stream was served')
        return 2
    mixed = [request_id for request_id, versions in answers if len(versions) > 1]
    for request_id in mixed:
        record.write(f'MIXED: stream {request_id} holds pieces of versions {OLD} and {NEW}')
    record.write(f'{len(answers)} streams served, {len(mixed)} of them with pieces of two versions')
    return 1 if len(mixed) > ALLOWED_STREAMS else 0


def main() -> int:
    record = Record()
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(play(Path(folder), record))
        except Exception as exc:
            record.write(f'could not run: {exc!r}')
            return 2


if __name__ == '__main__':
    sys.exit(main())
