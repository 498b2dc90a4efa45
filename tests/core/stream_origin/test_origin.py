"""Versions of runners as they are compared."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.stream_origin.origin import MAX_VERSION_CHARS, StreamOrigin, bounded_version, stream_digest

LONG = 'v' * 10_000


class VersionTest(TestCase):
    """Unusual versions."""

    def test_versions_that_differ_by_case(self) -> None:
        """Guards against streams that go on at a version which differs by letter case only."""
        self.assertFalse(StreamOrigin('llm', bounded_version('V1')).allows('llm', bounded_version('v1')))

    def test_long_versions(self) -> None:
        """Guards against long versions that are cut to the same text, and against unbounded messages to peers."""
        first, second = bounded_version(f'{LONG}1'), bounded_version(f'{LONG}2')
        self.assertNotEqual(first, second)
        self.assertLess(len(first), 2 * MAX_VERSION_CHARS)
        self.assertEqual(first, bounded_version(f'{LONG}1'))

    def test_empty_version(self) -> None:
        """Guards against an empty version that equals an unknown one."""
        origin = StreamOrigin('llm', bounded_version(''))
        self.assertTrue(origin.allows('llm', ''))
        self.assertFalse(origin.allows('llm', None))

    def test_other_service(self) -> None:
        """Guards against a stream that goes on at the same version of another service."""
        self.assertFalse(StreamOrigin('llm', 'v1').allows('web', 'v1'))

    def test_digest_of_unusual_ids(self) -> None:
        """Guards against ids of callers that have no digest, or the same one."""
        ids = ('', ' ', 'r1', 'R1', 'r1 ', '\xff', 'r' * 16_000)
        self.assertEqual(len({stream_digest(text) for text in ids}), len(ids))
