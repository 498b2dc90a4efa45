"""Test bench of the send check: one engine, all kinds of sends to it, and all conditions that block them."""

from __future__ import annotations

from functools import partial
from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.runner_words.words import Limits, Rests
from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.routes import Repeat, Route, Share
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint.front.attempt import Attempt, Target
from sesamepoint.front.fleet import Fleet
from sesamepoint.front.gate import Purpose, SendKind
from sesamepoint.front.inventory import Inventory
from sesamepoint.front.job import Job
from sesamepoint.front.known_engines import KnownEngines
from sesamepoint.front.prefill import HandleReclaimer, Prefilled, prefill
from sesamepoint.front.reply import Reply
from sesamepoint.platform.headers import Sending
from tests.front.builders import open_gate, tag_request
from tests.front.silent_network import SlowNetwork

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from sesamepoint.front.gate import Gate
    from sesamepoint.front.member import Member

    Send = Callable[['Bed'], Awaitable[None]]
    Close = Callable[['Bed'], None]

PATIENCE_S = 0.3


class CallerConn:
    """Connection of a caller that never disconnects."""

    def check_caller(self) -> None:
        """Report no disconnect."""


class Bed(NamedTuple):
    """One engine, the instance's state for it, and a request in progress."""

    network: SlowNetwork
    gate: Gate
    fleet: Fleet
    job: Job

    @property
    def member(self) -> Member:
        """Return the engine."""
        return self.fleet.members['i-1']


def bed() -> Bed:
    """Return a bench whose engine has reported no status."""
    network = SlowNetwork()
    send_check = open_gate()
    fleet = Fleet(2.0, network, trio.current_time, send_check)
    fleet.replace_all([Runner('i-1', 'llm', Address('10.0.0.1', 80), 'z1', 24, leaving=False, stage=Stage.decode)])
    share = Share('llm', 1)
    route = Route('tag', 'x', '/', Repeat.resume, True, 5.0, 0.25, 0.15, 2, 0, (share,))
    return Bed(network, send_check, fleet, Job(tag_request(), route, 'llm', _reply()))


async def send_run(kind: SendKind, found: Bed) -> None:
    """Send a request, or only its decode step, as ``kind`` says."""
    target = Target(found.member, Sending('i-1', 5, 0), PATIENCE_S, purpose=Purpose(kind, found.job))
    await Attempt(tag_request(), target, _reply(), streamed=True).run()


async def send_to_read(found: Bed) -> None:
    """Send a remote prefill."""
    purpose = Purpose(SendKind.read_apart, found.job)
    target = Target(found.member, Sending('i-1', 5, 0, prefill_only=True), PATIENCE_S, purpose=purpose)
    await prefill(tag_request(), target, _reply())


async def look_at_memory(found: Bed) -> None:
    """Ask the engine for its cache inventory."""
    inventory = Inventory(found.fleet, KnownEngines('front-1', found.fleet), Random(1))
    with trio.move_on_after(PATIENCE_S):
        await inventory.run()


async def free_memory(found: Bed) -> None:
    """Ask the engine to free the memory of a prefilled prompt."""
    reclaimer = HandleReclaimer()
    reclaimer.drop(Prefilled(found.member, 'h1'))
    with trio.move_on_after(PATIENCE_S):
        await reclaimer.run()


SENDS: Mapping[SendKind, Send] = MappingProxyType(
    {
        SendKind.run: partial(send_run, SendKind.run),
        SendKind.second_step: partial(send_run, SendKind.second_step),
        SendKind.read_apart: send_to_read,
        SendKind.inventory: look_at_memory,
        SendKind.free_memory: free_memory,
    }
)


def _limit(found: Bed) -> None:
    found.gate.words.take(Limits(0), found.member.start, 0)


def _suspect(found: Bed) -> None:
    found.gate.suspects.quarantine(found.job.content_id, 0)


def _rest(found: Bed) -> None:
    found.gate.words.take(Rests(3), found.member.start, 0)


def _leave(found: Bed) -> None:
    found.gate.words.note_leaving(found.member.start, 'front-2', 0)


CLOSES: Mapping[str, Close] = MappingProxyType(
    {
        'gone': lambda found: found.member.close(),
        'replaced': lambda found: found.member.note_replaced('front-2'),
        'leaving': _leave,
        'resting': _rest,
        'limit': _limit,
        'suspect': _suspect,
    }
)


def _reply() -> Reply:
    return Reply(CallerConn())  # type: ignore[arg-type]


__all__ = ('CLOSES', 'SENDS', 'Bed', 'Close', 'Send', 'bed')
