"""The runners that this process may send requests to."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.member import UNKNOWN_KV_TOKENS, Member

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint_core.serving.runner import Runner, Stage
    from sesamepoint.http1.transport import Network

# Share of the time that a vanished runner may still be used in. Registrations
# also lapse while the store is away, though their runners live; without a
# while of grace a store that comes back would empty every fleet for seconds.
GRACE_SHARE = 0.5


class Fleet:
    """Members by key, kept in step with their registrations."""

    def __init__(self, drain_s: float, network: Network, now: Callable[[], float]) -> None:
        """Allow a vanished runner a part of ``drain_s``."""
        self._network = network
        self.listed = False
        self.members: dict[str, Member] = {}
        self._grace_s = drain_s * GRACE_SHARE
        self._now = now
        self._kv_tokens: dict[str, int] = {}
        self.changes = 0
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
        """Take a new or renewed registration."""
        member = self.members.get(runner.key)
        if member is None or member.runner != runner:
            self.changes += 1
        if member is None:
            kv_tokens = self._kv_tokens.get(runner.service, UNKNOWN_KV_TOKENS)
            member = Member(runner, self._network, kv_tokens)
            self.members[runner.key] = member
            self._joined[0].send_nowait(member)
            events.log_event(events.RUNNER_JOINED, runner=runner.key, fleet=runner.service, leaving=runner.leaving)
            return
        if runner.leaving and not member.runner.leaving:
            events.log_event(events.RUNNER_LEAVING, runner=runner.key, fleet=runner.service)
        member.runner = runner
        member.gone_at = None

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

    async def next_joined(self) -> Member:
        """Wait for a runner that was not known before."""
        return await self._joined[1].receive()

    def of_service(self, service: str) -> list[Member]:
        """Return the members of ``service`` that may get new requests.

        Those whose registration has vanished are there only if no other is.
        """
        self._forget()
        found = [member for member in self.members.values() if member.runner.service == service]
        staying = [member for member in found if not member.runner.leaving and not member.replaced]
        present = [member for member in staying if member.gone_at is None]
        return present or staying

    def _forget(self) -> None:
        now = self._now()
        for key, member in tuple(self.members.items()):
            if member.gone_at is not None and now - member.gone_at > self._grace_s:
                member.close()
                self.members.pop(key)
                self.changes += 1


__all__ = ('Fleet',)
