"""Messages between instances about the rate limits of runners."""

from __future__ import annotations

import msgspec

from sesamepoint_core.runner_limit.words import Ask, Grant
from sesamepoint_core.serving.suspects import Start


class AskWord(msgspec.Struct, frozen=True, array_like=True, tag='limit-ask'):
    """A message that leases the sender's share of a runner's limit, and requests permits."""

    entry: str
    start: Start
    word: Ask


class GrantWord(msgspec.Struct, frozen=True, array_like=True, tag='limit-grant'):
    """A message of the limit's owner that grants permits, or announces the limit."""

    entry: str
    start: Start
    word: Grant


__all__ = ('AskWord', 'GrantWord')
