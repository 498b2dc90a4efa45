"""Tests of the worst windows of repeats that are found in logs."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint import events
from sesamectl.repeat_windows import RepeatLog
from tests.ctl.builders import end_line, log_line

SERVICE = 'web'


def _bound(second: int, slack: float) -> str:
    return log_line(
        events.RETRY_SHARE_CHANGED, second, instances=2, list_current=True, ratio=0.2, slack=slack, window_s=10
    )


def _repeat(second: int, process: str) -> str:
    return log_line(
        events.REPEAT_SENT, second, request='r', service=SERVICE, runner='i-1', reason='retry', process=process
    )


def _read(second: int, *, repeat: bool) -> str:
    return log_line(
        events.SEND_READ, second, request='r', service=SERVICE, sign='later_answer', repeat=repeat, process='front-1'
    )


class RepeatWindowsTest(TestCase):
    """Repeats of two instances, whose logs come one after the other."""

    def test_worst_window_of_two_instances(self) -> None:
        """Guards against a bound on all instances that is compared with the repeats of each alone."""
        lines = [_bound(0, 2), *(end_line(f'r{number}', number, service=SERVICE) for number in range(10))]
        lines += [_repeat(second, 'front-1') for second in (12, 13)]
        lines += [_repeat(second, 'front-2') for second in (8, 11, 14)]
        worst = RepeatLog.read(lines).worst_windows()[0]
        self.assertEqual((len(worst.repeats), worst.requests, worst.allowed), (5, 9, 3.8))
        self.assertGreater(worst.excess, 0)
        self.assertEqual(worst.by('process'), [('front-2', 3), ('front-1', 2)])

    def test_worst_window_of_reads(self) -> None:
        """Guards against repeats that are sent in two windows, read in one, and found in neither."""
        lines = [_bound(0, 2), *(_repeat(second, 'front-1') for second in (2, 3, 14, 15))]
        lines += [_read(14, repeat=repeat) for repeat in (True, True, True, False)]
        found = RepeatLog.read(lines)
        self.assertEqual(len(found.worst_windows()[0].repeats), 2)
        worst = found.worst_read_windows()[0]
        self.assertEqual((len(worst.repeats), worst.by('reason')), (3, [('later_answer', 3)]))

    def test_worst_window_changed_bound(self) -> None:
        """Guards against windows that are compared with a bound that was not in force yet."""
        lines = [_bound(0, 5), _bound(30, 1), *(_repeat(second, 'front-1') for second in (10, 11, 31, 32))]
        worst = RepeatLog.read(lines).worst_windows()[0]
        self.assertEqual((len(worst.repeats), worst.allowed), (2, 1))
