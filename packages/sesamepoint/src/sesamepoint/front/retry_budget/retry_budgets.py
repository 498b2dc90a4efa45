"""Retry budgets of this instance, one for each service, and what each decision is logged with."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.admit.reserve_share import ReserveShare
from sesamepoint_core.admit.window_budget import WindowBudget
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.engines.prefill import PrefillArrival
from sesamepoint.front.retry_budget.service_life import ServiceLife
from sesamepoint.front.telemetry.rows import Rows

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.admit.window_budget import Payment
    from sesamepoint.front.requests.arrivals import Arrival, Read
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.settings import FrontSettings

# Share of the retry budget that is used. The rest is a margin for callers who move while sends are unread.
RETRY_BUDGET_SHARE = 0.95
# Seconds from a send to the first sign that it was read beyond which the read is late.
LATE_READ_S = 1.0


class RepeatBound(NamedTuple):
    """The bound on repeats as the operator states it, for all instances together."""

    ratio: float
    slack: float
    window_s: float

    @classmethod
    def from_config(cls, cfg: FrontSettings) -> RepeatBound:
        """Return the bound that the settings state."""
        return cls(cfg.retry_ratio, cfg.retry_reserve, cfg.retry_window_s)


class ServiceBudget:
    """The retry budget of one service, which logs and counts its decisions."""

    def __init__(self, service: str, window: WindowBudget, budgets: RetryBudgets) -> None:
        """Decide by ``window``, with the share of the reserve that ``budgets`` knows."""
        self.window = window
        self._service = service
        self._budgets = budgets
        self._started_at = budgets.clock()
        self._life = ServiceLife(budgets.window_s, budgets.clock)
        # When a first prefill was last accepted by no runner.
        self._unaccepted_at = -math.inf

    def change_bound(self, bound: RepeatBound) -> None:
        """Apply a changed ratio and window; the share of the reserve is asked for at each send."""
        self.window.change_bound(RETRY_BUDGET_SHARE * bound.ratio, bound.window_s)
        self._life.change_window(bound.window_s)

    def earn(self) -> None:
        """Count a request; while the runners show no life, requests earn nothing."""
        self._life.note_request()
        self._earn_waiting()

    def cover(self, job: Job, ahead: int = 0) -> bool:
        """Pay for the next send of a request, and ``ahead`` more, unless they are paid; return False if they can't be.

        A send that was paid and not made pays for the next one.
        """
        while not job.arrivals.is_paid(ahead):
            payment = self._spend(job.req.request_id)
            if payment is None:
                return False
            job.arrivals.unread_payments.append(payment)
        return True

    def hold_prefill(self, job: Job) -> bool:
        """Return whether a first remote prefill must not be sent.

        It is free if a runner accepts it, even if it fails there. While all engines reject or reset
        prefills, each request would add a repeat that nobody has asked for; so once one was not
        accepted, the next ones take a repeat before they are sent.
        """
        lately = self._budgets.clock() - self._unaccepted_at < self._budgets.window_s
        return lately and not self.cover(job, ahead=1)

    def settle_prefill(self, job: Job, arrival: PrefillArrival) -> None:
        """Give back what was paid for a remote prefill that was not sent or is free."""
        if arrival is PrefillArrival.unaccepted:
            self._unaccepted_at = self._budgets.clock()
        else:
            job.arrivals.refund_unused()

    def settle(self, payment: Payment) -> None:
        """Count a send beyond the first that a runner has read."""
        self.window.settle(payment)

    def refund(self, payment: Payment) -> None:
        """Take back what was paid for a send that is not made."""
        self.window.refund(payment)

    def note_arrival(self, arrival: Arrival) -> None:
        """Log and count a send of a request of this service."""
        self._life.note_send()
        extra = 'yes' if arrival.extra else 'no'
        self._budgets.arrivals.add(self._service, arrival.reason.value, extra if arrival.paid else 'unpaid')
        if arrival.extra:
            events.log_event(
                events.REPEAT_SENT,
                request=arrival.request_id,
                service=self._service,
                runner=arrival.runner,
                reason=arrival.reason.value,
                paid=arrival.paid,
                first_sent_ago_ms=whole_ms(arrival.first_sent_ago_s),
                budget_age_s=round(self._budgets.clock() - self._started_at, 3),
            )

    def note_life(self) -> None:
        """Learn that a runner of this service has read a request."""
        self._life.note_life()
        self._earn_waiting()

    def note_read(self, read: Read) -> None:
        """Log and count a send, of a request that was sent more than once, that its runner has read."""
        late = read.unread_s > LATE_READ_S
        self._budgets.reads.add(self._service, read.sign.value, 'yes' if late else 'no')
        events.log_event(
            events.SEND_READ,
            request=read.arrival.request_id,
            service=self._service,
            runner=read.arrival.runner,
            reason=read.arrival.reason.value,
            sign=read.sign.value,
            unread_ms=whole_ms(read.unread_s),
            repeat=read.extra,
            budget_age_s=round(self._budgets.clock() - self._started_at, 3),
        )

    def _earn_waiting(self) -> None:
        for _ in range(self._life.take_earning()):
            self.window.earn()

    def _spend(self, request_id: str) -> Payment | None:
        self.window.resize(self._budgets.share(self._service) if self._life.reserve_counts else 0)
        payment = self.window.spend()
        outcome = 'denied' if payment is None else 'granted'
        self._log(events.RETRY_BUDGET_ASKED, request_id, outcome, source=payment.source if payment else '')
        return payment

    def _log(self, event: events.Event, request_id: str, outcome: str, **fields: object) -> None:
        self._budgets.decisions.add(self._service, outcome)
        events.log_event(
            event,
            request=request_id,
            service=self._service,
            outcome=outcome,
            **fields,
            shows_life=self._life.shown,
            budget_age_s=round(self._budgets.clock() - self._started_at, 3),
            instances=self._budgets.reserve_share.instances,
            list_current=self._budgets.reserve_share.current,
            **self.window.log_fields(),
        )


class RetryBudgets:
    """Retry budgets, one for each service; each is a share of the budget of all instances."""

    def __init__(self, name: str, bound: RepeatBound, clock: Callable[[], float]) -> None:
        """Keep ``bound``.

        A share of its slack counts once the instance called ``name`` has been on the list of instances for long enough.

        Parameters
        ----------
        clock
            Returns the time of a monotonic clock that goes on while the machine is suspended, in seconds. With one
            that stands still, the requests of before paid once more for what other instances have paid meanwhile.
        """
        self.decisions = Rows.empty(
            'sesamepoint_retry_budget',
            'Sends beyond the first, by what the retry budget decided.',
            'service',
            'outcome',
        )
        self.arrivals = Rows.empty(
            'sesamepoint_arrivals',
            'Sends of requests to runners, by reason; the bound on repeats counts the extra ones, unpaid ones too.',
            'service',
            'reason',
            'extra',
        )
        self.reads = Rows.empty(
            'sesamepoint_repeated_reads',
            'Sends of requests that were sent more than once, by what showed that they were read, and whether late.',
            'service',
            'sign',
            'late',
        )
        self.clock = clock
        self.reserve_share = ReserveShare(name, bound.window_s, clock)
        self._bound = bound
        self._reserve = RETRY_BUDGET_SHARE * bound.slack
        self._by_service: dict[str, ServiceBudget] = {}

    @classmethod
    def from_config(cls, cfg: FrontSettings, clock: Callable[[], float]) -> RetryBudgets:
        """Build the budgets of an instance by its settings."""
        return cls(cfg.name, RepeatBound.from_config(cfg), clock)

    @property
    def window_s(self) -> float:
        """Return the length of the window, in seconds."""
        return self._bound.window_s

    def earn(self, service: str) -> ServiceBudget:
        """Count a request for its service and return the budget of the service."""
        budget = self._by_service.get(service)
        if budget is None:
            window = WindowBudget(RETRY_BUDGET_SHARE * self._bound.ratio, 0, self.window_s, self.clock)
            budget = ServiceBudget(service, window, self)
            self._by_service[service] = budget
        budget.earn()
        return budget

    def reconfigure(self, bound: RepeatBound) -> None:
        """Apply a changed bound on all instances together."""
        before = self._bound
        if bound == before:
            return
        self._bound = bound
        self._reserve = RETRY_BUDGET_SHARE * bound.slack
        if bound.window_s != before.window_s:
            self.reserve_share.change_window(bound.window_s)
        for budget in self._by_service.values():
            budget.change_bound(bound)
        self.log_share()

    def log_share(self) -> None:
        """Log the bound on all instances together, and by which number of instances this one takes its share."""
        share = self.reserve_share
        events.log_event(
            events.RETRY_SHARE_CHANGED,
            instances=share.instances,
            list_current=share.current,
            **self._bound._asdict(),
        )

    def spent(self) -> int:
        """Return the sends beyond the first in the window, over all services."""
        return sum(each.window.spent for each in self._by_service.values())

    def unread(self) -> int:
        """Return the sends beyond the first that nothing shows to be read, over all services."""
        return sum(each.window.unread for each in self._by_service.values())

    def requests(self) -> int:
        """Return the requests in the window, over all services."""
        return sum(each.window.requests for each in self._by_service.values())

    def share(self, service: str = '') -> float:
        """Return the share of the reserve that this instance may use now at ``service``, in sends."""
        return self.reserve_share.share(self._reserve, service)


__all__ = ('RepeatBound', 'RetryBudgets', 'ServiceBudget')
