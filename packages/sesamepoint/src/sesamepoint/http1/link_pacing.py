"""Pacing of large sends, to keep the queue of this instance's link short."""

from __future__ import annotations

import trio

# Share of the link's rate that large bodies may use; the rest is for responses
# to callers, which are not delayed.
MAX_LINK_SHARE = 0.9
# Maximum length of the queue, as the time that the link needs to send it.
MAX_QUEUE_S = 0.003
# Size of the pieces in which bodies are sent: two packets.
PIECE_BYTES = 2920


class LinkPacer:
    """Paces the sends of this process to the rate of its link.

    A body of 60 kB that is sent at once fills the queue of a link of 10 Mbit/s
    for 50 ms, and datagrams that reach a full queue are dropped. Without
    pacing, the updates on the longest prompts were lost (one in ten arrived
    for prompts that take an engine over 0.8 s), and peers sent their own
    requests to the engines that were prefilling these prompts.
    """

    def __init__(self, link_bytes_s: float) -> None:
        """Pace to a link that carries ``link_bytes_s`` bytes per second."""
        self._bytes_s = MAX_LINK_SHARE * link_bytes_s
        self._queue_empty_at: float = 0

    def set_rate(self, link_bytes_s: float) -> None:
        """Pace to another rate from now on."""
        self._bytes_s = MAX_LINK_SHARE * link_bytes_s

    def count_unpaced(self, size: int) -> None:
        """Account for ``size`` bytes that are sent without waiting."""
        self._queue_empty_at = max(self._queue_empty_at, trio.current_time()) + size / self._bytes_s

    def try_send(self, size: int) -> bool:
        """Account for ``size`` bytes if they fit into the queue now; return whether they do."""
        queued_s = max(self._queue_empty_at - trio.current_time(), 0)
        if queued_s + size / self._bytes_s > MAX_QUEUE_S:
            return False
        self.count_unpaced(size)
        return True

    async def wait_to_send(self, size: int) -> None:
        """Wait until ``size`` more bytes fit into the queue."""
        self.count_unpaced(size)
        ahead_s = self._queue_empty_at - trio.current_time() - MAX_QUEUE_S
        if ahead_s > 0:
            await trio.sleep(ahead_s)


__all__ = ('PIECE_BYTES', 'LinkPacer')
