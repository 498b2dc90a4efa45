"""Merge of the reports of several instances."""

from __future__ import annotations

import math
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sesamepoint_core.engine_model.engine_model import MAX_REPORTERS, REPORT_TTL_S, EngineModel
from sesamepoint_core.engine_model.estimates import Estimate
from sesamepoint_core.engine_model.merging import MAX_DEVIATION, merge
from tests.core.engine_model.builders import learned_model, prefill_report

SLOW = math.log(3)
HONEST = st.floats(-0.1, 0.1)
ANY_RATIO = st.floats(-4, 4)
ANY_WEIGHT = st.floats(0, 1e5)


class MergeTest(TestCase):
    """Single false reports do little."""

    def test_false_report_own_samples(self) -> None:
        """Guards against one false report of huge weight that outweighs own samples."""
        merged = merge(Estimate(0.2, 50), {'liar': Estimate(SLOW, 1e5)})
        self.assertEqual((merged.estimate.mean, merged.cut), (0.2, ('liar',)))

    def test_false_report_other_reports(self) -> None:
        """Guards against one false report that outweighs two true ones at an instance without samples."""
        merged = merge(Estimate(), {'a': Estimate(0.02, 50), 'liar': Estimate(SLOW, 1e5), 'b': Estimate(0, 50)})
        self.assertLess(abs(merged.estimate.mean), 0.03)
        self.assertEqual(merged.cut, ('liar',))

    def test_single_report_without_samples(self) -> None:
        """Guards against a starting instance that learns nothing from its only peer."""
        self.assertAlmostEqual(merge(Estimate(), {'a': Estimate(SLOW, 20)}).estimate.mean, SLOW)

    def test_nothing_known(self) -> None:
        """Guards against a weight that comes from nowhere."""
        self.assertEqual(merge(Estimate(), {}).estimate, Estimate())

    @given(
        own=st.builds(Estimate, HONEST, st.just(50.0)),
        reports=st.lists(st.builds(Estimate, HONEST, st.floats(20, 100)), min_size=2, max_size=6),
        untrue=st.builds(Estimate, ANY_RATIO, ANY_WEIGHT),
    )
    def test_merge_one_false_report(self, own: Estimate, reports: list[Estimate], untrue: Estimate) -> None:
        """Guards against a reporter that moves the estimate by more than its share of what is not cut."""
        named = {str(number): report for number, report in enumerate(reports)}
        without = merge(own, named).estimate.mean
        shifted = merge(own, {**named, 'liar': untrue}).estimate.mean
        self.assertLessEqual(abs(shifted - without), (MAX_DEVIATION + 0.2) / 2)


class ReportsTest(TestCase):
    """Reports that are late, doubled, lost or old."""

    def test_report_doubled(self) -> None:
        """Guards against a datagram that arrives twice and counts twice."""
        model = learned_model(1)
        model.take_report('a', prefill_report(1.2), 1)
        once = model.merged(1)
        model.take_report('a', prefill_report(1.2), 1)
        self.assertEqual(model.merged(1), once)

    def test_report_late(self) -> None:
        """Guards against an older report that arrives after a newer one and replaces it."""
        model = EngineModel()
        model.take_report('a', prefill_report(1.5), 10)
        model.take_report('a', prefill_report(1), 5)
        self.assertAlmostEqual(model.merged(10).report.prefill.mean, math.log(1.5))

    def test_report_expired(self) -> None:
        """Guards against the reports of an instance that is gone counting forever."""
        model = EngineModel()
        model.take_report('a', prefill_report(1.5), 10)
        self.assertEqual(model.merged(11 + REPORT_TTL_S).report.prefill.weight, 0)

    def test_reporters_bounded(self) -> None:
        """Guards against memory that grows with the names of reporters."""
        model = EngineModel()
        for number in range(3 * MAX_REPORTERS):
            model.take_report(str(number), prefill_report(1), 1)
        self.assertEqual(len(model.valid_reports(1)), MAX_REPORTERS)
