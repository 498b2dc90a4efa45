"""Transitions of the folded state: apply one record and return the next state and the outcome."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.config.check import check_configuration, preset_names
from sesamepoint_core.decoding import UndecodableError
from sesamepoint_core.fold.records import (
    Body,
    ClaimLease,
    Order,
    OrderDone,
    Publish,
    Record,
    RenewLease,
    SwitchPreset,
    decode,
)
from sesamepoint_core.fold.record_outcome import Accepted, RecordOutcome, Rejected, Repeated
from sesamepoint_core.fold.state import NO_CONFIGURATION, NO_OFFSET, Change, Lease, StandingOrder, State

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

MAX_CHANGES = 32
MAX_WRITERS = 4096


class Step(NamedTuple):
    """State after a record, and the outcome of the record."""

    state: State
    outcome: RecordOutcome
    record: Record | None = None


def apply(state: State, offset: int, payload: bytes) -> Step:
    """Apply one record to the state.

    Parameters
    ----------
    state
        State after all records before ``offset``.
    offset
        Offset of the record on the log.
    payload
        Encoded record.

    Returns
    -------
    Step
        Next state, which has the new ``offset`` whatever the outcome is.
    """
    advanced = state._replace(offset=offset)
    try:
        record, body = decode(payload)
    except UndecodableError as exc:
        return Step(
            advanced, _rejected(offset, 'unreadable', f'record {offset} cannot be read: {exc}', 'upgrade this process')
        )
    # A writer that got no reply to an append repeats it with the same serial,
    # so both copies may be on the log. The second must have no effect, or a
    # lost reply would publish or order twice.
    if record.serial <= state.writers.get(record.writer, (NO_OFFSET, NO_OFFSET))[0]:
        return Step(advanced, Repeated(offset), record)
    advanced = advanced._replace(writers=_with_writer(state.writers, record, offset))
    return _HANDLERS[type(body)](advanced, offset, body)._replace(record=record)


def _with_writer(writers: dict[str, tuple[int, int]], record: Record, offset: int) -> dict[str, tuple[int, int]]:
    kept = {**writers, record.writer: (record.serial, offset)}
    if len(kept) > MAX_WRITERS:
        oldest = min(kept, key=lambda name: kept[name][1])
        kept.pop(oldest)
    return kept


def _publish(state: State, offset: int, body: Publish) -> Step:
    conflict = _version_conflict(state, offset, body.based_on)
    if conflict:
        return Step(state, conflict)
    problems = check_configuration(bytes(body.configuration))
    if problems:
        return Step(state, _rejected(offset, 'invalid', problems[0], 'run "sesamectl check" on the file'))
    if state.preset not in preset_names(bytes(body.configuration)):
        return Step(
            state,
            _rejected(
                offset,
                'preset_missing',
                f'preset {state.preset!r} is in force and not in the file',
                'add it, or switch first',
            ),
        )
    published = state._replace(configuration=bytes(body.configuration))
    return _accept_change(published, offset, body.operator, 'configuration')


def _switch_preset(state: State, offset: int, body: SwitchPreset) -> Step:
    conflict = _version_conflict(state, offset, body.based_on)
    if conflict:
        return Step(state, conflict)
    if body.preset not in preset_names(state.configuration):
        return Step(
            state,
            _rejected(offset, 'no_such_preset', f'no preset {body.preset!r} is configured', 'run "sesamectl show"'),
        )
    return _accept_change(state._replace(preset=body.preset), offset, body.operator, f'preset {body.preset}')


def _accept_change(state: State, offset: int, operator: str, what: str) -> Step:
    version = state.version + 1
    changes = (*state.changes, Change(version, offset, operator, what))[-MAX_CHANGES:]
    return Step(state._replace(version=version, changes=changes), Accepted(offset, version))


def _version_conflict(state: State, offset: int, based_on: int) -> Rejected | None:
    if based_on == state.version:
        return None
    newest = state.changes[-1] if state.changes else Change(0, NO_OFFSET, 'nobody', 'nothing')
    return _rejected(
        offset,
        'version_conflict',
        f'made from version {based_on}, but {newest.operator} put version {newest.version} ({newest.what}) in force',
        f'look at version {newest.version} with "sesamectl show", then publish again on top of it',
    )


def _claim_lease(state: State, offset: int, body: ClaimLease) -> Step:
    lease = state.leases.get(body.name)
    if lease is not None and lease.renewed != body.last_seen:
        return Step(
            state,
            _rejected(offset, 'lease_moved', f'{lease.holder} holds {body.name}', 'wait for its renewals to stop'),
        )
    taken = {**state.leases, body.name: Lease(body.holder, offset, offset)}
    return Step(state._replace(leases=taken), Accepted(offset, state.version))


def _renew_lease(state: State, offset: int, body: RenewLease) -> Step:
    lease = state.leases.get(body.name)
    if lease is None or lease.fence != body.fence:
        return Step(
            state,
            _rejected(
                offset,
                'lease_lost',
                f'{body.name} was claimed by another',
                'stop acting, follow',
            ),
        )
    kept = {**state.leases, body.name: lease._replace(renewed=offset)}
    return Step(state._replace(leases=kept), Accepted(offset, state.version))


def _accept_order(state: State, offset: int, body: Order) -> Step:
    # A former lease holder that was paused may still append orders. Checking
    # the fencing number at the order's offset rejects them in every process
    # alike, with no clock and no message from the new holder.
    lease = state.leases.get(body.fleet)
    if lease is None or lease.fence != body.fence:
        return Step(
            state,
            _rejected(
                offset,
                'fenced',
                f'order {offset} was given under a lost lease',
                'stop acting, follow',
            ),
        )
    if body.version != state.version:
        return Step(
            state,
            _rejected(
                offset,
                'superseded',
                f'version {state.version} came before order {offset}',
                'plan anew',
            ),
        )
    standing = StandingOrder(
        offset, body.fleet, body.role, body.fence, body.version, body.reason, done=False, found_role=''
    )
    return Step(state._replace(orders={**state.orders, body.runner: standing}), Accepted(offset, state.version))


def _complete_order(state: State, offset: int, body: OrderDone) -> Step:
    standing = state.orders.get(body.runner)
    if standing is None or standing.offset != body.offset:
        return Step(
            state,
            _rejected(offset, 'superseded', f'order {body.offset} is no longer standing', 'nothing to do'),
        )
    done = standing._replace(done=True, found_role=body.role)
    return Step(state._replace(orders={**state.orders, body.runner: done}), Accepted(offset, state.version))


def _rejected(offset: int, code: str, reason: str, remedy: str) -> Rejected:
    return Rejected(offset, code, reason, remedy)


_HANDLERS: Mapping[type, Callable[[State, int, Body], Step]] = MappingProxyType(
    {
        Publish: _publish,  # type: ignore[dict-item]
        SwitchPreset: _switch_preset,  # type: ignore[dict-item]
        ClaimLease: _claim_lease,  # type: ignore[dict-item]
        RenewLease: _renew_lease,  # type: ignore[dict-item]
        Order: _accept_order,  # type: ignore[dict-item]
        OrderDone: _complete_order,  # type: ignore[dict-item]
    }
)

__all__ = ('NO_CONFIGURATION', 'Step', 'apply')
