"""The fold itself: one record in, the next state and a verdict out."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint_core.config.check import check_configuration, preset_names
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
from sesamepoint_core.fold.state import NEVER, NO_CONFIGURATION, Change, Lease, StandingOrder, State
from sesamepoint_core.fold.verdict import Accepted, Rejected, Repeated, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

KEPT_CHANGES = 32
KEPT_WRITERS = 4096


class Step(NamedTuple):
    """The state after a record, and what became of the record."""

    state: State
    verdict: Verdict
    record: Record | None = None


def apply(state: State, offset: int, payload: bytes) -> Step:
    """Fold one record.

    Parameters
    ----------
    state
        The fold of all records before ``offset``.
    offset
        Where the record lies on the log.
    payload
        The record's bytes.

    Returns
    -------
    Step
        The next state; its ``offset`` moves on whatever the verdict is.
    """
    moved = state._replace(offset=offset)
    try:
        record, body = decode(payload)
    except msgspec.DecodeError as exc:
        return Step(
            moved, _rejected(offset, 'unreadable', f'record {offset} cannot be read: {exc}', 'upgrade this process')
        )
    # A writer whose append was answered by silence appends again under the
    # same serial. Both copies may be on the log; the second must not count,
    # or a lost reply would publish, or order, twice.
    if record.serial <= state.writers.get(record.writer, (NEVER, NEVER))[0]:
        return Step(moved, Repeated(offset), record)
    moved = moved._replace(writers=_remember(state.writers, record, offset))
    return _RULES[type(body)](moved, offset, body)._replace(record=record)


def _remember(writers: dict[str, tuple[int, int]], record: Record, offset: int) -> dict[str, tuple[int, int]]:
    kept = {**writers, record.writer: (record.serial, offset)}
    if len(kept) > KEPT_WRITERS:
        oldest = min(kept, key=lambda name: kept[name][1])
        kept.pop(oldest)
    return kept


def _publish(state: State, offset: int, body: Publish) -> Step:
    stale = _stale_version(state, offset, body.based_on)
    if stale:
        return Step(state, stale)
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
    return _changed(published, offset, body.operator, 'configuration')


def _switch(state: State, offset: int, body: SwitchPreset) -> Step:
    stale = _stale_version(state, offset, body.based_on)
    if stale:
        return Step(state, stale)
    if body.preset not in preset_names(state.configuration):
        return Step(
            state,
            _rejected(offset, 'no_such_preset', f'no preset {body.preset!r} is configured', 'run "sesamectl show"'),
        )
    return _changed(state._replace(preset=body.preset), offset, body.operator, f'preset {body.preset}')


def _changed(state: State, offset: int, operator: str, what: str) -> Step:
    version = state.version + 1
    changes = (*state.changes, Change(version, offset, operator, what))[-KEPT_CHANGES:]
    return Step(state._replace(version=version, changes=changes), Accepted(offset, version))


def _stale_version(state: State, offset: int, based_on: int) -> Rejected | None:
    if based_on == state.version:
        return None
    winner = state.changes[-1] if state.changes else Change(0, NEVER, 'nobody', 'nothing')
    return _rejected(
        offset,
        'version_conflict',
        f'made from version {based_on}, but {winner.operator} put version {winner.version} ({winner.what}) in force',
        f'look at version {winner.version} with "sesamectl show", then publish again on top of it',
    )


def _claim(state: State, offset: int, body: ClaimLease) -> Step:
    lease = state.leases.get(body.name)
    if lease is not None and lease.renewed != body.last_seen:
        return Step(
            state,
            _rejected(offset, 'lease_moved', f'{lease.holder} holds {body.name}', 'wait for its renewals to stop'),
        )
    taken = {**state.leases, body.name: Lease(body.holder, offset, offset)}
    return Step(state._replace(leases=taken), Accepted(offset, state.version))


def _renew(state: State, offset: int, body: RenewLease) -> Step:
    lease = state.leases.get(body.name)
    if lease is None or lease.fence != body.fence:
        return Step(
            state, _rejected(offset, 'lease_lost', f'{body.name} was claimed by another', 'stop acting, follow')
        )
    kept = {**state.leases, body.name: lease._replace(renewed=offset)}
    return Step(state._replace(leases=kept), Accepted(offset, state.version))


def _order(state: State, offset: int, body: Order) -> Step:
    # A deposed holder may wake and still append. Judging its order here, at
    # its place in the log, makes it void for every process alike, whenever
    # it lands; no clock and no message from the new holder is needed.
    lease = state.leases.get(body.fleet)
    if lease is None or lease.fence != body.fence:
        return Step(
            state, _rejected(offset, 'fenced', f'order {offset} was given under a lost lease', 'stop acting, follow')
        )
    if body.version != state.version:
        return Step(
            state, _rejected(offset, 'superseded', f'version {state.version} came before order {offset}', 'plan anew')
        )
    standing = StandingOrder(
        offset, body.fleet, body.role, body.fence, body.version, body.reason, done=False, found_role=''
    )
    return Step(state._replace(orders={**state.orders, body.runner: standing}), Accepted(offset, state.version))


def _order_done(state: State, offset: int, body: OrderDone) -> Step:
    standing = state.orders.get(body.runner)
    if standing is None or standing.offset != body.offset:
        return Step(
            state, _rejected(offset, 'superseded', f'order {body.offset} is no longer standing', 'nothing to do')
        )
    done = standing._replace(done=True, found_role=body.role)
    return Step(state._replace(orders={**state.orders, body.runner: done}), Accepted(offset, state.version))


def _rejected(offset: int, code: str, reason: str, remedy: str) -> Rejected:
    return Rejected(offset, code, reason, remedy)


_RULES: Mapping[type, Callable[[State, int, Body], Step]] = MappingProxyType(
    {
        Publish: _publish,  # type: ignore[dict-item]
        SwitchPreset: _switch,  # type: ignore[dict-item]
        ClaimLease: _claim,  # type: ignore[dict-item]
        RenewLease: _renew,  # type: ignore[dict-item]
        Order: _order,  # type: ignore[dict-item]
        OrderDone: _order_done,  # type: ignore[dict-item]
    }
)

__all__ = ('NO_CONFIGURATION', 'Step', 'apply')
