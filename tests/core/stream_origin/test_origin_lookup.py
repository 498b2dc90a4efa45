"""Questions to peers for the origin of a stream."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.stream_origin.origin import StreamOrigin
from sesamepoint_core.stream_origin.origin_lookup import Known, OriginAnswer, OriginLookup, SoleVersion, Unknown

OLD, NEW = StreamOrigin('llm', 'v1'), StreamOrigin('llm', 'v2')
PEERS = ('a', 'b', 'c', 'd')


def lookup_with(own_sole: StreamOrigin | None, **answers: OriginAnswer) -> OriginLookup:
    """Return a question to ``PEERS`` with these answers."""
    lookup = OriginLookup(PEERS, own_sole)
    for peer, answer in answers.items():
        lookup.note_answer(peer, answer)
    return lookup


class OriginLookupTest(TestCase):
    """What the answers mean."""

    def test_one_knows(self) -> None:
        """Guards against a wait for all when one peer remembers the stream."""
        lookup = lookup_with(None, a=OriginAnswer(None, None), b=OriginAnswer(NEW, None, 2))
        self.assertTrue(lookup.decided)
        self.assertEqual(lookup.conclude(), Known(NEW, 'b', 2))

    def test_two_disagree(self) -> None:
        """Guards against one of two answers that is believed."""
        lookup = lookup_with(OLD, a=OriginAnswer(NEW, OLD), b=OriginAnswer(OLD, OLD))
        self.assertEqual(lookup.conclude(), Unknown(complete=False))

    def test_nobody_knows(self) -> None:
        """Guards against a time to return although nobody is left who may know."""
        answers = {peer: OriginAnswer(None, None) for peer in PEERS}
        lookup = lookup_with(OLD, **answers)
        self.assertTrue(lookup.decided)
        self.assertEqual(lookup.conclude(), Unknown(complete=True))

    def test_answer_missing(self) -> None:
        """Guards against an end without a time to return although a holder may answer later."""
        lookup = lookup_with(None, a=OriginAnswer(None, None))
        self.assertFalse(lookup.decided)
        self.assertEqual(lookup.conclude(), Unknown(complete=False))

    def test_one_version_confirmed(self) -> None:
        """Guards against refusals where a service has one version and half of the peers confirm it."""
        lookup = lookup_with(OLD, a=OriginAnswer(None, OLD), b=OriginAnswer(None, OLD))
        self.assertEqual(lookup.conclude(), SoleVersion(OLD))

    def test_one_version_not_confirmed(self) -> None:
        """Guards against an instance that is cut off and has not learned of a second version."""
        self.assertEqual(lookup_with(OLD, a=OriginAnswer(None, OLD)).conclude(), Unknown(complete=False))

    def test_peer_has_seen_another_version(self) -> None:
        """Guards against an instance that hears of the second version late."""
        lookup = lookup_with(OLD, a=OriginAnswer(None, OLD), b=OriginAnswer(None, None), c=OriginAnswer(None, OLD))
        self.assertEqual(lookup.conclude(), Unknown(complete=False))

    def test_alone(self) -> None:
        """Guards against refusals of the only instance there is."""
        self.assertEqual(OriginLookup((), OLD).conclude(), SoleVersion(OLD))

    def test_answer_of_a_stranger(self) -> None:
        """Guards against answers of peers that were not asked."""
        lookup = lookup_with(None, x=OriginAnswer(NEW, None))
        self.assertEqual(lookup.conclude(), Unknown(complete=False))
