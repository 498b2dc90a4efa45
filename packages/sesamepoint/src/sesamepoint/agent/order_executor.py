"""Execution of the orders to a runner on the control log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError, UpstreamError
from sesamepoint_core.fold.record_outcome import Accepted
from sesamepoint_core.fold.records import ClaimLease, OrderDone
from sesamepoint_core.fold.state import NO_OFFSET
from sesamepoint import events
from sesamepoint.upstream.base import OrderRefusedError, UpstreamUnreachableError

if TYPE_CHECKING:
    from sesamepoint_core.fold.state import StandingOrder
    from sesamepoint.agent.agent import Agent

PERMISSION_TTL_S = 2.0
PERMISSION_MARGIN_S = 0.5
CHECK_INTERVAL_S = 0.25
REVIEW_INTERVAL_S = 1.0
MAX_REPORT_AGE_S = 1.0
REPORT_TIMEOUT_S = 5.0


class OrderExecutor:
    """Claims the lease on the runner's slot, then executes the orders to its upstream.

    Orders are read only from the state derived from the log. An order whose
    lease holder or version was outdated at the order's offset is rejected
    there and never executed. Orders are executed one at a time; of those that
    arrive meanwhile only the newest counts.
    """

    def __init__(self, agent: Agent) -> None:
        """Execute the orders to the runner of ``agent``."""
        self._agent = agent
        self._follower = agent.follower
        self._slot = f'slot/{agent.runner}'
        self._has_predecessor = False

    async def execute(self) -> None:
        """Claim the slot and execute orders until another agent claims it."""
        await self._follower.recovered.wait()
        await self._claim_slot()
        while self._holds_slot():
            await self._process_order(self._current_order())
        # A newer agent claimed the slot: this one was paused or replaced. It
        # accepts no more work, so that instances use its successor.
        events.log_event(events.LEASE_LOST, lease=self._slot)
        self._agent.draining = True

    async def _process_order(self, order: StandingOrder | None) -> None:
        load = self._agent.load
        if order is None or load.changing or load.role in {order.role, ''}:
            if order is not None and load.role == order.role and not order.done:
                await self._report_done(order)
            await self._follower.changed.wait_with_timeout(REVIEW_INTERVAL_S)
        else:
            await self._execute_order(order)

    async def _claim_slot(self) -> None:
        while not self._holds_slot():
            previous = self._follower.state.leases.get(self._slot)
            last_seen = previous.renewed if previous else NO_OFFSET
            self._has_predecessor = previous is not None
            outcome = await self._follower.submit(ClaimLease(self._slot, self._agent.incarnation, last_seen))
            if isinstance(outcome, Accepted) and previous is not None:
                # The previous agent may still act on a read of the log that
                # began before this claim, until its permission expires. To get
                # another permission it must read this claim.
                await trio.sleep(PERMISSION_TTL_S + PERMISSION_MARGIN_S)
        events.log_event(events.SLOT_CLAIMED, runner=self._agent.runner)

    def _holds_slot(self) -> bool:
        lease = self._follower.state.leases.get(self._slot)
        return lease is not None and lease.holder == self._agent.incarnation

    def _current_order(self) -> StandingOrder | None:
        return self._follower.state.orders.get(self._agent.runner)

    async def _execute_order(self, order: StandingOrder) -> None:
        if order.done:
            events.log_event(events.UNEXPECTED_UPSTREAM_STATE, runner=self._agent.runner, role=self._agent.load.role)
        self._agent.executing_order = True
        try:
            await self._drain_and_send(order)
        finally:
            self._agent.executing_order = False

    async def _drain_and_send(self, order: StandingOrder) -> None:
        events.log_event(events.ORDER_STARTED, runner=self._agent.runner, offset=order.offset, role=order.role)
        await self._agent.drained()
        await self._wait_until_idle()
        if not await self._is_permitted(order):
            await trio.sleep(CHECK_INTERVAL_S)
            return
        try:
            await self._agent.upstream.order(order.role, order.fence)
        except OrderRefusedError as exc:
            events.log_event(events.ORDER_REFUSED, runner=self._agent.runner, cause=str(exc))
            await trio.sleep(REVIEW_INTERVAL_S)
        except (UpstreamError, UpstreamUnreachableError):
            await trio.sleep(CHECK_INTERVAL_S)
        await self._wait_for_role_change()

    async def _wait_until_idle(self) -> None:
        """Wait until the upstream itself runs nothing.

        A previous agent that was killed left its runs at the upstream, and
        this one has no record of them. Executing an order would drop them,
        although they may be requests with side effects, such as bookings.
        """
        if not self._has_predecessor:
            return
        await trio.sleep(MAX_REPORT_AGE_S)
        load = await self._agent.refresh_load()
        while load.running or load.waiting:
            await trio.sleep(CHECK_INTERVAL_S)
            load = await self._agent.refresh_load()

    async def _is_permitted(self, order: StandingOrder) -> bool:
        """Read the log to its end, then check that the order is still current.

        The permission expires a fixed time after the start of the read. A read
        that takes longer permits nothing, since a successor may already act.
        """
        asked_at = trio.current_time()
        try:
            await self._follower.read_to_end()
        except PlatformUnavailableError:
            return False
        fresh = trio.current_time() - asked_at < PERMISSION_TTL_S
        return fresh and self._holds_slot() and self._current_order() == order

    async def _wait_for_role_change(self) -> None:
        while (await self._agent.refresh_load()).changing:
            await trio.sleep(CHECK_INTERVAL_S)

    async def _report_done(self, order: StandingOrder) -> None:
        # The runner serves again before this is written: an unavailable log
        # must not keep a runner out of service.
        with trio.move_on_after(REPORT_TIMEOUT_S):
            await self._follower.submit(OrderDone(self._agent.runner, order.offset, self._agent.load.role))
            events.log_event(events.ORDER_DONE, runner=self._agent.runner, offset=order.offset, role=order.role)


__all__ = ('OrderExecutor',)
