"""What entries tell each other of the limits that runners name."""

from __future__ import annotations

import msgspec

from sesamepoint_core.runner_limit.words import Ask, Grant
from sesamepoint_core.serving.suspects import Start


class AskWord(msgspec.Struct, frozen=True, array_like=True, tag='limit-ask'):
    """An entry lends its share of the limit of ``start``, and asks for permits."""

    entry: str
    start: Start
    word: Ask


class GrantWord(msgspec.Struct, frozen=True, array_like=True, tag='limit-grant'):
    """The entry that hands out permits answers, or tells that there is a limit."""

    entry: str
    start: Start
    word: Grant


__all__ = ('AskWord', 'GrantWord')
