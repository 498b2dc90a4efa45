"""Demo with instances and agents: both deployments under a shifting load, and its table."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from random import SystemRandom
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import trio

from sesamepoint_core.config.check import parse_configuration
from sesamepoint_core.fold.records import Publish, SwitchPreset
from sesamepoint.control.follower import Follower
from sesamepoint.process.asgi_server import serve_asgi
from sesamepoint.unique_ids import new_incarnation
from sesamepoint_standins.asgi_apps import PlatformApp
from sesamepoint_standins.memory_platform import MemoryInstances, MemoryLog
from sesamectl.commands.check import load_configuration
from sesamectl.demo.deployment import PLATFORM_ADDRESS, DemoDeployment
from sesamectl.demo.load import Load

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint_core.config.model import Configuration

DEPLOYMENTS_DIR = Path(__file__).parents[1] / 'experiment' / 'deployments'
STARTUP_S = 5.0
FIRST_PHASE_S = 4.0
SECOND_PHASE_S = 10.0
FIRST_LONG_SHARE = 0.1
SECOND_LONG_SHARE = 0.9
HIMAL_PORT = 6960
QALIN_PORT = 6970
SETTLE_S = 2.0
TAGS = ('answered', 'late', 'not_run', 'unknown', 'failed')
PRESET_CHANGES = MappingProxyType({'role_change_weight': 0.1, 'plan_interval_s': 1.0, 'horizon_s': 4.0})


class User(NamedTuple):
    """One user of the demo."""

    name: str
    model: str
    entry_port: int
    replaced_runner: str


USERS = (User('himal', 'verdict', HIMAL_PORT, 'verdict-3'), User('qalin', 'assist', QALIN_PORT, 'assist-4'))


class DemoReport(NamedTuple):
    """Lines of the table, and whether no answer was cut off, wrong or produced twice."""

    lines: tuple[str, ...]
    passed: bool


async def run_agents_demo() -> DemoReport:
    """Run both deployments side by side until both have ended."""
    log = MemoryLog()
    instances = MemoryInstances()
    lines: list[str] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_asgi, PlatformApp(log, instances), PLATFORM_ADDRESS)
        ends: list[DemoReport] = []
        async with trio.open_nursery() as users:
            for user in USERS:
                users.start_soon(_run_user, user, log, instances, ends)
        nursery.cancel_scope.cancel()
    for user_end in ends:
        lines.extend(user_end.lines)
    return DemoReport(tuple(lines), all(ended.passed for ended in ends))


async def _run_user(user: User, log: MemoryLog, instances: MemoryInstances, ends: list[DemoReport]) -> None:
    cfg = _load_demo_configuration(user.name)
    deployment = DemoDeployment(cfg, user.entry_port, instances)
    load = Load(deployment, user.model, seed=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(deployment.run)
        rng = SystemRandom()
        operator = Follower(log, cfg['deployment'], new_incarnation('operator', rng), rng)
        nursery.start_soon(operator.follow)
        await operator.recovered.wait()
        await operator.submit(Publish(0, 'demo', msgspec.Raw(msgspec.json.encode(cfg))))
        await trio.sleep(STARTUP_S)
        await _run_phases(user, deployment, load, operator)
        ends.append(_build_report(user, deployment, load))
        nursery.cancel_scope.cancel()


async def _run_phases(user: User, deployment: DemoDeployment, load: Load, operator: Follower) -> None:
    """Send mostly short, then mostly long prompts; switch the preset and replace an agent."""
    await load.run(FIRST_PHASE_S, FIRST_LONG_SHARE)
    await operator.submit(SwitchPreset(operator.state.version, 'demo', 'peak'))
    async with trio.open_nursery() as shift:
        shift.start_soon(load.run, SECOND_PHASE_S, SECOND_LONG_SHARE)
        await trio.sleep(FIRST_PHASE_S)
        shift.start_soon(deployment.replace_agent, user.replaced_runner)
    await trio.sleep(SETTLE_S)


def _load_demo_configuration(name: str) -> Configuration:
    """Return a user's configuration with horizons short enough for the demo."""
    _, document = load_configuration(DEPLOYMENTS_DIR / f'{name}.json')
    parsed: dict[str, Any] = msgspec.json.decode(document)
    for preset in parsed['presets'].values():
        preset.update(PRESET_CHANGES)
    return parse_configuration(msgspec.json.encode(parsed))


def _build_report(user: User, deployment: DemoDeployment, load: Load) -> DemoReport:
    cut = sum(engine.dropped_by_order for engine in deployment.engines.values())
    wrong = sum(not call.correct for call in load.ended)
    doubled = sum(count > 1 for engine in deployment.engines.values() for count in engine.run_counts.values())
    return DemoReport(tuple(_format_table(user, deployment, load)), not (cut or wrong or doubled))


def _format_table(user: User, deployment: DemoDeployment, load: Load) -> Iterator[str]:
    yield f'{deployment.cfg["deployment"]} ({user.name})'
    yield ''.join([f'  {"":8}', *(f'{tag:>10}' for tag in TAGS)])
    for name, main in (('main', True), ('small', False)):
        tags = Counter(call.tag for call in load.ended if call.main is main)
        yield ''.join([f'  {name:8}', *(f'{tags[tag]:>10}' for tag in TAGS)])
    changes = sum(len(engine.orders) for engine in deployment.engines.values())
    yield f'  role changes {changes}, runner replaced {user.replaced_runner}, preset switched to peak'
    for process in deployment.processes:
        for decision in process.decisions():
            yield f'  {decision.kind} {decision.subject} v{decision.version} fence {decision.fence}: {decision.choice}'


__all__ = ('DemoReport', 'run_agents_demo')
