"""Retry budgets of this instance, one for each service, and what each decision is logged with."""

from __future__ import annotations

import trio

from sesamepoint_core.admit.window_budget import WindowBudget
from sesamepoint import events
from sesamepoint.front.telemetry.rows import Rows

# Share of the retry budget that is used. The rest is a margin, because those who
# check the budget count arrivals over windows with other bounds.
RETRY_BUDGET_SHARE = 0.8


class ServiceBudget:
    """The retry budget of one service, which logs and counts its decisions."""

    def __init__(self, service: str, window: WindowBudget, decisions: Rows) -> None:
        """Decide by ``window``; outcomes are added to ``decisions``."""
        self.window = window
        self._service = service
        self._decisions = decisions
        self._started_at = trio.current_time()

    def spend(self, request_id: str) -> bool:
        """Return whether a request may be sent once more, and count that send."""
        granted = self.window.spend()
        self._log(events.RETRY_BUDGET_ASKED, request_id, 'granted' if granted else 'denied')
        return granted

    def charge(self, request_id: str) -> None:
        """Count a send beyond the first that has already happened."""
        self.window.charge()
        self._log(events.RETRY_BUDGET_CHARGED, request_id, 'charged')

    def _log(self, event: events.Event, request_id: str, outcome: str) -> None:
        self._decisions.add(self._service, outcome)
        events.log_event(
            event,
            request=request_id,
            service=self._service,
            outcome=outcome,
            budget_age_s=round(trio.current_time() - self._started_at, 3),
            **self.window.log_fields(),
        )


class RetryBudgets:
    """Retry budgets, one for each service; each is a share of the budget of all instances."""

    def __init__(self, ratio: float, window_s: float) -> None:
        """Allow ``ratio`` of the requests of each window; the reserve is 0 until the number of instances is known."""
        self.decisions = Rows.empty(
            'sesamepoint_retry_budget',
            'Sends beyond the first, by what the retry budget decided.',
            'service',
            'outcome',
        )
        self._ratio = RETRY_BUDGET_SHARE * ratio
        self._reserve: float = 0
        self._window_s = window_s
        self._by_service: dict[str, ServiceBudget] = {}

    def earn(self, service: str) -> ServiceBudget:
        """Count a request for its service and return the budget of the service."""
        budget = self._by_service.get(service)
        if budget is None:
            window = WindowBudget(self._ratio, self._reserve, self._window_s, trio.current_time)
            budget = ServiceBudget(service, window, self.decisions)
            self._by_service[service] = budget
        budget.window.earn()
        return budget

    def split_reserve(self, instances: int, reserve: float) -> None:
        """Split ``reserve`` evenly between all instances."""
        share = RETRY_BUDGET_SHARE * reserve / max(instances, 1)
        if share != self._reserve:
            events.log_event(events.RETRY_SHARE_CHANGED, instances=instances, share=round(share, 3))
        self._reserve = share
        for budget in self._by_service.values():
            budget.window.resize(self._reserve)

    def reserve_share(self) -> float:
        """Return the share of the reserve that this instance has, in sends."""
        return self._reserve


__all__ = ('RetryBudgets', 'ServiceBudget')
