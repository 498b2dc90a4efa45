"""Test bench of the send check: one engine, and all kinds of sends to it."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from random import Random
from types import MappingProxyType, SimpleNamespace
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.serving.routes import RepeatPolicy, Route, ServiceShare
from sesamepoint.front.requests import attempt, target
from sesamepoint.front.engines.cache_inventory import CacheInventory
from sesamepoint.front.fleet_health.probing import Probing
from sesamepoint.front.runners.engine_subset import EngineSubset
from sesamepoint.front.runners.fleet import Fleet
from sesamepoint.front.runners.incarnation_check import check_incarnation
from sesamepoint.front.requests.job import Job
from sesamepoint.front.engines.prefill import HandleReclaimer, Prefilled, prefill
from sesamepoint.front.requests.reply import Reply
from sesamepoint.front.runners.send_check import SendBlockedError, SendKind, SendPurpose
from sesamepoint.platform.headers import AttemptHeaders
from tests.front.builders import permissive_send_check, registered_engine, tag_request
from tests.front.silent_network import SlowNetwork

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.runners.send_check import SendCheck

    SendCall = Callable[['SendCheckBench'], Awaitable[None]]

SILENCE_TIMEOUT_S = 0.3


class ConnectedCallerConn:
    """Connection of a caller that never disconnects."""

    def check_caller(self) -> None:
        """Report no disconnect."""


class SendCheckBench(NamedTuple):
    """One engine, the instance's state for it, and a request in progress."""

    network: SlowNetwork
    send_check: SendCheck
    fleet: Fleet
    job: Job

    @property
    def member(self) -> Member:
        """Return the engine."""
        return self.fleet.members['i-1']


def new_bench() -> SendCheckBench:
    """Return a bench whose engine has reported no status."""
    network = SlowNetwork()
    send_check = permissive_send_check()
    fleet = Fleet(2.0, network, trio.current_time, send_check)
    fleet.replace_all([registered_engine(born_ms=1)])
    share = ServiceShare('llm', 1)
    route = Route('tag', 'x', '/', RepeatPolicy.resume, True, 5.0, 0.25, 0.15, 2, 0, (share,))
    return SendCheckBench(network, send_check, fleet, Job(tag_request(), route, 'llm', _reply()))


async def send_run(kind: SendKind, bench: SendCheckBench) -> None:
    """Send a request, or only its decode step, as ``kind`` says."""
    engine = target.Target(
        bench.member, AttemptHeaders('i-1', 5, 0), SILENCE_TIMEOUT_S, purpose=SendPurpose(kind, bench.job)
    )
    await attempt.Attempt(tag_request(), engine, _reply(), streamed=True).run()


async def send_remote_prefill(bench: SendCheckBench) -> None:
    """Send a remote prefill."""
    purpose = SendPurpose(SendKind.remote_prefill, bench.job)
    engine = target.Target(
        bench.member, AttemptHeaders('i-1', 5, 0, prefill_only=True), SILENCE_TIMEOUT_S, purpose=purpose
    )
    await prefill(tag_request(), engine, _reply())


async def request_inventory(bench: SendCheckBench) -> None:
    """Ask the engine for its cache inventory."""
    inventory = CacheInventory(bench.fleet, EngineSubset('front-1', bench.fleet), Random(1))
    with trio.move_on_after(SILENCE_TIMEOUT_S):
        await inventory.run()


async def free_memory(bench: SendCheckBench) -> None:
    """Ask the engine to free the memory of a prefilled prompt."""
    reclaimer = HandleReclaimer()
    reclaimer.reclaim(Prefilled(bench.member, 'h1'))
    with trio.move_on_after(SILENCE_TIMEOUT_S):
        await reclaimer.run()


async def call_health_page(bench: SendCheckBench) -> None:
    """Call the health page of an ejected engine."""
    bench.fleet.health_paths['llm'] = '/healthz'
    peers = SimpleNamespace(name='front-1', peer_names=tuple)
    probing = Probing(bench.fleet, EngineSubset('front-1', bench.fleet), peers)  # type: ignore[arg-type]
    await probing.call_health_page(bench.member)


async def read_report(bench: SendCheckBench) -> None:
    """Ask the engine for its start before a stream goes on there."""
    member = bench.member
    conn = await member.connection(SendPurpose(SendKind.report))
    with trio.move_on_after(SILENCE_TIMEOUT_S), suppress(SendBlockedError):
        await check_incarnation(member, conn, None)


SEND_CALLS: Mapping[SendKind, SendCall] = MappingProxyType(
    {
        SendKind.run: partial(send_run, SendKind.run),
        SendKind.remote_decode: partial(send_run, SendKind.remote_decode),
        SendKind.remote_prefill: send_remote_prefill,
        SendKind.inventory: request_inventory,
        SendKind.free_memory: free_memory,
        SendKind.health_call: call_health_page,
        SendKind.report: read_report,
    }
)


def _reply() -> Reply:
    return Reply(ConnectedCallerConn())  # type: ignore[arg-type]


__all__ = ('SEND_CALLS', 'SendCall', 'SendCheckBench', 'new_bench')
