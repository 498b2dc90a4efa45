"""Tests of the explanation of one request, by its id."""

from __future__ import annotations

from typing import Any
from unittest import TestCase

from sesamepoint import events
from sesamectl.request_explanation import UnknownRequestError, explain_request
from tests.ctl.builders import RUNNER, end_line, log_line


class ExplainRequestTest(TestCase):
    """Refused, late, interrupted and unknown requests."""

    def test_refused(self) -> None:
        logs = [
            log_line(events.REQUEST_REFUSED, request='r1', wait_ms=900, left_ms=1800, retry_after_s=0.6),
            end_line('r1', status=503, runners=[]),
        ]
        found = explain_request('r1', logs)
        self.assertIn('wait_ms 900', found)
        self.assertIn('verdict: refused at once', found)

    def test_refused_for_limits(self) -> None:
        """The ineligible runners are shown with their reported rate limits."""
        logs = [
            log_line(events.LIMIT_REPORTED, runner=RUNNER, rate=6.8, source='front-2', age_s=0.1),
            log_line(events.REQUEST_REFUSED_LIMIT, request='r1', runners=[RUNNER], rate=1.4, retry_after_s=0.6),
            end_line('r1', status=503, runners=[], passed_over=[RUNNER], cause='runners_name_limits'),
        ]
        found = explain_request('r1', logs)
        self.assertIn('before, i-7: runner names a limit', found)
        self.assertIn('verdict: refused: its runners name limits', found)

    def test_refused_for_back_off(self) -> None:
        """The ineligible runners are shown with the back-off that they asked for."""
        logs = [
            log_line(events.BACK_OFF_REQUESTED, runner=RUNNER, for_s=3, known_s=0),
            log_line(events.REQUEST_REFUSED_BACK_OFF, request='r1', runners=[RUNNER], opens_ms=2400, retry_after_s=0.6),
            end_line('r1', status=503, runners=[], passed_over=[RUNNER], cause='runners_rest'),
        ]
        found = explain_request('r1', logs)
        self.assertIn('before, i-7: runner asks this instance for rest', found)
        self.assertIn('verdict: refused: its runners had asked for rest', found)

    def test_refused_all_draining(self) -> None:
        """The cause is shown although no runner was tried."""
        found = explain_request('r1', [end_line('r1', status=503, runners=[], cause='runners_leave')])
        self.assertIn('verdict: refused: all runners of its service leave', found)

    def test_broken_off_by_runner(self) -> None:
        """Guards against an answer that its runner ended early and that is not told from one that was reset."""
        fields: dict[str, Any] = {
            'framing': 'until_close',
            'read_end': 'closed',
            'whole_events': 2,
            'left_over_bytes': 5,
        }
        logs = [
            log_line(events.ATTEMPT_ENDED, request='r1', outcome='broken', begun=True, **fields),
            end_line('r1', status=200, unfinished=True, cause='runner_ended_answer_early', **fields),
        ]
        found = explain_request('r1', logs)
        self.assertIn('framing until_close, read_end closed, whole_events 2, left_over_bytes 5', found)
        self.assertIn('verdict: broken off by its runner', found)

    def test_refused_version_unknown(self) -> None:
        """Guards against a take-up whose refusal is not told from a lack of runners."""
        logs = [
            log_line(events.STREAM_TAKEN_UP, request='r1', first_attempt='r0', found='unknown', complete=False),
            end_line('r1', status=503, runners=[], cause='version_unknown'),
        ]
        found = explain_request('r1', logs)
        self.assertIn('first_attempt r0, found unknown', found)
        self.assertIn('verdict: refused: it goes on with a stream of an earlier attempt', found)

    def test_version_gone(self) -> None:
        """Guards against a stream that can't go on and whose version is not named."""
        logs = [
            log_line(events.STREAM_ORIGIN_GONE, request='r1', fleet='llm', version='v1', begun=True),
            end_line('r1', status=200, unfinished=True, cause='versions_runners_gone'),
        ]
        found = explain_request('r1', logs)
        self.assertIn('version v1', found)
        self.assertIn('verdict: could not go on', found)

    def test_late(self) -> None:
        found = explain_request('r1', ['no log line', end_line('r1', expected_ms=80, first_total_ms=900)])
        self.assertIn('expected_ms 80', found)
        self.assertIn('verdict: served in 120 ms', found)

    def test_broken_off(self) -> None:
        """Failures of other requests on the same runner are shown with their count."""
        broken: dict[str, Any] = {'runner': RUNNER, 'outcome': 'broken', 'cause': 'reset'}
        logs = [
            *(log_line(events.ATTEMPT_ENDED, request=f'other{number}', **broken) for number in range(3)),
            log_line(events.ATTEMPT_ENDED, request='r1', **broken),
            end_line('r1', unfinished=True),
        ]
        found = explain_request('r1', logs)
        self.assertIn('before, i-7: attempt ended without a whole answer (reset), 3 times', found)
        self.assertIn('verdict: broken off: its runner broke off', found)

    def test_caller_disconnected(self) -> None:
        logs = [
            log_line(events.CALLER_DISCONNECTED, request='r1'),
            end_line('r1', unfinished=True, first_total_ms=None),
        ]
        self.assertIn('verdict: the caller left before the first', explain_request('r1', logs))

    def test_unknown(self) -> None:
        with self.assertRaises(UnknownRequestError):
            explain_request('r9', [end_line('r1')])
