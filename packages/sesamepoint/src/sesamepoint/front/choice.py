"""Which runners a request goes to, from what is believed of them."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.serving.paths import EngineView, Path, Rates, best_path
from sesamepoint_core.serving.rate import RateMeter
from sesamepoint_core.serving.rendezvous import home_of
from sesamepoint_core.serving.runner import Stage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.serving.prompt import Part, Prompt
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.job import Job
    from sesamepoint.front.member import Member

# Without published figures a transfer is taken to cost nothing.
UNKNOWN_TRANSFER = 1e9
# A runner of another zone is as good as one of this zone with this many
# requests more: a millisecond and a half each way against tens of them.
ZONE_PENALTY = 0.5
# Prefill runners read twice as fast, so they are home to twice the parts.
HOME_WEIGHTS = MappingProxyType({Stage.prefill: 2.0, Stage.decode: 1.0, Stage.plain: 0})


class EnginePlan(NamedTuple):
    """A path with the members on it; ``prefill`` is None for a whole run."""

    path: Path
    prefill: Member | None
    decode: Member
    fresh_tokens: int
    wait_s: float


class Chooser:
    """Chooses by estimates that all entries' sends go into."""

    def __init__(self, fleet: Fleet, availability_zone: str) -> None:
        """Choose among ``fleet`` from ``availability_zone``."""
        self._fleet = fleet
        self._zone = availability_zone
        self._rates: dict[str, RateMeter] = {}

    def meter(self, service: str) -> RateMeter:
        """Return the measured rate of a service's engines."""
        return self._rates.setdefault(service, RateMeter())

    def plain(self, job: Job) -> Member | None:
        """Return the runner with the fewest requests, near ones first."""
        found = self._usable(job)
        return min(found, key=self._crowding, default=None)

    def engine(self, job: Job, cfg: Configuration, *, whole: bool = False) -> EnginePlan | None:
        """Return the path of least cost; only whole runs if ``whole``."""
        prompt = job.req.prompt
        usable = {member.runner.key: member for member in self._usable(job)}
        if prompt is None or not usable:
            return None
        views = self._views(prompt, usable, whole=whole)
        path = best_path(views, self._rates_of(job.service, cfg), prompt.tokens)
        if path is None:
            return None
        reader = path.prefill or path.decode
        view = next(found for found in views if found.runner == reader)
        return EnginePlan(path, usable.get(path.prefill), usable[path.decode], view.fresh_tokens, view.wait_s)

    def _usable(self, job: Job) -> list[Member]:
        now = trio.current_time()
        found = [member for member in self._fleet.of_service(job.service) if member.runner.key not in job.tried]
        sound = [member for member in found if member.health.usable(now)]
        return sound or found

    def _crowding(self, member: Member) -> float:
        away = 0 if member.runner.zone == self._zone else ZONE_PENALTY
        return member.in_flight + away

    def _views(self, prompt: Prompt, usable: dict[str, Member], *, whole: bool) -> list[EngineView]:
        now = trio.current_time()
        shared = prompt.parts[:-1]
        members = [member for member in usable.values() if not whole or member.runner.stage is Stage.decode]
        home = _home(shared, members)
        return [_view(member, prompt, home, now) for member in members]

    def _rates_of(self, service: str, cfg: Configuration) -> Rates:
        found = cfg.services.get(service)
        engine = found.engine if found else None
        transfer = engine.link_bytes_s / engine.kv_token_bytes if engine else UNKNOWN_TRANSFER
        return Rates(self.meter(service).tokens_s, transfer)


def _view(member: Member, prompt: Prompt, home: str, now: float) -> EngineView:
    shared = prompt.parts[:-1]
    cached = member.cache.cached(shared)
    runner = member.runner
    return EngineView(
        runner=runner.key,
        stage=runner.stage,
        wait_s=member.queue.wait_s(now),
        fresh_tokens=max(prompt.tokens - cached, 1),
        pace=member.pace.factor(now),
        away_tokens=0 if runner.key == home else _total(shared) - cached,
    )


def _home(shared: Sequence[Part], members: Sequence[Member]) -> str:
    if not shared:
        return ''
    weights = ((member.runner.key, HOME_WEIGHTS[member.runner.stage]) for member in members)
    return home_of(shared[-1].key, weights)


def _total(parts: Sequence[Part]) -> int:
    return sum(part.tokens for part in parts)


__all__ = ('Chooser', 'EnginePlan')
