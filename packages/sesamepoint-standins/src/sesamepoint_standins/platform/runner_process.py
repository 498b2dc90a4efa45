"""Runner stand-in as a process of its own, which can be stopped by a signal.

Started as: python -m sesamepoint_standins.platform.runner_process SPECIFICATION
with a specification in JSON, see :class:`RunnerSpecification`.
"""

from __future__ import annotations

import sys
import time
from functools import partial
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.http1.transport import SocketTransport
from sesamepoint_standins.platform.runner import RunnerStandIn
from sesamepoint_standins.platform.runner_state import EngineSpeed, Faults

HOST = '127.0.0.1'
# Faster than any real engine, since these tests check the processes, not latency.
FAST_ENGINE = EngineSpeed(prefill_tokens_per_s=2_000_000, overhead_s=0.002, step_s=0.0002, step_s_per_slot=0)


class RunnerSpecification(msgspec.Struct):
    """What a runner process is started with.

    Parameters
    ----------
    faults_path
        File with its faults, in the form of :class:`Faults`, which it reads before each request.
    arrivals_path
        File to which it appends a line for each request that it has read.
    """

    key: str
    service: str
    port: int
    faults_path: str
    arrivals_path: str
    stage: str | None = None
    work_s: float = 0.005


class ReadRequest(NamedTuple):
    """A request that a runner process has read, or a remote prefill that it has accepted.

    Parameters
    ----------
    at
        Time of the system's monotonic clock, in seconds.
    """

    at: float
    request_id: str
    accepted_prefill: bool = False


class FileObserver:
    """Writes the requests of a runner to one file, and reads its faults from another."""

    def __init__(self, spec: RunnerSpecification) -> None:
        """Use the files of ``spec``."""
        self._faults_path = Path(spec.faults_path)
        self._arrivals_path = Path(spec.arrivals_path)

    def note_arrival(self, request_id: str) -> None:
        """Record a request that was read, unless no caller sent it."""
        if request_id:
            self._append(ReadRequest(time.monotonic(), request_id))

    def note_prefill(self, request_id: str) -> None:
        """Record a remote prefill that is accepted."""
        self._append(ReadRequest(time.monotonic(), request_id, accepted_prefill=True))

    def current_faults(self) -> Faults:
        """Return the faults that its file states."""
        return msgspec.json.decode(self._faults_path.read_bytes(), type=Faults)

    def _append(self, request: ReadRequest) -> None:
        with self._arrivals_path.open('ab') as lines:
            lines.write(b'%b\n' % msgspec.json.encode(request))


def decode_requests(path: Path) -> list[ReadRequest]:
    """Return what a runner process has read."""
    lines = path.read_bytes().splitlines() if path.exists() else []
    return [msgspec.json.decode(line, type=ReadRequest) for line in lines]


async def _serve(spec: RunnerSpecification) -> None:
    address = Address(HOST, spec.port)
    runner = RunnerStandIn(spec.key, spec.service, address, 'z1', stage=spec.stage, speed=FAST_ENGINE)
    runner.work_s = spec.work_s
    runner.observer = FileObserver(spec)
    await trio.serve_tcp(partial(_serve_stream, runner), spec.port, host=HOST)


async def _serve_stream(runner: RunnerStandIn, stream: trio.SocketStream) -> None:
    await runner.serve(SocketTransport(stream))


if __name__ == '__main__':
    trio.run(_serve, msgspec.json.decode(sys.argv[1], type=RunnerSpecification))

__all__ = ('FAST_ENGINE', 'HOST', 'FileObserver', 'ReadRequest', 'RunnerSpecification', 'decode_requests')
