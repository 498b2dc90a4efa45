"""Arrivals of one request at runners, as the bound on repeats counts them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from sesamepoint_core.body_end.body_facts import ReadEnd

if TYPE_CHECKING:
    from sesamepoint_core.admit.window_budget import Payment


class SendReason(StrEnum):
    """Why a request is sent to a runner."""

    first = 'first'
    prefill = 'prefill'
    decode = 'decode'
    retry = 'retry'
    resumption = 'resumption'
    probe = 'probe'


class ReadSign(StrEnum):
    """What shows that a runner has read a request, or can no longer read it.

    ``closed``: it ended the connection. ``later_answer``: it answered a request that was sent later.
    ``ended``: its process has ended. ``gone``: its registration has been gone for long.
    """

    answer = 'answer'
    closed = 'closed'
    later_answer = 'later_answer'
    ended = 'ended'
    gone = 'gone'


class Arrival(NamedTuple):
    """A send of a request that reaches its runner.

    Parameters
    ----------
    extra
        Whether the bound on repeats counts it.
    paid
        Whether it is the first one, or the retry budget was asked for it.
    first_sent_ago_s
        Seconds since the request was first sent.
    """

    request_id: str
    runner: str
    reason: SendReason
    extra: bool
    paid: bool
    first_sent_ago_s: float


class Read(NamedTuple):
    """A send of a request that was sent more than once, once its runner has read it.

    Parameters
    ----------
    extra
        Whether it was read after another send of its request: which of the sends is
        the repeat is settled at the runners, not by the order of the sends.
    """

    arrival: Arrival
    sign: ReadSign
    unread_s: float
    extra: bool


class ArrivalObserver(Protocol):
    """Learns of the sends of requests, and when they were read."""

    def note_arrival(self, arrival: Arrival) -> None:
        """Learn that a request goes out to a runner."""

    def note_life(self) -> None:
        """Learn that a runner has read a request."""

    def settle(self, payment: Payment) -> None:
        """Learn that a runner has read a send beyond the first."""

    def refund(self, payment: Payment) -> None:
        """Learn that a send was paid and is not made."""

    def note_read(self, read: Read) -> None:
        """Learn that a runner has read a send of a request that was sent more than once."""


@dataclass(eq=False)
class Sent:
    """One send of a request, until something shows that its runner has read it.

    Parameters
    ----------
    free
        Whether it is the remote prefill that the bound on repeats doesn't count.
    """

    arrival: Arrival
    sends: Arrivals
    sent_at: float
    free: bool = False
    sign: ReadSign | None = None

    def note_answer(self) -> None:
        """Note that its runner answers."""
        self.note_read(ReadSign.answer)

    def note_broken(self, read_end: ReadEnd) -> None:
        """Note that its connection broke. If its runner closed it, or sent anything, it has read what it will read.

        A reset may come from something on the way, while a runner that stands still has the request to read.
        """
        if read_end not in {ReadEnd.timed_out, ReadEnd.reset}:
            self.note_read(ReadSign.closed)

    def note_read(self, sign: ReadSign) -> None:
        """Note the first sign that the runner has read it; later ones say nothing new."""
        if self.sign is None:
            self.sign = sign
            self.sends.note_read(self, sign)


@dataclass(eq=False)
class Arrivals:
    """Counts the arrivals of one request.

    Parameters
    ----------
    observer
        Learns of each arrival.
    counted
        Arrivals without the first remote prefill that a runner accepted, which is free.
    read
        Those of them that were read.
    sent
        Sends that nothing shows to be read.
    unread_payments
        What the retry budget took for sends beyond the first that nothing shows to be read, or that are not made yet.
    settled
        Payments for sends beyond the first that were read.
    """

    observer: ArrivalObserver | None = None
    counted: int = 0
    read: int = 0
    has_free_prefill: bool = False
    first_at: float | None = None
    sent: list[Sent] = field(default_factory=list)
    latest: Sent | None = None
    unread_payments: list[Payment] = field(default_factory=list)
    settled: int = 0

    def note(self, request_id: str, runner: str, reason: SendReason) -> Sent:
        """Count a send whose first bytes go out now."""
        now = trio.current_time()
        if self.first_at is None:
            self.first_at = now
        arrival = Arrival(request_id, runner, reason, self.counted > 0, self.is_paid(), now - self.first_at)
        self.counted += 1
        sent = Sent(arrival, self, now)
        self.sent.append(sent)
        self.latest = sent
        if self.observer is not None:
            self.observer.note_arrival(arrival)
        return sent

    def note_read(self, sent: Sent, sign: ReadSign) -> None:
        """Note that a send was read."""
        self.sent.remove(sent)
        if not sent.free:
            self.read += 1
        if self.observer is None:
            return
        self._settle(self.observer)
        if sign is not ReadSign.gone:
            self.observer.note_life()
        if self.counted > 1 and not sent.free:
            unread_s = trio.current_time() - sent.sent_at
            self.observer.note_read(Read(sent.arrival, sign, unread_s, self.read > 1))

    def note_accepted_prefill(self, sent: Sent) -> bool:
        """Count a remote prefill that its runner accepts by its answer; return whether it is the free one."""
        if self.has_free_prefill:
            return False
        self.has_free_prefill = True
        sent.free = True
        self.counted -= 1
        if sent.sign is not None:
            # A later answer of its runner has shown before that it was read.
            self.read -= 1
        return True

    def is_paid(self, ahead: int = 0) -> bool:
        """Tell whether the next send is paid, and as many as ``ahead`` after it."""
        return self.settled + len(self.unread_payments) >= self.counted + ahead

    def refund_unused(self) -> None:
        """Give back what was paid beyond the next send."""
        self._refund_beyond(self.counted)

    def close(self) -> None:
        """Note that the request is not sent any more; what it was sent may still be read."""
        self._refund_beyond(max(self.counted - 1, 0))

    def _refund_beyond(self, needed: int) -> None:
        while self.unread_payments and self.settled + len(self.unread_payments) > needed:
            payment = self.unread_payments.pop()
            if self.observer is not None:
                self.observer.refund(payment)

    def _settle(self, observer: ArrivalObserver) -> None:
        """Count the repeats that are known to be read: all sends that were read but one."""
        while self.unread_payments and self.settled < self.read - 1:
            self.settled += 1
            observer.settle(self.unread_payments.pop(0))


__all__ = ('Arrival', 'ArrivalObserver', 'Arrivals', 'Read', 'ReadSign', 'SendReason', 'Sent')
