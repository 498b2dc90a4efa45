"""The registered runners that this process may send requests to."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.runners.fleet_member import UNKNOWN_KV_TOKENS, Member
from sesamepoint.front.runners.fleet_versions import FleetVersions
from sesamepoint.front.runners.registration_history import RegistrationHistory

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint_core.serving.runner import Runner, Stage
    from sesamepoint_core.stream_origin.origin import StreamOrigin
    from sesamepoint.front.runners.send_check import SendCheck
    from sesamepoint.http1.transport import Network

# An unregistered runner may still be used for this share of the drain time. Registrations
# also expire while the store is unavailable, though their runners live; without a grace
# period a store that comes back would empty every fleet for seconds.
GRACE_SHARE = 0.5
# While the store answers, instances know that the list of runners is current at least once in this
# share of the drain time: they poll it within half of that time, and the call takes some time.
LONGEST_GAP_SHARE = 0.6


class Fleet:
    """Members by runner key, updated from their registrations."""

    def __init__(self, drain_s: float, network: Network, now: Callable[[], float], send_check: SendCheck) -> None:
        """Start without runners.

        Parameters
        ----------
        drain_s
            Drain time in seconds; an unregistered runner is kept for a share of it.
        now
            Clock in seconds.
        send_check
            Decides whether anything may be sent to a runner, just before each send.
        """
        self._network = network
        self._send_check = send_check
        send_check.runner_statuses.on_restarted = self.at_incarnation
        self.listed = False
        self.members: dict[str, Member] = {}
        # Versions of the runners of each service, those that have gone lately included.
        self.versions = FleetVersions(now, lambda: [member.runner for member in self.members.values()])
        self._grace_s = drain_s * GRACE_SHARE
        self._now = now
        self._kv_tokens: dict[str, int] = {}
        # Paths of health pages by service; empty for a service that has none.
        self.health_paths: dict[str, str] = {}
        self.history = RegistrationHistory(send_check.runner_statuses, now, drain_s * LONGEST_GAP_SHARE)
        self.changes = 0
        # Called when another incarnation answers at the address of a runner.
        self.on_replaced: Callable[[Incarnation], None] | None = None
        # Called with a member of whose health peers must learn at once.
        self.on_health_urgent: Callable[[Member], None] | None = None
        self._changed = trio.Event()
        self.history.on_confirmed = self._wake_waiting
        self._sizes: Counter[tuple[str, Stage]] = Counter()
        self._sizes_at = -1
        # Unbounded: it never has more entries than there are registrations.
        self._joined = trio.open_memory_channel[Member](math.inf)

    def set_drain(self, drain_s: float) -> None:
        """Change the drain time to ``drain_s`` seconds; an unregistered runner is kept for a share of it."""
        self._grace_s = drain_s * GRACE_SHARE
        self.history.currency.longest_gap_s = drain_s * LONGEST_GAP_SHARE

    def configure(self, cfg: Configuration) -> None:
        """Set the paths of health pages, and the KV cache sizes of engines, registered ones included."""
        self.health_paths = {service.name: service.health_path for service in cfg.services.values()}
        for service in cfg.services.values():
            if service.engine:
                self._kv_tokens[service.name] = service.engine.kv_tokens
        for member in self.members.values():
            member.resize(self._kv_tokens.get(member.runner.service, UNKNOWN_KV_TOKENS))
            member.health_path = self.health_paths.get(member.runner.service, '')

    def replace_all(self, runners: Iterable[Runner]) -> None:
        """Apply a full list of registrations; runners that are not on it are unregistered."""
        listed = {runner.key: runner for runner in runners}
        for key in tuple(self.members):
            if key not in listed:
                self.note_unregistered(key)
        for runner in listed.values():
            self.update(runner)
        self.versions.begin()
        self.listed = True

    def update(self, runner: Runner) -> None:
        """Apply a new or renewed registration.

        A registration of an earlier incarnation than the known one is ignored: it
        comes from a store that is behind, or a peer's message has overtaken it.
        """
        known_ms = self.history.newest_start_ms(runner.key)
        if runner.born_ms < known_ms:
            events.log_event(
                events.STALE_INCARNATION_IGNORED, runner=runner.key, born_ms=runner.born_ms, known_ms=known_ms
            )
            if not runner.born_ms:
                # A runner that registers its start time always does. This record is from
                # another writer, so the runner itself is no longer registered.
                self.note_unregistered(runner.key)
            return
        member = self.members.get(runner.key)
        if member is None or runner.differs_from(member.runner):
            self.changes += 1
        if member is None or not member.same_incarnation(runner):
            self._add(runner)
            return
        if runner.draining and not member.runner.draining:
            events.log_event(events.RUNNER_DRAINING, runner=runner.key, fleet=runner.service, sequence=runner.sequence)
        member.runner = _newest_statement(member, runner)
        self.history.note(member)

    def at_incarnation(self, key: str, born_ms: int) -> Member | None:
        """Return the member with ``key`` if its newest incarnation started at ``born_ms``, else None.

        A message about an incarnation that is newer than the known one replaces the
        known one: the state of the earlier incarnation no longer counts.
        """
        member = self.members.get(key)
        if member is None or born_ms == member.runner.born_ms:
            return member
        if born_ms < member.runner.born_ms:
            return None
        self.changes += 1
        # Its version comes with its registration. That the earlier incarnation was draining says nothing of it.
        self._add(member.runner._replace(born_ms=born_ms, software_version=None, draining=False, sequence=0))
        if not member.presence.registered:
            self.note_unregistered(key)
        return self.members[key]

    def of_incarnation(self, incarnation: Incarnation) -> Member | None:
        """Return the member of an incarnation; None if another incarnation of its runner is known."""
        member = self.members.get(incarnation.runner)
        return member if member is not None and member.incarnation == incarnation else None

    def note_unregistered(self, key: str) -> None:
        """Note that a runner is no longer registered; it is kept for the grace period."""
        member = self.members.get(key)
        if member is None or not (member.presence.registered or member.presence.unconfirmed):
            return
        self.history.note_removed(member, self._grace_s)
        events.log_event(events.RUNNER_UNREGISTERED, runner=key, fleet=member.runner.service)

    def size_of(self, service: str, stage: Stage) -> int:
        """Return how many runners of ``service`` are registered for ``stage``."""
        if self._sizes_at != self.changes:
            self._sizes_at = self.changes
            self._sizes = Counter((one.runner.service, one.runner.stage) for one in self.members.values())
        return self._sizes[service, stage]

    def count_draining(self) -> int:
        """Return how many runners are draining."""
        return sum(member.draining for member in self.members.values())

    def count_backing_off(self) -> int:
        """Return from how many runners this instance is backing off."""
        return sum(member.backing_off for member in self.members.values())

    def close_idle(self, number: int) -> int:
        """Close up to ``number`` idle connections, at most one of each runner; return how many were closed."""
        idle = [(one.oldest_idle_since, one.runner.key) for one in self.members.values() if one.oldest_idle_since]
        longest = heapq.nsmallest(number, idle)
        for _, key in longest:
            self.members[key].close_oldest_idle()
        return len(longest)

    async def wait_for_any(self, service: str) -> bool:
        """Wait until a runner of ``service`` may get new requests; return False if all of its runners are draining."""
        while not self.of_service(service):
            if self._all_draining(service):
                return False
            await self._changed.wait()
        return True

    async def next_joined(self) -> Member:
        """Wait for a new runner, or a new incarnation of one."""
        return await self._joined[1].receive()

    def of_service(self, service: str) -> list[Member]:
        """Return the members of ``service`` that may get new requests.

        Unregistered ones are returned only if there are no others.
        """
        self._drop_expired()
        return accepting_members([member for member in self.members.values() if member.runner.service == service])

    def all_of_origin(self, origin: StreamOrigin) -> list[Member]:
        """Return all members of ``origin``, draining and unregistered ones included."""
        self._drop_expired()
        return [one for one in self.members.values() if one.of_origin(origin)]

    def _all_draining(self, service: str) -> bool:
        """Tell whether runners of ``service`` are registered, and all of them are draining."""
        registered = [one for one in self.members.values() if one.runner.service == service and one.presence.registered]
        return bool(registered) and all(one.draining for one in registered)

    def _add(self, runner: Runner) -> None:
        """Add a runner, or replace its earlier incarnation, whose state is dropped."""
        earlier = self.members.get(runner.key)
        if earlier is not None:
            self._drop_earlier(earlier, runner)
        kv_tokens = self._kv_tokens.get(runner.service, UNKNOWN_KV_TOKENS)
        member = Member(runner, self._network, self._send_check, kv_tokens)
        member.on_replaced = self.on_replaced
        member.health_path = self.health_paths.get(runner.service, '')
        member.health.on_urgent = partial(self._note_health_urgent, member)
        member.health.on_returned = partial(_log_returned, runner)
        self.members[runner.key] = member
        self.history.note(member)
        self.versions.note_change(runner)
        self._wake_waiting()
        self._joined[0].send_nowait(member)
        events.log_event(
            events.RUNNER_JOINED,
            runner=runner.key,
            fleet=runner.service,
            leaving=runner.draining,
            version=runner.software_version,
        )

    def _wake_waiting(self) -> None:
        """Have those that wait for a runner of a service look again."""
        self._changed.set()
        self._changed = trio.Event()

    def _drop_earlier(self, earlier: Member, runner: Runner) -> None:
        earlier.close()
        self.versions.note_change(earlier.runner)
        self._send_check.runner_statuses.forget(earlier.incarnation)
        events.log_event(events.RUNNER_RESTARTED, runner=runner.key, born_ms=runner.born_ms)

    def _note_health_urgent(self, member: Member) -> None:
        if self.on_health_urgent is not None:
            self.on_health_urgent(member)

    def _drop_expired(self) -> None:
        now = self._now()
        self._send_check.unread_sends.expire(now)
        for key, member in tuple(self.members.items()):
            if member.presence.gone(now):
                member.close()
                self.members.pop(key)
                self.changes += 1
                self.versions.note_change(member.runner)


def accepting_members(members: list[Member]) -> list[Member]:
    """Return those of ``members`` that may get new requests: those not registered only if there are no others."""
    now = trio.current_time()
    open_members = [one for one in members if not (one.draining or one.replaced or one.presence.lapsed(now))]
    registered = [member for member in open_members if member.presence.registered]
    return registered or open_members


def _newest_statement(member: Member, runner: Runner) -> Runner:
    """Return what holds for ``member`` after its registration ``runner`` has come.

    The store may write an earlier heartbeat late. Only that it drains still counts then.
    """
    known = member.runner
    fields = {'runner': runner.key, 'sequence': runner.sequence, 'known_sequence': known.sequence}
    if member.draining and not runner.draining:
        events.log_event(events.READY_AFTER_DRAINING, **fields)
    if not member.presence.registered or runner.sequence >= known.sequence:
        return runner
    events.log_event(events.STALE_REGISTRATION_IGNORED, **fields, leaving=runner.draining)
    return known._replace(draining=known.draining or runner.draining)


def _log_returned(runner: Runner) -> None:
    events.log_event(events.PROBE_SUCCEEDED, runner=runner.key, born_ms=runner.born_ms)


__all__ = ('Fleet', 'accepting_members')
