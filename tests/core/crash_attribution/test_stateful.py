"""Two instances with a harmful part in random traffic; reports between them come late, doubled and in any order."""

from __future__ import annotations

from typing import Any
from unittest import TestCase
from unittest.mock import patch

from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test
from hypothesis.strategies import booleans, integers, sampled_from, sets

from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
from sesamepoint_core.crash_attribution.evidence import PartAnswer, PartEnd
from sesamepoint_core.crash_attribution.suspect_parts import SuspectParts
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint_core.serving.prompt import Part
from tests.core.crash_attribution.builders import SCOPE, part

HARMFUL = part('harmful')
SOUND = tuple(part(key) for key in ('a', 'b', 'c', 'd'))
INSTANCES = 2
# Ends from which on the part must be known: one that nobody expected, one in progress at the other instance, and two
# that were sent alone.
ENDS_UNTIL_NAMED = 4


class AttributionMachine(RuleBasedStateMachine):
    """Requests are sent as both instances allow; one with the harmful part ends its runner."""

    def __init__(self) -> None:
        """Start without evidence."""
        super().__init__()
        self.instances = [CrashSuspects() for _ in range(INSTANCES)]
        self.reports: list[tuple[int, PartEnd | PartAnswer]] = []
        self.ends = 0
        self.answered: set[Part] = set()
        self.beside_harmful: set[Part] = set()
        self.serial = 0

    @rule(parts=sets(sampled_from(SOUND), min_size=1, max_size=2), harmful=booleans(), sender=integers(0, 1))
    def send(self, parts: set[Part], harmful: bool, sender: int) -> None:  # noqa: FBT001
        """Send a request, alone if it has a suspect part; the reports on it are delivered later."""
        prompt = (*sorted(parts), *((HARMFUL,) if harmful else ()))
        suspects = self.instances[sender]
        if suspects.quarantined_parts(prompt):
            return
        alone = bool(suspects.suspect_parts(prompt))
        if alone:
            # A probe is claimed, and its sender has heard of what was told before.
            self.deliver_all()
            alone = bool(suspects.suspect_parts(prompt))
            if suspects.quarantined_parts(prompt):
                return
        if harmful:
            self._end(sender, prompt, alone=alone)
            self.ends += 1
            self.beside_harmful.update(prompt)
        else:
            self._answer(sender, prompt)

    @rule(parts=sets(sampled_from(SOUND), min_size=1, max_size=2), sender=integers(0, 1))
    def runner_ends_by_itself(self, parts: set[Part], sender: int) -> None:
        """End a runner under a request that was not sent as a probe."""
        self._end(sender, tuple(sorted(parts)), alone=False)

    @precondition(lambda machine: machine.reports)
    @rule(number=integers(0, 1000), again=booleans())
    def deliver(self, number: int, again: bool) -> None:  # noqa: FBT001
        """Deliver any report, and perhaps keep it for a second time."""
        index = number % len(self.reports)
        receiver, report = self.reports[index] if again else self.reports.pop(index)
        self._receive(self.instances[receiver], report)

    def deliver_all(self) -> None:
        """Deliver all reports."""
        while self.reports:
            self.deliver(0, again=False)

    @invariant()
    def sound_parts_not_named(self) -> None:
        """A part that was answered whole is never in quarantine, nor one that was never beside the harmful one."""
        for suspects in self.instances:
            refused = set(suspects.quarantined_parts(SOUND))
            assert refused <= self.beside_harmful - self.answered

    @invariant()
    def harmful_part_named_in_time(self) -> None:
        """The part is known after a few ends."""
        assert self.ends <= ENDS_UNTIL_NAMED

    def _answer(self, sender: int, prompt: tuple[Part, ...]) -> None:
        self.answered.update(prompt)
        self.instances[sender].parts.note_answered(prompt, SCOPE)
        self.reports.extend((1 - sender, PartAnswer.from_part(each, SCOPE)) for each in prompt)

    def _end(self, sender: int, prompt: tuple[Part, ...], *, alone: bool) -> None:
        self.serial += 1
        incarnation = Incarnation(f'i{self.serial}')
        candidates = self.instances[sender].parts.candidates(prompt, SCOPE)
        ends = tuple(PartEnd(each.key, each.tokens, incarnation, SCOPE, alone) for each in candidates)
        self._note(self.instances[sender], ends)
        self.reports.extend((1 - sender, each) for each in ends)

    def _receive(self, suspects: CrashSuspects, report: PartEnd | PartAnswer) -> None:
        if isinstance(report, PartAnswer):
            suspects.parts.clear(report)
            return
        self._note(suspects, (report,))

    def _note(self, suspects: CrashSuspects, ends: tuple[PartEnd, ...]) -> None:
        for verdict in suspects.note_part_ends(ends, 0):
            for other in self.instances:
                other.quarantine_part(verdict, 0)


def _run(machine: type[RuleBasedStateMachine]) -> None:
    drawn = settings(max_examples=100, stateful_step_count=30, phases=(Phase.generate,), report_multiple_bugs=False)
    run_state_machine_as_test(machine, settings=drawn)


def _all_candidates(_: SuspectParts, parts: Any, scope: str) -> tuple[Part, ...]:
    return tuple(parts)


class StatefulTest(TestCase):
    """The machine, and variants without one safeguard each."""

    def test_attribution(self) -> None:
        """Guards against a verdict on a sound part, and against a harmful part that is not found."""
        _run(AttributionMachine)

    def test_faulty_variant_names_without_probes(self) -> None:
        """Without ends alone, runners that end by themselves name a part."""
        with patch('sesamepoint_core.crash_attribution.suspect_parts._alone', return_value=range(9)):
            self.assertRaises(AssertionError, _run, AttributionMachine)

    def test_faulty_variant_forgets_answers(self) -> None:
        """Without answers, what comes together with the harmful part is named with it."""
        forgets = patch.object(SuspectParts, 'clear', return_value=False)
        with forgets, patch.object(SuspectParts, 'candidates', _all_candidates):
            self.assertRaises(AssertionError, _run, AttributionMachine)

    def test_faulty_variant_sends_suspects_together(self) -> None:
        """Without probes the part is never named."""
        with patch.object(CrashSuspects, 'suspect_parts', return_value=()):
            self.assertRaises(AssertionError, _run, AttributionMachine)

    def test_faulty_variant_counts_reports(self) -> None:
        """If an end counts once for each report, a few reports name a part."""
        note = SuspectParts.note_end
        serial = iter(range(1_000_000))

        def counted(suspects: SuspectParts, each: PartEnd) -> None:
            note(suspects, each._replace(incarnation=Incarnation(f'r{next(serial)}'), alone=True))

        with patch.object(SuspectParts, 'note_end', counted):
            self.assertRaises(AssertionError, _run, AttributionMachine)
