"""What may have ended runners: contents of requests, and parts of their prompts that others share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.crash_attribution.evidence import PartAnswer
from sesamepoint_core.crash_attribution.part_quarantine import MAX_LISTED, PartQuarantine, PartVerdict
from sesamepoint_core.crash_attribution.suspect_parts import SuspectParts
from sesamepoint_core.serving.poison_requests import PROBE_FROM_ENDS, SuspectRequests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.crash_attribution.evidence import PartEnd
    from sesamepoint_core.serving.prompt import Part


class CrashSuspects(SuspectRequests):
    """Suspect requests, of which a part of the prompt may be the cause."""

    def __init__(self) -> None:
        """Start without suspects."""
        super().__init__()
        self.parts = SuspectParts()
        self.part_quarantine = PartQuarantine()

    def needs_probe(self, content_id: str) -> bool:
        """Tell whether a request may only be sent alone for the ends that no suspect part explains.

        All neighbours of a harmful part are at ended runners again and again; each waited for a probe of its own.
        """
        if not super().needs_probe(content_id):
            return False
        ends = self.ended_incarnations(content_id)
        return sum(not self.parts.explains(incarnation) for incarnation in ends) >= PROBE_FROM_ENDS

    def suspect_parts(self, parts: Sequence[Part]) -> tuple[Part, ...]:
        """Return the parts for which a request may only be sent alone."""
        return tuple(part for part in parts if self.parts.is_suspect(part))

    def quarantined_parts(self, parts: Sequence[Part]) -> tuple[Part, ...]:
        """Return the parts that are in quarantine, but for sizes that were answered whole."""
        return tuple(part for part in parts if part.key in self.part_quarantine and self._stays_refused(part))

    def trial_due(self, parts: Sequence[Part], now: float) -> bool:
        """Return whether a request may be sent alone as a trial of all its parts in quarantine."""
        keys = {part.key for part in parts}
        refused = self.quarantined_parts(parts)
        return all(self.part_quarantine.trial_due(part.key, keys, now) for part in refused)

    def note_part_end(self, end: PartEnd, now: float) -> tuple[PartVerdict, ...]:
        """Note the end of a runner under a part; return the parts that are quarantined for it."""
        if not self.parts.note_end(end):
            return ()
        fresh = self.parts.named_with(end.key)
        group = tuple(sorted(fresh))[:MAX_LISTED] if len(fresh) > 1 else ()
        found = tuple(
            PartVerdict(key, group=group, ends=self.parts.ends_of(key))
            for key in sorted(fresh)
            if key not in self.part_quarantine
        )
        for verdict in found:
            self.quarantine_part(verdict, now)
        return found

    def quarantine_part(self, verdict: PartVerdict, now: float) -> tuple[str, ...]:
        """Put a part in quarantine; its ends count against nothing else. Return the parts released to make room."""
        surplus = self.part_quarantine.add(verdict, now)
        incarnations = tuple(end.incarnation for end in verdict.ends)
        self.parts.attribute(incarnations, frozenset((verdict.key, *verdict.group)))
        self.parts.forget(verdict.key)
        self.attribute_ends(incarnations)
        return surplus

    def release_part(self, key: str) -> bool:
        """End the quarantine of a part; return whether there was one. What is known of its ends is forgotten."""
        self.parts.forget(key)
        return self.part_quarantine.release(key)

    def refutes(self, answer: PartAnswer) -> bool:
        """Return whether a whole answer shows that a part in quarantine ended no runner."""
        verdict = self.part_quarantine.verdict_on(answer.key)
        return verdict is not None and any(
            (end.tokens, end.scope) == (answer.tokens, answer.scope) for end in verdict.ends
        )

    def _stays_refused(self, part: Part) -> bool:
        verdict = self.part_quarantine.verdict_on(part.key)
        scopes = {end.scope for end in verdict.ends} if verdict else set()
        return not scopes or any(
            not self.parts.is_cleared(PartAnswer(part.key, part.tokens, scope)) for scope in scopes
        )


__all__ = ('CrashSuspects',)
