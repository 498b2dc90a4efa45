"""Keeping the queue before this instance's own link short."""

from __future__ import annotations

import trio

# Share of the link's rate at which large bodies are sent; the rest is for
# answers to callers, which are not held up.
USED_SHARE = 0.9
# What may lie in the queue, in seconds of the link.
QUEUE_S = 0.003
# Bodies are sent in pieces of so many bytes: two packets.
PIECE_BYTES = 2920


class LinkPacer:
    """Spreads what this process sends over the rate of its link.

    A body of 60 kB, given to the system in one go, fills the queue of a link
    of 10 Mbit/s for 50 ms, and datagrams that come to a full queue are lost.
    So the other entries never heard of just the longest prompts (of those
    that take an engine over 0.8 s, one word in ten arrived), and sent theirs
    to the engines that read them.
    """

    def __init__(self, link_bytes_s: float) -> None:
        """Have a link of ``link_bytes_s``."""
        self._rate = USED_SHARE * link_bytes_s
        self._free_at: float = 0

    def note(self, size: int) -> None:
        """Count ``size`` bytes that are sent without waiting."""
        self._free_at = max(self._free_at, trio.current_time()) + size / self._rate

    async def take(self, size: int) -> None:
        """Wait until ``size`` more bytes keep the queue short."""
        self.note(size)
        ahead_s = self._free_at - trio.current_time() - QUEUE_S
        if ahead_s > 0:
            await trio.sleep(ahead_s)


__all__ = ('PIECE_BYTES', 'LinkPacer')
