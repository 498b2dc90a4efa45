"""Sends of requests until something shows that their runners have read them."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.admit.window_budget import Payment
from sesamepoint_core.body_end.body_facts import ReadEnd
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint.front.requests.arrivals import Arrival, Arrivals, Read, ReadSign, SendReason, Sent
from sesamepoint.front.runners.unread_sends import DELIVERED_S, GONE_S, UnreadRegistry
from tests.virtual_time import in_virtual_time

import trio

RUNNER = Incarnation('i-1', 1)
OTHER_RUNNER = Incarnation('i-2', 1)
PAYMENT = Payment(1, 0, 0)


class _Observer:
    """Counts what a retry budget learns."""

    def __init__(self) -> None:
        self.settled = 0
        self.refunded = 0
        self.reads: list[tuple[ReadSign, bool]] = []

    def note_arrival(self, arrival: Arrival) -> None:
        """Do nothing."""

    def note_life(self) -> None:
        """Do nothing."""

    def settle(self, payment: Payment) -> None:
        self.settled += 1

    def refund(self, payment: Payment) -> None:
        self.refunded += 1

    def note_read(self, read: Read) -> None:
        self.reads.append((read.sign, read.extra))


class UnreadSendsTest(TestCase):
    """A request that was sent to two runners."""

    def setUp(self) -> None:
        """Start without sends."""
        self.observer = _Observer()
        self.sends = Arrivals(self.observer)
        self.registry = UnreadRegistry()

    @in_virtual_time
    async def test_first_send_read_last(self) -> None:
        """Guards against a first send that waits at a stopped runner, while only the second one is followed."""
        self._send(RUNNER)
        self._send(OTHER_RUNNER).note_answer()
        self.assertEqual(self.observer.settled, 0)
        self.registry.of(RUNNER).note_life(trio.current_time() + DELIVERED_S)
        self.assertEqual(self.observer.settled, 1)
        self.assertEqual(self.observer.reads, [(ReadSign.answer, False), (ReadSign.later_answer, True)])

    @in_virtual_time
    async def test_answer_to_earlier_request(self) -> None:
        """Guards against answers that show nothing of what was sent after their requests, or on its way to the host."""
        self._send(RUNNER)
        self._send(OTHER_RUNNER).note_answer()
        self.registry.of(RUNNER).note_life(trio.current_time() + DELIVERED_S - 0.1)
        self.assertEqual(self.observer.settled, 0)

    @in_virtual_time
    async def test_connection_not_ended_by_runner(self) -> None:
        """Guards against a send that counts as read since its connection broke: its bytes may wait at the host."""
        for read_end in (ReadEnd.timed_out, ReadEnd.reset, ReadEnd.closed):
            self._send(RUNNER).note_broken(read_end)
        self.assertEqual(self.observer.settled, 0)

    @in_virtual_time
    async def test_connection_closed_by_runner(self) -> None:
        """Guards against sends that stay spent although their runners have ended their connections."""
        for _ in range(2):
            self._send(RUNNER).note_broken(ReadEnd.closed)
        self.assertEqual(self.observer.settled, 1)

    @in_virtual_time
    async def test_runner_registered_again(self) -> None:
        """Guards against sends to a stopped runner that are forgotten with its registration."""
        self._send(RUNNER)
        self._send(OTHER_RUNNER).note_answer()
        self.registry.note_gone(RUNNER, trio.current_time())
        self.registry.expire(trio.current_time() + GONE_S)
        self.assertEqual(self.observer.settled, 0)
        self.registry.of(RUNNER).note_life(trio.current_time() + GONE_S)
        self.assertEqual(self.observer.settled, 1)

    @in_virtual_time
    async def test_runner_gone_for_long(self) -> None:
        """Guards against sends to a runner that lost its power, which would take from the budget for good."""
        self._send(RUNNER)
        self._send(OTHER_RUNNER).note_answer()
        self.registry.note_gone(RUNNER, trio.current_time())
        self.registry.expire(trio.current_time() + GONE_S + 1)
        self.assertEqual(self.observer.reads[-1], (ReadSign.gone, True))
        self.assertEqual(self.observer.settled, 1)

    @in_virtual_time
    async def test_paid_and_not_sent(self) -> None:
        """Guards against payments for sends that are never made."""
        self._send(RUNNER)
        self.sends.unread_payments.append(PAYMENT)
        self.assertTrue(self.sends.is_paid())
        self.sends.close()
        self.assertEqual((self.observer.refunded, self.observer.settled), (1, 0))

    @in_virtual_time
    async def test_accepted_prefill_is_free(self) -> None:
        """Guards against an accepted first prefill that counts as the first arrival, so that its decode is a repeat."""
        prefill = self._send(RUNNER)
        self.sends.note_accepted_prefill(prefill)
        prefill.note_answer()
        self.assertTrue(self.sends.is_paid())
        self._send(OTHER_RUNNER).note_answer()
        self.assertEqual(self.observer.reads, [])

    @in_virtual_time
    async def test_accepted_prefill_that_was_read_before(self) -> None:
        """Guards against an unread repeat that counts as read since the free prefill was counted among the reads."""
        prefill = self._send(RUNNER)
        prefill.note_read(ReadSign.later_answer)
        self.sends.note_accepted_prefill(prefill)
        self._send(RUNNER).note_answer()
        self._send(OTHER_RUNNER)
        self._send(RUNNER).note_answer()
        self.assertEqual(self.observer.settled, 1)

    def _send(self, runner: Incarnation) -> Sent:
        """Send the request once more, paid if need be."""
        if not self.sends.is_paid():
            self.sends.unread_payments.append(PAYMENT)
        sent = self.sends.note('r1', runner.runner, SendReason.retry)
        self.registry.of(runner).add(sent)
        return sent
