"""Decoding of documents from other processes."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any
from unittest import TestCase

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepoint_core.decoding import MAX_DEPTH, UndecodableError, decode_json, decode_msgpack

PACKAGES = Path(__file__).parents[2] / 'packages'
# The decoder itself, and stand-ins and demonstrations, which read what they have written.
EXEMPT = ('sesamepoint_core/decoding.py', 'sesamepoint_standins/', 'sesamectl/demo/')
_BARE_DECODING = re.compile(r'msgspec\.(json|msgpack)\.(decode|Decoder)\b|\bjson\.loads?\(')
_BRACKETS = st.text(alphabet=r'[]{}"\a', max_size=300)


class _Document(msgspec.Struct):
    number: int = 0


def _nested(depth: int) -> bytes:
    return b'{"unknown":%b%b}' % (b'[' * (depth - 1), b']' * (depth - 1))


class DecodingTest(TestCase):
    """Each document decodes or raises the one error."""

    def test_depth_at_bound(self) -> None:
        """Guards against a bound on depth that refuses sound documents, or lets deep ones through."""
        self.assertEqual(decode_json(_nested(MAX_DEPTH), _Document), _Document())
        for depth in (MAX_DEPTH + 1, 1000, 100_000):
            with self.assertRaises(UndecodableError):
                decode_json(_nested(depth), _Document)

    def test_many_flat_values(self) -> None:
        """Guards against a bound on depth that counts brackets side by side, or in strings."""
        flat = [{'a': [1]} for _ in range(1000)]
        self.assertEqual(decode_json(msgspec.json.encode(flat), list[Any]), flat)
        texts = ['[[[[{{"\\' * 100]
        self.assertEqual(decode_json(msgspec.json.encode(texts), list[str]), texts)

    def test_nested_msgpack(self) -> None:
        """Guards against a deep message whose error is not the one that its readers catch."""
        with self.assertRaises(UndecodableError):
            decode_msgpack(b'%b\xc0' % (b'\x91' * 50_000), list[Any])

    @given(st.one_of(_BRACKETS.map(str.encode), st.binary(max_size=200)))
    @settings(derandomize=True, max_examples=300)
    def test_error_of_any_text(self, document: bytes) -> None:
        """Guards against any other error than the one, from either decoder."""
        for decode in (decode_json, decode_msgpack):
            try:
                decode(document, _Document)
            except UndecodableError as exc:
                self.assertLess(len(str(exc)), 300)

    def test_no_bare_decoder(self) -> None:
        """Guards against a reader that calls a library's decoder itself, and catches too little."""
        found = [
            str(path)
            for path in PACKAGES.rglob('*.py')
            if not any(part in path.as_posix() for part in EXEMPT) and _BARE_DECODING.search(path.read_text('utf-8'))
        ]
        self.assertEqual(found, [])
