"""Held bytes, and the bounds on them."""

from __future__ import annotations

import math
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sesamepoint_core.instance_room.held_bytes import HeldBytes, Holder, HolderKind
from sesamepoint_core.instance_room.limits import InstanceLimits
from sesamepoint_core.instance_room.memory_bounds import MemoryBounds

SMALL = Holder(HolderKind.caller, '10.2.0.1', 1)
LARGE = Holder(HolderKind.caller, '10.2.0.1', 2)
# A larger process leaves less than the room that is always kept.
MAX_PROCESS_SHARE = 0.7
RUNNER = Holder(HolderKind.runner, '10.3.0.1:80')
CHANGES = st.lists(
    st.tuples(st.sampled_from((SMALL, LARGE, RUNNER)), st.booleans(), st.integers(min_value=0, max_value=50))
)


class HeldBytesTest(TestCase):
    """Sums by holder."""

    @given(CHANGES)
    def test_total_is_sum_of_holders(self, changes: list[tuple[Holder, bool, int]]) -> None:
        """Guards against a total that drifts, as when more is removed than was added."""
        held = HeldBytes()
        for holder, adds, size in changes:
            (held.add if adds else held.remove)(holder, size)
            parts = [held.held_for(one) for one in (SMALL, LARGE, RUNNER)]
            self.assertEqual(held.total, sum(parts))
            self.assertGreaterEqual(min(parts), 0)

    def test_largest_reader_pauses_first(self) -> None:
        """Guards against pausing a caller that holds little, while another one holds most of the bound."""
        held = HeldBytes()
        held.add(SMALL, 100)
        held.add(LARGE, 950)
        self.assertEqual((held.must_pause(SMALL, 1000), held.must_pause(LARGE, 1000)), (False, True))
        self.assertEqual(held.largest(HolderKind.caller), LARGE)

    def test_nobody_pauses_below_bound(self) -> None:
        """Guards against slowing down runners while there is room."""
        held = HeldBytes()
        held.add(LARGE, 1000)
        self.assertFalse(held.must_pause(LARGE, 1000))

    def test_sums_by_address(self) -> None:
        """Guards against figures in the log that miss further connections of a caller."""
        held = HeldBytes()
        held.add(SMALL, 100)
        held.add(LARGE, 950)
        held.add(RUNNER, 7)
        self.assertEqual(held.held_at(HolderKind.caller, '10.2.0.1'), 1050)
        self.assertEqual(held.held_by_kind(HolderKind.runner), 7)


class BoundsTest(TestCase):
    """Bounds from the limits of the settings."""

    def test_unlimited_without_memory_limit(self) -> None:
        """Guards against refusals where the settings have no memory limit."""
        self.assertEqual(MemoryBounds.from_limit(math.inf, 1e9), MemoryBounds(math.inf, math.inf, math.inf))

    @given(st.floats(min_value=1e8, max_value=1e9), st.floats(min_value=0, max_value=1))
    def test_process_and_held_bytes_fit(self, limit: float, process_share: float) -> None:
        """Guards against bounds that let the process grow over its limit while it leaves room for them."""
        bounds = MemoryBounds.from_limit(limit, process_share * limit)
        self.assertLess(bounds.pause, bounds.refuse)
        self.assertLess(bounds.refuse, bounds.disconnect)
        self.assertGreater(bounds.pause, 0)
        if process_share <= MAX_PROCESS_SHARE:
            self.assertLess(process_share * limit + 2 * bounds.disconnect, limit)

    def test_descriptors_are_reserved(self) -> None:
        """Guards against connections that take the descriptors reserved for files."""
        limits = InstanceLimits(descriptors=1638)
        self.assertEqual(limits.connections, 1438)
        self.assertLess(limits.caller_connections, limits.connections)
        self.assertEqual(InstanceLimits().connections, math.inf)
