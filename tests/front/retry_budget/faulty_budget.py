"""A front process whose retry budget lacks one safeguard, as VARIANT in the environment says.

Run by the soak of repeats only: python -m tests.front.retry_budget.faulty_budget front --settings FILE
"""

from __future__ import annotations

import math
import os
import sys
import time
from collections import defaultdict
from types import MappingProxyType
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from sesamepoint import cli
from sesamepoint_core.admit.window_budget import WindowBudget
from sesamepoint_core.body_end.body_facts import ReadEnd
from sesamepoint.front.requests.arrivals import ReadSign, Sent
from sesamepoint.front.retry_budget.service_life import ServiceLife

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# A pause in the use of a budget that its process takes for one in which it stood still, in seconds.
STANDSTILL_S = 1.0

_spend = WindowBudget.spend
_settle = WindowBudget.settle
_refund = WindowBudget.refund
_earn = WindowBudget.earn


def _spend_at_send(budget: WindowBudget) -> Any:
    """Count a repeat as read at the time of its payment."""
    payment = _spend(budget)
    if payment is not None:
        _settle(budget, payment)
    return payment


def _ignore(_: WindowBudget, payment: Any) -> None:
    """Do nothing: it is settled already."""


def _note_reset_as_unsent(sent: Sent, read_end: ReadEnd) -> None:
    """Take a request whose connection was reset for one that was not sent, so that the next send is not paid."""
    if read_end is ReadEnd.reset and sent.sign is None:
        sent.sign = ReadSign.closed
        sent.sends.sent.remove(sent)
        sent.sends.counted -= 1


class _ForgetfulBudget:
    """Gives back what was paid before the process stood still, and may be written or read after it."""

    def __init__(self) -> None:
        self.unread: list[Any] = []
        self.used_at = math.inf

    def spend(self, budget: WindowBudget) -> Any:
        payment = _spend(budget)
        if payment is not None:
            self.unread.append(payment)
        return payment

    def settle(self, budget: WindowBudget, payment: Any) -> None:
        if payment in self.unread:
            self.unread.remove(payment)
            _settle(budget, payment)

    def refund(self, budget: WindowBudget, payment: Any) -> None:
        if payment in self.unread:
            self.unread.remove(payment)
            _refund(budget, payment)

    def earn(self, budget: WindowBudget) -> None:
        now = time.monotonic()
        if now - self.used_at > STANDSTILL_S:
            for payment in tuple(self.unread):
                self.refund(budget, payment)
        self.used_at = now
        _earn(budget)


_forgetful: defaultdict[int, _ForgetfulBudget] = defaultdict(_ForgetfulBudget)


def _forgetting(name: str) -> Callable[..., Any]:
    def call(budget: WindowBudget, *arguments: Any) -> Any:
        return getattr(_forgetful[id(budget)], name)(budget, *arguments)

    return call


Patch = tuple[type, str, Any]
VARIANTS: Mapping[str, tuple[Patch, ...]] = MappingProxyType(
    {
        'paid-at-send': (
            (WindowBudget, 'spend', _spend_at_send),
            (WindowBudget, 'settle', _ignore),
            (WindowBudget, 'refund', _ignore),
        ),
        'unsent-that-was-read': ((Sent, 'note_broken', _note_reset_as_unsent),),
        'forgets-at-standstill': tuple(
            (WindowBudget, name, _forgetting(name)) for name in ('spend', 'settle', 'refund', 'earn')
        ),
    }
)


def main() -> int:
    """Run the command line and return the exit status."""
    # Else requests during a standstill pay for nothing, which hides the variants.
    patch.object(ServiceLife, '_stands_still', False).start()
    for owner, name, faulty in VARIANTS[os.environ['VARIANT']]:
        patch.object(owner, name, faulty).start()
    return cli.main()


if __name__ == '__main__':
    sys.exit(main())
