"""Registered faults, which a scenario brings about and takes away again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sesamepoint_core.registry import Registry

if TYPE_CHECKING:
    from sesamepoint_standins.deployment_bench import DeploymentBench

STALE_REPORTS_S = 5.0


class Fault(Protocol):
    """One kind of fault; ``on`` tells whether it begins or ends."""

    def __call__(self, bed: DeploymentBench, target: str, *, on: bool) -> None:
        """Bring the fault about, or take it away."""


FAULTS: Registry[Fault] = Registry('fault')


@FAULTS.register('engine-lost')
def engine_lost(bed: DeploymentBench, target: str, *, on: bool) -> None:
    """Crash a runner's engine, and keep it down."""
    bed.upstreams[target].reachable = not on
    if on:
        bed.engines[target].crash()


@FAULTS.register('runner-drained')
def runner_drained(bed: DeploymentBench, target: str, *, on: bool) -> None:
    """Let the platform list a runner's instance as leaving."""
    bed.instances.put(bed.configuration['runners'][target]['agent'], draining=on)


@FAULTS.register('reports-late')
def reports_late(bed: DeploymentBench, target: str, *, on: bool) -> None:
    """Let all engines report their load seconds late."""
    for engine in bed.engines.values():
        engine.report_extra_lag_s = STALE_REPORTS_S if on else 0


@FAULTS.register('reports-gone')
def reports_gone(bed: DeploymentBench, target: str, *, on: bool) -> None:
    """Freeze the load that all engines report."""
    for engine in bed.engines.values():
        engine.reports_frozen = on


@FAULTS.register('log-outage')
def log_outage(bed: DeploymentBench, target: str, *, on: bool) -> None:
    """Take the log away."""
    bed.log.faults.unavailable = on


@FAULTS.register('leader-killed')
def leader_killed(bed: DeploymentBench, target: str, *, on: bool) -> None:
    """Kill the entry that holds a fleet's lease; a new one starts later."""
    if on:
        for name, started in bed.entries.items():
            follower = started.entry.follower
            lease = follower.state.leases.get(target)
            if lease is not None and lease.holder == follower.writer:
                bed.kill_entry(name)
                return
    else:
        bed.start_entry(f'entry-{len(bed.entries) + 1}')


@FAULTS.register('zone-lost')
def zone_lost(bed: DeploymentBench, target: str, *, on: bool) -> None:
    """Crash every engine of an availability zone and keep it down."""
    for name, runner in bed.configuration['runners'].items():
        if runner['availability_zone'] == target:
            engine_lost(bed, name, on=on)


__all__ = ('FAULTS', 'Fault')
