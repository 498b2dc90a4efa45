"""The deployment that a fuzzed program runs on, and the steps of such programs."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from sesamepoint_core.fold.records import ClaimLease, Order, SwitchPreset
from sesamepoint_core.fold.verdict import Accepted
from sesamepoint_core.registry import Registry
from sesamepoint_standins.bed import Bed
from tests.builders import publish, runner
from tests.virtual import Seen, body, call, request

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

    async def __call__(self, world: World, number: int) -> None:
        """Take the step."""


class Sent(NamedTuple):
    """A request and its answer, which is None while the caller waits."""

    req: CallerRequest
    seen: Seen | None


class World:
    """A simulated deployment, the requests sent to it, and the accepted configuration versions."""

    def __init__(self, bed: Bed, nursery: trio.Nursery) -> None:
        """Start without requests and changes."""
        self.bed = bed
        self.nursery = nursery
        self.sent: list[Sent] = []
        self.accepted: list[int] = []

    def send(self, req: CallerRequest, entry: str) -> None:
        """Send a request without waiting."""
        number = len(self.sent)
        self.sent.append(Sent(req, None))
        self.nursery.start_soon(self._send, number, req, entry)

    async def operate(self, act: Callable[[Follower], Awaitable[None]], wait_s: float) -> None:
        """Run an operator's action, and cancel it after ``wait_s`` seconds."""
        with trio.move_on_after(wait_s):
            async with self.bed.operator() as operator:
                await act(operator)

    async def _send(self, number: int, req: CallerRequest, entry: str) -> None:
        seen = await call(self.bed, req, entry)
        self.sent[number] = Sent(req, seen)


STEPS: Registry[Step] = Registry('step')


@STEPS.register('send')
async def send(world: World, number: int) -> None:
    """Send a request, which may run more than once only if the number is odd."""
    await trio.lowlevel.checkpoint()
    req = request(body=body(1000 + len(world.sent)), output_tokens=20 + 40 * (number % 5), repeatable=bool(number % 2))
    world.send(req._replace(streamed=number % 3 == 0), _entry(world, number))


@STEPS.register('send_key')
async def send_key(world: World, number: int) -> None:
    """Send a request with one of three idempotency keys, which may have been sent before."""
    await trio.lowlevel.checkpoint()
    key = number % 3
    world.send(request(body=body(key), key=f'key-{key}', repeatable=False), _entry(world, number // 3))


@STEPS.register('wait')
async def wait(world: World, number: int) -> None:
    """Let 0.5 s to 8 s pass."""
    await trio.sleep(0.5 * 2 ** (number % 5))


@STEPS.register('kill_agent')
async def kill_agent(world: World, number: int) -> None:
    """Kill an agent and start its successor immediately."""
    await trio.lowlevel.checkpoint()
    name = _runner(number)
    world.bed.agents[name].scope.cancel()
    world.bed.start_agent(name)


@STEPS.register('pause_agent')
async def pause_agent(world: World, number: int) -> None:
    """Pause an agent, or resume it if it is paused."""
    await trio.lowlevel.checkpoint()
    gate = world.bed.agents[_runner(number)].gate
    if gate.paused:
        gate.resume()
    else:
        gate.paused = True


@STEPS.register('stop_agent')
async def stop_agent(world: World, number: int) -> None:
    """Stop an agent gracefully and start its successor afterwards."""
    started = world.bed.agents[_runner(number)]
    with trio.move_on_after(ORDER_WAIT_S):
        await started.stop()
        world.bed.start_agent(_runner(number))


@STEPS.register('mute')
async def mute(world: World, number: int) -> None:
    """Make all open connections to a runner go silent; new ones work."""
    await trio.lowlevel.checkpoint()
    for (_, name), wire in world.bed.wires.items():
        if name == _runner(number):
            wire.mute()


@STEPS.register('cut')
async def cut(world: World, number: int) -> None:
    """Cut an instance off from a runner, or reconnect them."""
    await trio.lowlevel.checkpoint()
    wire = world.bed.wires.get((_entry(world, number // SIZE), _runner(number)))
    if wire is not None:
        wire.cut = not wire.cut


@STEPS.register('log_away')
async def log_away(world: World, number: int) -> None:
    """Make the log unavailable, or available again."""
    await trio.lowlevel.checkpoint()
    world.bed.log.faults.away = not world.bed.log.faults.away


@STEPS.register('lose_reply')
async def lose_reply(world: World, number: int) -> None:
    """Lose the replies to the next one or two appends, which still take effect."""
    await trio.lowlevel.checkpoint()
    world.bed.log.faults.lose_replies = 1 + number % 2


@STEPS.register('publish')
async def publish_step(world: World, number: int) -> None:
    """Publish a configuration that drains at most one runner."""
    drained = {f'verdict-{index + 1}': runner(index, draining=index == number % 5) for index in range(SIZE)}

    async def submit_change(operator: Follower) -> None:
        outcome = await operator.submit(publish(operator.state.version, runners=drained))
        if isinstance(outcome, Accepted):
            world.accepted.append(outcome.version)

    await world.operate(submit_change, OPERATOR_WAIT_S)


@STEPS.register('preset')
async def preset_step(world: World, number: int) -> None:
    """Switch to one of the three presets."""

    async def submit_change(operator: Follower) -> None:
        name = ('ordinary', 'peak', 'maintenance')[number % 3]
        outcome = await operator.submit(SwitchPreset(operator.state.version, 'fuzz', name))
        if isinstance(outcome, Accepted):
            world.accepted.append(outcome.version)

    await world.operate(submit_change, OPERATOR_WAIT_S)


@STEPS.register('order')
async def order_step(world: World, number: int) -> None:
    """Claim the lease of the fleet, as a new leader does, and order a role."""

    async def submit_change(operator: Follower) -> None:
        await operator.read_to_end()
        state = operator.state
        lease = state.leases.get(FLEET)
        claim = ClaimLease(FLEET, operator.writer, lease.renewed if lease else -1)
        outcome = await operator.submit(claim)
        role = ROLES[number // SIZE % len(ROLES)]
        order = Order(FLEET, _runner(number), role, outcome.offset, state.version, 'fuzz')
        await operator.submit(order)

    await world.operate(submit_change, OPERATOR_WAIT_S)


@STEPS.register('crash_engine')
async def crash_engine(world: World, number: int) -> None:
    """Crash an engine; a role change in progress stays incomplete."""
    await trio.lowlevel.checkpoint()
    world.bed.engines[_runner(number)].crash()


@STEPS.register('leave')
async def leave(world: World, number: int) -> None:
    """List a runner as draining, or as available again."""
    await trio.lowlevel.checkpoint()
    address = world.bed.configuration['runners'][_runner(number)]['agent']
    world.bed.instances.put(address, leaving=bool(number // SIZE % 2))


def _runner(number: int) -> str:
    return f'verdict-{number % SIZE + 1}'


def _entry(world: World, number: int) -> str:
    names = sorted(world.bed.entries)
    return names[number % len(names)]


async def heal(world: World) -> None:
    """Remove all faults and wait until the deployment has settled."""
    world.bed.log.faults.away = False
    world.bed.log.faults.lose_replies = 0
    for wire in world.bed.wires.values():
        wire.cut = False
    for started in world.bed.agents.values():
        started.gate.resume()
    await trio.sleep(60)


__all__ = ('FLEET', 'SIZE', 'STEPS', 'Sent', 'World', 'heal')
