"""Builders of parts, ends and verdicts."""

from __future__ import annotations

from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
from sesamepoint_core.crash_attribution.evidence import PartEnd
from sesamepoint_core.crash_attribution.part_quarantine import PartVerdict
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint_core.serving.prompt import Part

SCOPE = 'llm/m/v1'
TOKENS = 50


def part(key: str, tokens: int = TOKENS) -> Part:
    """Return a part of a prompt."""
    return Part(key, tokens)


def end(key: str, runner: str, *, alone: bool = False, scope: str = SCOPE, tokens: int = TOKENS) -> PartEnd:
    """Return the end of a runner under a part."""
    return PartEnd(key, tokens, Incarnation(runner), scope, alone)


def harmful_ends(key: str, prefix: str = 'i') -> list[PartEnd]:
    """Return as many ends as it takes to name a part."""
    return [end(key, f'{prefix}1'), end(key, f'{prefix}2', alone=True), end(key, f'{prefix}3', alone=True)]


def note_all(suspects: CrashSuspects, ends: list[PartEnd], now: float = 0) -> list[PartVerdict]:
    """Note ends one after the other, and return the verdicts."""
    return [verdict for each in ends for verdict in suspects.note_part_ends([each], now)]


__all__ = ('SCOPE', 'TOKENS', 'end', 'harmful_ends', 'note_all', 'part')
