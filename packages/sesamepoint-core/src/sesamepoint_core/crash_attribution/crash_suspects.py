"""What may have ended runners: contents of requests, and parts of their prompts that others share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.crash_attribution.evidence import PartAnswer
from sesamepoint_core.crash_attribution.part_quarantine import MAX_LISTED, PartQuarantine, PartVerdict
from sesamepoint_core.crash_attribution.suspect_parts import NAMING_RULE, NamingRule, SuspectParts
from sesamepoint_core.serving.poison_requests import PROBE_FROM_ENDS, SuspectRequests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.crash_attribution.evidence import PartEnd
    from sesamepoint_core.serving.prompt import Part


class CrashSuspects(SuspectRequests):
    """Suspect requests, of which a part of the prompt may be the cause."""

    def __init__(self, rule: NamingRule = NAMING_RULE) -> None:
        """Start without suspects."""
        super().__init__()
        self.parts = SuspectParts(rule)
        self.part_quarantine = PartQuarantine()

    def needs_probe(self, content_id: str) -> bool:
        """Return whether a request may only be sent alone because of ends that no suspect part explains.

        Requests beside a harmful part lose several runners; without this, each waits for a probe of its own.
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

    def note_part_ends(self, ends: Sequence[PartEnd], now: float) -> tuple[PartVerdict, ...]:
        """Note ends of runners under parts; return the verdicts on the parts that are quarantined for them.

        The ends of one request must come together: parts that they do not distinguish are named by the same end.
        """
        for end in ends:
            self.parts.note_end(end)
        verdicts: list[PartVerdict] = []
        for key in dict.fromkeys(each.key for each in ends):
            if key not in self.part_quarantine and self.parts.is_harmful(key):
                verdicts.extend(self._name(key, now))
        return tuple(verdicts)

    def quarantine_part(self, verdict: PartVerdict, now: float) -> tuple[str, ...]:
        """Put a part in quarantine; its ends count against nothing else. Return the parts released to make room."""
        surplus = self.part_quarantine.add(verdict, now)
        incarnations = tuple(end.incarnation for end in verdict.ends)
        self.parts.attribute(incarnations, frozenset((verdict.key, *verdict.group, *verdict.spared)))
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

    def _name(self, key: str, now: float) -> tuple[PartVerdict, ...]:
        parts = self.parts
        candidates = sorted(parts.same_probes(key))[:MAX_LISTED]
        most = max(len(parts.ends_of(each)) for each in candidates)
        named = tuple(each for each in candidates if len(parts.ends_of(each)) == most)
        group = named if len(named) > 1 else ()
        spared = tuple(each for each in candidates if each not in named)
        verdicts = tuple(PartVerdict(each, group=group, spared=spared, ends=parts.ends_of(each)) for each in named)
        for verdict in verdicts:
            self.quarantine_part(verdict, now)
        return verdicts

    def _stays_refused(self, part: Part) -> bool:
        verdict = self.part_quarantine.verdict_on(part.key)
        scopes = {end.scope for end in verdict.ends} if verdict else set()
        return not scopes or any(
            not self.parts.is_cleared(PartAnswer(part.key, part.tokens, scope)) for scope in scopes
        )


__all__ = ('CrashSuspects',)
