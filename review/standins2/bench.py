"""Starts fronts with the command of the deploy file and runners as processes, and calls the fronts as clients do."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from standins2.http import Closed, head_bytes, read_response
from standins2.store import Store

REVIEW = Path(__file__).resolve().parent.parent
ROOT = REVIEW.parent
# Figures of DEPLOY.md and of the sheet of qalin-fit.
SETTINGS = """node={name}
role=front
machine_class=front
serves=front
ip={host}
zone=lhr-gulberg
region=lahore
listen.front={host}:{front}
listen.ready={host}:{ready}
port_range={peer},{peer}
bootstrap=true
limits.cpu_share=0.817
limits.cores=1
limits.memory_mb=300
limits.max_fds={max_fds}
limits.link_mbps=1000.0
heartbeat_ms=1200
bounds.stable_window_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.lost_slack_ms=200
bounds.config_apply_ms=2000
bounds.retry_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=52
bounds.lease_ms=3000
bounds.thaw_ms=300
platform.address={store}
{extra}
"""
HOST_NAME = 'book.example'
START_TIMEOUT_S = 40.0


class CannotRun(Exception):
    """The case could not be played."""


def configuration(version, routes=None, **more):
    """Return a configuration with the two plain routes of qalin-fit."""
    plain = [
        route('crew-notice', '/crew/', 'non_idempotent', 1),
        route('slot-confirm', '/slot/', 'idempotent', 2),
    ]
    return {
        'version': version,
        'routes': plain if routes is None else routes,
        'services': [{'name': 'qalin-book', 'max_conns': 96, 'health_path': '/healthz'}],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        **more,
    }


def route(name, prefix, kind, attempts, service='qalin-book', timeout_ms=2500, target_ms=200):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST_NAME,
        'path_prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout_ms': timeout_ms,
        'target_latency_ms': target_ms,
        'max_attempts': attempts,
        'priority': 1,
    }


class Answer:
    """What a client got; status 0 means none."""

    def __init__(self, status, body, complete, headers):
        self.status = status
        self.body = body
        self.complete = complete
        self.headers = headers


class Bench:
    """The store in this process, and fronts and runners in processes of their own."""

    def __init__(self, record):
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.processes = []
        self.runners = {}
        self.record_file = open(record, 'w', buffering=1)
        self.began = time.monotonic()
        self.log_path = self.folder / 'runners.log'
        self.log_path.touch()

    def record(self, text):
        self.record_file.write(f'{time.monotonic() - self.began:8.3f}  {text}\n')

    async def start_store(self):
        self.store_address = ('127.0.7.1', await self.store.start('127.0.7.1'))

    def start_front(self, number, extra='', max_fds=4100):
        """Start a front; return its settings file, process, and addresses."""
        host = f'127.0.7.{10 + number}'
        ports = {name: free_port(host) for name in ('front', 'ready', 'peer')}
        text = SETTINGS.format(
            name=f'front-{number}',
            host=host,
            store='%s:%d' % self.store_address,
            extra=extra,
            max_fds=max_fds,
            **ports,
        )
        path = self.folder / f'front-{number}.conf'
        path.write_text(text)
        return {'path': path, 'host': host, **ports, 'process': self.run_front(path), 'name': f'front-{number}'}

    def run_front(self, path):
        """Run the program of the deploy file with the settings at ``path``."""
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        env.update(PYTHONPATH=str(ROOT / 'target' / 'deps'), SESAMEPOINT_CONFIG=str(path))
        with open(path.with_suffix('.log'), 'ab') as log:
            process = subprocess.Popen(
                ['python3', '-m', 'sesamepoint.cli', 'front'], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.processes.append(process)
        return process

    async def wait_ready(self, front):
        """Wait until a front reports that it is ready."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            answer = await fetch(front['host'], front['ready'], '/v1/readyz')
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{front['name']} is not ready")

    def start_runner(self, key, **options):
        """Start a runner with this id; return its process."""
        cfg = {
            'id': key,
            'service': 'qalin-book',
            'host': '127.0.7.2',
            'port': 0,
            'zone': 'lhr-gulberg',
            'store': self.store_address,
            'log': str(self.log_path),
            'work_s': 0.045,
            'body_bytes': 800,
            'exit_after_s': 3.0,
            **options,
        }
        env = {**os.environ, 'PYTHONPATH': str(REVIEW)}
        process = subprocess.Popen([sys.executable, '-m', 'standins2.runner', json.dumps(cfg)], env=env)
        self.processes.append(process)
        self.runners[key] = process
        return process

    def runner_lines(self):
        """Return what the runners wrote down."""
        return [json.loads(line) for line in self.log_path.read_text().splitlines() if line.endswith('}')]

    async def wait_line(self, timeout_s=10.0, **fields):
        """Wait for a line of a runner with these fields."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            for line in self.runner_lines():
                if all(line.get(name) == value for name, value in fields.items()):
                    return line
            await asyncio.sleep(0.005)
        raise CannotRun(f'no line {fields}')

    def close(self):
        """End all processes that were started, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client with one connection that is kept open."""

    def __init__(self, front):
        self.front = front
        self.conn = None

    async def call(self, method, target, request_id, deadline_s, extra=(), body=b'{}'):
        """Send a request and return its answer; leave at the deadline."""
        try:
            async with asyncio.timeout(deadline_s):
                return await self._call(method, target, request_id, deadline_s, extra, body)
        except (TimeoutError, OSError, Closed):
            self.leave()
            return Answer(0, b'', False, {})

    async def _call(self, method, target, request_id, deadline_s, extra, body):
        if self.conn is None:
            self.conn = await asyncio.open_connection(self.front['host'], self.front['front'])
        reader, writer = self.conn
        headers = [
            ('Host', HOST_NAME),
            ('Sesamepoint-Request-Id', request_id),
            ('Sesamepoint-Deadline-Ms', str(int(deadline_s * 1000))),
            ('Content-Length', str(len(body))),
            *extra,
        ]
        writer.write(head_bytes(f'{method} {target} HTTP/1.1', headers) + body)
        message, complete = await read_response(reader)
        if not complete or message.headers.get('connection') == 'close' or 'content-length' not in message.headers:
            self.leave()
        return Answer(int(message.first[1]), message.body, complete, message.headers)

    def leave(self):
        if self.conn is not None:
            self.conn[1].close()
        self.conn = None


async def fetch(host, port, path):
    """Fetch a page on a connection of its own."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(head_bytes(f'GET {path} HTTP/1.1', [('Host', 'x'), ('Connection', 'close')]))
            message, complete = await read_response(reader)
            writer.close()
            return Answer(int(message.first[1]), message.body, complete, message.headers)
    except (TimeoutError, OSError, Closed):
        return Answer(0, b'', False, {})


def free_port(host):
    """Return a free port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


async def play(case, bench, trouble):
    """Play a case; connections that are still open at its end are dropped without a report."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await case(bench, trouble)


def main(case, folder):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    bench = Bench(Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    status = 2
    try:
        status = 1 if asyncio.run(play(case, bench, trouble)) else 0
    except Exception as exc:
        bench.record(f'could not run: {exc!r}')
        print(f'could not run: {exc!r}', file=sys.stderr)
        status = 2
    finally:
        bench.record(f'exit status {status}; trouble {trouble}')
        bench.close()
    sys.exit(status)
