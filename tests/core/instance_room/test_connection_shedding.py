"""Most new connections at one instance: which of them it closes before anything is read."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from sesamepoint_core.instance_room.connection_shedding import ConnectionShedding
from tests.core.instance_room.compare_shedding import LOADS, METHODS, play

TARGET_S = 0.2
LATE_S = 0.1
# The users' bound: of the share before.
MIN_SHARE = 0.75
SEED = 1


def connect(shedding: ConnectionShedding, per_s: float, since: float, until: float) -> float:
    """Let connections arrive at random at a rate; return the time of the last one."""
    rng, now = Random(SEED), since
    while now < until:
        now += rng.expovariate(per_s)
        shedding.note_connection(now)
    return now


class ConnectionSheddingTest(TestCase):
    """When connections arrive in excess."""

    def setUp(self) -> None:
        """Start without connections."""
        self.shedding = ConnectionShedding()

    def test_traffic_that_begins_is_no_excess(self) -> None:
        """Guards against connections that are closed when the first callers of a day arrive."""
        for until in range(2, 20):
            now = connect(self.shedding, 20, until - 1, until)
            self.assertFalse(self.shedding.in_excess(now))

    def test_few_connections_are_no_excess(self) -> None:
        """Guards against connections that are closed since a few came at once by chance."""
        now = connect(self.shedding, 1, 0, 60)
        for _ in range(3):
            now += 0.2
            self.shedding.note_connection(now)
        self.assertFalse(self.shedding.in_excess(now))

    def test_excess_stays_excess(self) -> None:
        """Guards against a flood that is taken for the usual rate after some seconds."""
        connect(self.shedding, 8, 0, 20)
        for until in range(22, 32):
            now = connect(self.shedding, 60, until - 1, until)
            self.assertTrue(self.shedding.in_excess(now))

    def test_end_of_excess(self) -> None:
        connect(self.shedding, 8, 0, 20)
        now = connect(self.shedding, 60, 20, 25)
        self.assertFalse(self.shedding.in_excess(now + 2))
        self.assertFalse(self.shedding.in_excess(connect(self.shedding, 8, 25, 30)))

    def test_lasting_growth_becomes_usual(self) -> None:
        """Guards against connections that are closed for ever after callers have become more."""
        connect(self.shedding, 8, 0, 20)
        self.assertFalse(self.shedding.in_excess(connect(self.shedding, 30, 20, 320)))

    def test_only_with_lag(self) -> None:
        connect(self.shedding, 8, 0, 20)
        now = connect(self.shedding, 60, 20, 25)
        self.assertFalse(self.shedding.sheds(0.01, TARGET_S, now))
        self.assertTrue(self.shedding.sheds(LATE_S, TARGET_S, now))


class FloodTest(TestCase):
    """A model of loops on shares of a core, of which one gets four fifths of the new connections."""

    def test_requests_that_are_read_are_served(self) -> None:
        """Guards against requests that are read by an instance which can't serve them."""
        for name, load in LOADS.items():
            with self.subTest(load=name):
                shares = play(load, METHODS['close unread only'], SEED)
                self.assertGreaterEqual(shares.flood, MIN_SHARE * shares.before)

    def test_faulty_variant_refuses_what_was_read(self) -> None:
        """Without the connections that are closed unread, callers are refused or wait until they leave."""
        for name, load in LOADS.items():
            with self.subTest(load=name):
                shares = play(load, METHODS['refuse what was read (before)'], SEED)
                self.assertLess(shares.flood, MIN_SHARE * shares.before)
