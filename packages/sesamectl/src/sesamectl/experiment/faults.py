"""Registered faults, which a scenario injects and clears."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sesamepoint_core.registry import Registry

if TYPE_CHECKING:
    from sesamepoint_standins.deployment_bench import DeploymentBench

REPORT_DELAY_S = 5.0


class Fault(Protocol):
    """One kind of fault; ``on`` is whether to inject or to clear it."""

    def __call__(self, bench: DeploymentBench, target: str, *, on: bool) -> None:
        """Inject or clear the fault."""


FAULTS: Registry[Fault] = Registry('fault')


@FAULTS.register('engine-lost')
def crash_engine(bench: DeploymentBench, target: str, *, on: bool) -> None:
    """Crash a runner's engine and keep it down."""
    bench.upstreams[target].reachable = not on
    if on:
        bench.engines[target].crash()


@FAULTS.register('runner-drained')
def drain_runner(bench: DeploymentBench, target: str, *, on: bool) -> None:
    """Let the platform list the process of a runner as draining."""
    bench.instances.put(bench.configuration['runners'][target]['agent'], draining=on)


@FAULTS.register('reports-late')
def delay_reports(bench: DeploymentBench, target: str, *, on: bool) -> None:
    """Delay the load reports of all engines by some seconds."""
    for engine in bench.engines.values():
        engine.report_extra_lag_s = REPORT_DELAY_S if on else 0


@FAULTS.register('reports-gone')
def freeze_reports(bench: DeploymentBench, target: str, *, on: bool) -> None:
    """Freeze the load that all engines report."""
    for engine in bench.engines.values():
        engine.reports_frozen = on


@FAULTS.register('log-outage')
def fail_log(bench: DeploymentBench, target: str, *, on: bool) -> None:
    """Make the log unavailable."""
    bench.log.faults.unavailable = on


@FAULTS.register('leader-killed')
def kill_leader(bench: DeploymentBench, target: str, *, on: bool) -> None:
    """Kill the instance that holds a fleet's lease; start a new one when cleared."""
    if on:
        for name, started in bench.entries.items():
            follower = started.entry.follower
            lease = follower.state.leases.get(target)
            if lease is not None and lease.holder == follower.writer:
                bench.kill_entry(name)
                return
    else:
        bench.start_entry(f'entry-{len(bench.entries) + 1}')


@FAULTS.register('zone-lost')
def crash_zone(bench: DeploymentBench, target: str, *, on: bool) -> None:
    """Crash every engine of an availability zone and keep it down."""
    for name, runner in bench.configuration['runners'].items():
        if runner['availability_zone'] == target:
            crash_engine(bench, name, on=on)


__all__ = ('FAULTS', 'Fault')
