"""The deployment that a fuzzed program runs on, and the steps of such programs."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from sesamepoint_core.fold.record_outcome import Accepted
from sesamepoint_core.fold.records import ClaimLease, Order, SwitchPreset
from sesamepoint_core.registry import Registry
from sesamepoint_standins.deployment_bench import DeploymentBench
from tests.builders import publish, runner
from tests.virtual_time import CallRecord, request, send_request, unique_body

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint.control.follower import Follower
    from sesamepoint.entry.request import CallerRequest

SIZE = 3
FLEET = 'verdict-llm'
ROLES = ('prefill', 'decode', 'mixed')
OPERATOR_WAIT_S = 3.0
ORDER_WAIT_S = 6.0


class Step(Protocol):
    """A kind of step; its number selects the target and the extent."""

    async def __call__(self, simulation: Simulation, number: int) -> None:
        """Take the step."""


class SentRequest(NamedTuple):
    """A request and its answer, which is None while the caller waits."""

    req: CallerRequest
    record: CallRecord | None


class Simulation:
    """A simulated deployment, the requests sent to it, and the accepted configuration versions."""

    def __init__(self, bed: DeploymentBench, nursery: trio.Nursery) -> None:
        """Start without requests and changes."""
        self.bed = bed
        self.nursery = nursery
        self.sent: list[SentRequest] = []
        self.accepted_versions: list[int] = []

    def send(self, req: CallerRequest, entry: str) -> None:
        """Send a request without waiting."""
        number = len(self.sent)
        self.sent.append(SentRequest(req, None))
        self.nursery.start_soon(self._send, number, req, entry)

    async def run_as_operator(self, action: Callable[[Follower], Awaitable[None]], wait_s: float) -> None:
        """Run an operator's action, and cancel it after ``wait_s`` seconds."""
        with trio.move_on_after(wait_s):
            async with self.bed.operator_follower() as operator:
                await action(operator)

    async def _send(self, number: int, req: CallerRequest, entry: str) -> None:
        seen = await send_request(self.bed, req, entry)
        self.sent[number] = SentRequest(req, seen)


STEPS: Registry[Step] = Registry('step')


@STEPS.register('send')
async def send(simulation: Simulation, number: int) -> None:
    """Send a request, which may run more than once only if the number is odd."""
    await trio.lowlevel.checkpoint()
    req = request(
        body=unique_body(1000 + len(simulation.sent)), output_tokens=20 + 40 * (number % 5), repeatable=bool(number % 2)
    )
    simulation.send(req._replace(streamed=number % 3 == 0), _instance_name(simulation, number))


@STEPS.register('send_key')
async def send_key(simulation: Simulation, number: int) -> None:
    """Send a request with one of three idempotency keys, which may have been sent before."""
    await trio.lowlevel.checkpoint()
    key = number % 3
    simulation.send(
        request(body=unique_body(key), key=f'key-{key}', repeatable=False), _instance_name(simulation, number // 3)
    )


@STEPS.register('wait')
async def wait(simulation: Simulation, number: int) -> None:
    """Let 0.5 s to 8 s pass."""
    await trio.sleep(0.5 * 2 ** (number % 5))


@STEPS.register('kill_agent')
async def kill_agent(simulation: Simulation, number: int) -> None:
    """Kill an agent and start its successor immediately."""
    await trio.lowlevel.checkpoint()
    name = _runner_name(number)
    simulation.bed.agents[name].scope.cancel()
    simulation.bed.start_agent(name)


@STEPS.register('pause_agent')
async def toggle_agent_pause(simulation: Simulation, number: int) -> None:
    """Pause an agent, or resume it if it is paused."""
    await trio.lowlevel.checkpoint()
    gate = simulation.bed.agents[_runner_name(number)].faults
    if gate.paused:
        gate.resume()
    else:
        gate.paused = True


@STEPS.register('stop_agent')
async def restart_agent(simulation: Simulation, number: int) -> None:
    """Stop an agent gracefully and start its successor afterwards."""
    started = simulation.bed.agents[_runner_name(number)]
    with trio.move_on_after(ORDER_WAIT_S):
        await started.stop()
        simulation.bed.start_agent(_runner_name(number))


@STEPS.register('mute')
async def kill_connections(simulation: Simulation, number: int) -> None:
    """Make all open connections to a runner go silent; new ones work."""
    await trio.lowlevel.checkpoint()
    for (_, name), wire in simulation.bed.network_paths.items():
        if name == _runner_name(number):
            wire.kill_open_connections()


@STEPS.register('cut')
async def toggle_network_cut(simulation: Simulation, number: int) -> None:
    """Cut an instance off from a runner, or reconnect them."""
    await trio.lowlevel.checkpoint()
    wire = simulation.bed.network_paths.get((_instance_name(simulation, number // SIZE), _runner_name(number)))
    if wire is not None:
        wire.cut = not wire.cut


@STEPS.register('log_away')
async def toggle_log_outage(simulation: Simulation, number: int) -> None:
    """Make the log unavailable, or available again."""
    await trio.lowlevel.checkpoint()
    simulation.bed.log.faults.unavailable = not simulation.bed.log.faults.unavailable


@STEPS.register('lose_reply')
async def lose_reply(simulation: Simulation, number: int) -> None:
    """Lose the replies to the next one or two appends, which still take effect."""
    await trio.lowlevel.checkpoint()
    simulation.bed.log.faults.replies_to_lose = 1 + number % 2


@STEPS.register('publish')
async def publish_step(simulation: Simulation, number: int) -> None:
    """Publish a configuration that drains at most one runner."""
    drained = {f'verdict-{index + 1}': runner(index, draining=index == number % 5) for index in range(SIZE)}

    async def submit_change(operator: Follower) -> None:
        outcome = await operator.submit(publish(operator.state.version, runners=drained))
        if isinstance(outcome, Accepted):
            simulation.accepted_versions.append(outcome.version)

    await simulation.run_as_operator(submit_change, OPERATOR_WAIT_S)


@STEPS.register('preset')
async def preset_step(simulation: Simulation, number: int) -> None:
    """Switch to one of the three presets."""

    async def submit_change(operator: Follower) -> None:
        name = ('ordinary', 'peak', 'maintenance')[number % 3]
        outcome = await operator.submit(SwitchPreset(operator.state.version, 'fuzz', name))
        if isinstance(outcome, Accepted):
            simulation.accepted_versions.append(outcome.version)

    await simulation.run_as_operator(submit_change, OPERATOR_WAIT_S)


@STEPS.register('order')
async def order_step(simulation: Simulation, number: int) -> None:
    """Claim the lease of the fleet, as a new leader does, and order a role."""

    async def submit_change(operator: Follower) -> None:
        await operator.read_to_end()
        state = operator.state
        lease = state.leases.get(FLEET)
        claim = ClaimLease(FLEET, operator.writer, lease.renewed if lease else -1)
        outcome = await operator.submit(claim)
        role = ROLES[number // SIZE % len(ROLES)]
        order = Order(FLEET, _runner_name(number), role, outcome.offset, state.version, 'fuzz')
        await operator.submit(order)

    await simulation.run_as_operator(submit_change, OPERATOR_WAIT_S)


@STEPS.register('crash_engine')
async def crash_engine(simulation: Simulation, number: int) -> None:
    """Crash an engine; a role change in progress stays incomplete."""
    await trio.lowlevel.checkpoint()
    simulation.bed.engines[_runner_name(number)].crash()


@STEPS.register('leave')
async def mark_draining(simulation: Simulation, number: int) -> None:
    """List a runner as draining, or as available again."""
    await trio.lowlevel.checkpoint()
    address = simulation.bed.configuration['runners'][_runner_name(number)]['agent']
    simulation.bed.instances.put(address, draining=bool(number // SIZE % 2))


def _runner_name(number: int) -> str:
    return f'verdict-{number % SIZE + 1}'


def _instance_name(simulation: Simulation, number: int) -> str:
    names = sorted(simulation.bed.entries)
    return names[number % len(names)]


async def remove_faults(simulation: Simulation) -> None:
    """Remove all faults and wait until the deployment has settled."""
    simulation.bed.log.faults.unavailable = False
    simulation.bed.log.faults.replies_to_lose = 0
    for wire in simulation.bed.network_paths.values():
        wire.cut = False
    for started in simulation.bed.agents.values():
        started.faults.resume()
    await trio.sleep(60)


__all__ = ('FLEET', 'SIZE', 'STEPS', 'SentRequest', 'Simulation', 'remove_faults')
