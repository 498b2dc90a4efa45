"""The runners that this process may send requests to."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.bounded import forget_oldest
from sesamepoint import events
from sesamepoint.front.member import UNKNOWN_KV_TOKENS, Member

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint_core.serving.runner import Runner, Stage
    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.gate import Gate
    from sesamepoint.http1.transport import Network

# Runners whose newest start is remembered after they have gone, so that late
# word about an earlier one does not bring it back. A day has some hundred.
REMEMBERED_STARTS = 4096
# Share of the time that a vanished runner may still be used in. Registrations
# also lapse while the store is away, though their runners live; without a
# while of grace a store that comes back would empty every fleet for seconds.
GRACE_SHARE = 0.5


class Fleet:
    """Members by key, kept in step with their registrations."""

    def __init__(self, drain_s: float, network: Network, now: Callable[[], float], gate: Gate) -> None:
        """Allow a vanished runner a part of ``drain_s``; members ask ``gate`` before anything is sent."""
        self._network = network
        self._gate = gate
        self.listed = False
        self.members: dict[str, Member] = {}
        self._grace_s = drain_s * GRACE_SHARE
        self._now = now
        self._kv_tokens: dict[str, int] = {}
        self._starts: dict[str, int] = {}
        self.changes = 0
        # Called when another incarnation has answered at the address of a runner.
        self.on_replaced: Callable[[Start], None] | None = None
        self._changed = trio.Event()
        self._sizes: Counter[tuple[str, Stage]] = Counter()
        self._sizes_at = -1
        # No more than there are registrations, so it needs no other bound.
        self._joined = trio.open_memory_channel[Member](math.inf)

    def allow(self, drain_s: float) -> None:
        """Allow a vanished runner a part of ``drain_s`` from now on."""
        self._grace_s = drain_s * GRACE_SHARE

    def configure(self, cfg: Configuration) -> None:
        """Learn the memory sizes of engines, of those too that were registered before."""
        for service in cfg.services.values():
            if service.engine:
                self._kv_tokens[service.name] = service.engine.kv_tokens
        for member in self.members.values():
            member.resize(self._kv_tokens.get(member.runner.service, UNKNOWN_KV_TOKENS))

    def replace_all(self, runners: Iterable[Runner]) -> None:
        """Take a whole list; what is not on it has gone."""
        found = {runner.key: runner for runner in runners}
        for key in tuple(self.members):
            if key not in found:
                self.remove(key)
        for runner in found.values():
            self.update(runner)
        self.listed = True

    def update(self, runner: Runner) -> None:
        """Take a new or renewed registration.

        One of an earlier start than is known may come from a store that is
        behind, or have been overtaken by a peer's word: it is ignored.
        """
        known_ms = self._starts.get(runner.key, 0)
        if runner.born_ms < known_ms:
            events.log_event(events.EARLIER_START, runner=runner.key, born_ms=runner.born_ms, known_ms=known_ms)
            if not runner.born_ms:
                # A runner that tells its start always does: this is the
                # record of another writer, and it names no runner.
                self.remove(runner.key)
            return
        member = self.members.get(runner.key)
        if member is None or member.runner != runner:
            self.changes += 1
        if member is None or not member.same_start(runner):
            self._join(runner)
            return
        if runner.leaving and not member.runner.leaving:
            events.log_event(events.RUNNER_LEAVING, runner=runner.key, fleet=runner.service)
        member.runner = runner
        member.gone_at = None

    def at_start(self, key: str, born_ms: int) -> Member | None:
        """Return the runner called ``key`` if the start of ``born_ms`` is its newest.

        Whoever tells of a start that isn't known here knows more than this
        entry: from then on nothing counts that was believed of the one before.
        """
        member = self.members.get(key)
        if member is None or born_ms == member.runner.born_ms:
            return member
        if born_ms < member.runner.born_ms:
            return None
        self.changes += 1
        # Whether the new start leaves too is for its registration to say.
        self._join(member.runner._replace(born_ms=born_ms))
        return self.members[key]

    def of_start(self, start: Start) -> Member | None:
        """Return the member of ``start``, if that is the start which is known of its runner."""
        member = self.members.get(start.runner)
        return member if member is not None and member.start == start else None

    def remove(self, key: str) -> None:
        """Note that a registration has vanished."""
        member = self.members.get(key)
        if member is None or member.gone_at is not None:
            return
        member.gone_at = self._now()
        events.log_event(events.RUNNER_GONE, runner=key, fleet=member.runner.service)

    def size_of(self, service: str, stage: Stage) -> int:
        """Return how many runners of ``service`` are registered for ``stage``."""
        if self._sizes_at != self.changes:
            self._sizes_at = self.changes
            self._sizes = Counter((one.runner.service, one.runner.stage) for one in self.members.values())
        return self._sizes[service, stage]

    def leaving(self) -> int:
        """Return how many runners leave."""
        return sum(member.leaving for member in self.members.values())

    def resting(self) -> int:
        """Return how many runners want nothing from this instance now."""
        return sum(member.rests for member in self.members.values())

    async def until_any(self, service: str) -> bool:
        """Wait until some runner of ``service`` may get new requests; False if all that there are leave."""
        while not self.of_service(service):
            if self._all_leave(service):
                return False
            await self._changed.wait()
        return True

    async def next_joined(self) -> Member:
        """Wait for a runner that was not known before."""
        return await self._joined[1].receive()

    def of_service(self, service: str) -> list[Member]:
        """Return the members of ``service`` that may get new requests.

        Those whose registration has vanished are there only if no other is.
        """
        self._forget()
        found = [member for member in self.members.values() if member.runner.service == service]
        staying = [member for member in found if not member.leaving and not member.replaced]
        present = [member for member in staying if member.gone_at is None]
        return present or staying

    def _all_leave(self, service: str) -> bool:
        """Tell whether runners of ``service`` are registered, and all of them leave."""
        present = [one for one in self.members.values() if one.runner.service == service and one.gone_at is None]
        return bool(present) and all(one.leaving for one in present)

    def _join(self, runner: Runner) -> None:
        """Begin with a runner, or with a new start of one, of which nothing is believed."""
        before = self.members.get(runner.key)
        if before is not None:
            before.close()
            self._gate.words.forget(before.start)
            events.log_event(events.RUNNER_RESTARTED, runner=runner.key, born_ms=runner.born_ms)
        self._remember_start(runner)
        kv_tokens = self._kv_tokens.get(runner.service, UNKNOWN_KV_TOKENS)
        member = Member(runner, self._network, self._gate, kv_tokens)
        member.on_replaced = self.on_replaced
        self.members[runner.key] = member
        self._changed.set()
        self._changed = trio.Event()
        self._joined[0].send_nowait(member)
        events.log_event(events.RUNNER_JOINED, runner=runner.key, fleet=runner.service, leaving=runner.leaving)

    def _remember_start(self, runner: Runner) -> None:
        self._starts.pop(runner.key, None)
        self._starts[runner.key] = runner.born_ms
        forget_oldest(self._starts, REMEMBERED_STARTS)

    def _forget(self) -> None:
        now = self._now()
        for key, member in tuple(self.members.items()):
            if member.gone_at is not None and now - member.gone_at > self._grace_s:
                member.close()
                self.members.pop(key)
                self.changes += 1


__all__ = ('Fleet',)
