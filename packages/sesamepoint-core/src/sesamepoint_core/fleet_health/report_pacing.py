"""Interval of reports, so that what one instance receives stays bounded for any number of instances."""

from __future__ import annotations

# Bytes of reports that an instance may receive per second.
MAX_RECEIVED_BYTES_S = 6000
# Share of it for the reports at an interval; the rest is for first failures and probes.
REGULAR_SHARE = 0.6
MIN_INTERVAL_S = 0.5
# Reports expire after this time in seconds, or after this many intervals if that is longer.
MIN_TTL_S = 5.0
TTL_INTERVALS = 3


def report_interval_s(peers: int, message_bytes: int) -> float:
    """Return the seconds between two reports of one instance of ``message_bytes`` each, headers included."""
    return max(MIN_INTERVAL_S, peers * message_bytes / (REGULAR_SHARE * MAX_RECEIVED_BYTES_S))


def report_ttl_s(interval_s: float) -> float:
    """Return after how many seconds a report expires."""
    return max(MIN_TTL_S, TTL_INTERVALS * interval_s)


__all__ = ('MAX_RECEIVED_BYTES_S', 'report_interval_s', 'report_ttl_s')
