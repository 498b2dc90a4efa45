"""Choice of the instances that remember the origin of a stream."""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING

from sesamepoint_core.bounded_dict import drop_oldest

if TYPE_CHECKING:
    from collections.abc import Iterable

# Instances that are sent the origin of a stream, besides the one that serves it: with
# three messages in ten lost and the serving instance killed, 97 in 100 streams are still known.
HOLDERS = 3
# Instances that are asked for an origin. More than hold it, since the list of instances may
# have changed, or differ between two of them.
ASKED = 6
# Names of instances whose hashes are kept; the oldest are dropped first.
MAX_NAMES = 4096
_WORD_BYTES = 8
_WORD_MASK = (1 << (_WORD_BYTES * 8)) - 1
# Odd, so that multiplication permutes the words (the golden ratio's fraction, in 64 bits).
_MULTIPLIER = 0x9E3779B97F4A7C15


class HolderChoice:
    """Chooses instances by rendezvous hashing, so that a change of the list moves few streams."""

    def __init__(self) -> None:
        """Start without hashes of names, which are kept once computed."""
        self._name_words: dict[str, int] = {}

    def first(self, digest: bytes, names: Iterable[str], number: int) -> list[str]:
        """Return the first ``number`` instances among ``names`` for the stream with ``digest``."""
        stream_word = int.from_bytes(digest, 'big')
        return heapq.nsmallest(number, names, key=lambda name: self._order(name, stream_word))

    def _order(self, name: str, stream_word: int) -> int:
        word = self._name_words.get(name)
        if word is None:
            word = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=_WORD_BYTES).digest(), 'big')
            self._name_words[name] = word
            drop_oldest(self._name_words, MAX_NAMES)
        return ((word ^ stream_word) * _MULTIPLIER) & _WORD_MASK


__all__ = ('ASKED', 'HOLDERS', 'HolderChoice')
