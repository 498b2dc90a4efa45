"""Registered faults, which a scenario injects and clears."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sesamepoint_core.registry import Registry

if TYPE_CHECKING:
    from sesamepoint_standins.bed import Bed

STALE_REPORTS_S = 5.0


class Fault(Protocol):
    """One kind of fault; ``on`` is whether to inject or to clear it."""

    def __call__(self, bed: Bed, target: str, *, on: bool) -> None:
        """Inject or clear the fault."""


FAULTS: Registry[Fault] = Registry('fault')


@FAULTS.register('engine-lost')
def engine_lost(bed: Bed, target: str, *, on: bool) -> None:
    """Crash a runner's engine and keep it down."""
    bed.upstreams[target].reachable = not on
    if on:
        bed.engines[target].crash()


@FAULTS.register('runner-drained')
def runner_drained(bed: Bed, target: str, *, on: bool) -> None:
    """Let the platform list the process of a runner as draining."""
    bed.instances.put(bed.configuration['runners'][target]['agent'], leaving=on)


@FAULTS.register('reports-late')
def reports_late(bed: Bed, target: str, *, on: bool) -> None:
    """Delay the load reports of all engines by some seconds."""
    for engine in bed.engines.values():
        engine.report_extra_lag_s = STALE_REPORTS_S if on else 0


@FAULTS.register('reports-gone')
def reports_gone(bed: Bed, target: str, *, on: bool) -> None:
    """Freeze the load that all engines report."""
    for engine in bed.engines.values():
        engine.reports_frozen = on


@FAULTS.register('log-outage')
def log_outage(bed: Bed, target: str, *, on: bool) -> None:
    """Make the log unavailable."""
    bed.log.faults.away = on


@FAULTS.register('leader-killed')
def leader_killed(bed: Bed, target: str, *, on: bool) -> None:
    """Kill the instance that holds a fleet's lease; start a new one when cleared."""
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
def zone_lost(bed: Bed, target: str, *, on: bool) -> None:
    """Crash every engine of an availability zone and keep it down."""
    for name, runner in bed.configuration['runners'].items():
        if runner['availability_zone'] == target:
            engine_lost(bed, name, on=on)


__all__ = ('FAULTS', 'Fault')
