"""``sesamectl show``: the current state of a deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from sesamectl.commands.base import COMMANDS, Arguments, with_follower

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint_core.fold.state import State
    from sesamepoint.control.follower import Follower


@COMMANDS.register('show')
def show(arguments: Arguments) -> str:
    """Show version, preset, leases, orders and the last changes."""
    state = with_follower(arguments, arguments['--deployment'], _read_state)
    if arguments['--json']:
        return msgspec.json.encode(_to_json_object(state)).decode()
    return '\n'.join(_describe_state(state))


async def _read_state(follower: Follower) -> State:
    await trio.lowlevel.checkpoint()
    return follower.state


def _to_json_object(state: State) -> dict[str, object]:
    fields: dict[str, object] = state._asdict()
    fields.pop('writers')
    fields['configuration'] = msgspec.Raw(state.configuration)
    fields['leases'] = {name: lease._asdict() for name, lease in state.leases.items()}
    fields['orders'] = {name: order._asdict() for name, order in state.orders.items()}
    fields['changes'] = [change._asdict() for change in state.changes]
    return fields


def _describe_state(state: State) -> Iterator[str]:
    yield f'version {state.version}, preset {state.preset}, offset {state.offset}'
    for change in state.changes:
        yield f'  version {change.version} at offset {change.offset}: {change.what}, by {change.operator}'
    for name, lease in sorted(state.leases.items()):
        yield f'lease {name}: {lease.holder}, fencing number {lease.fence}'
    for runner, order in sorted(state.orders.items()):
        progress = 'done' if order.done else 'standing'
        yield f'order {runner}: {order.role} ({progress}), fencing number {order.fence}: {order.reason}'


__all__ = ('show',)
