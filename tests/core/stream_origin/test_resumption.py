"""Decision what to do next for a stream that has to go on."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.stream_origin.resumption import NextStep, OriginRunner, next_step


class NextStepTest(TestCase):
    """The next step, by the runners of the stream's origin."""

    def test_untried_runner(self) -> None:
        """Guards against a second attempt at a runner while another one of the origin serves."""
        runners = [OriginRunner('a', tried=True), OriginRunner('b')]
        self.assertIs(next_step(runners), NextStep.run)

    def test_all_tried(self) -> None:
        """Guards against a stream that ends although its only runner has merely lost a connection."""
        self.assertIs(next_step([OriginRunner('a', tried=True)]), NextStep.run_again)

    def test_all_crashed(self) -> None:
        """Guards against a refusal while a crashed runner is being replaced."""
        self.assertIs(next_step([OriginRunner('a', tried=True, ended=True)]), NextStep.wait)

    def test_all_draining(self) -> None:
        """Guards against a wait for runners that will take no new work."""
        runners = [OriginRunner('a', draining=True), OriginRunner('b', tried=True, draining=True)]
        self.assertIs(next_step(runners), NextStep.refuse)

    def test_none(self) -> None:
        """Guards against a wait for a version that has gone."""
        self.assertIs(next_step([]), NextStep.refuse)
