"""Evidence that a runner fails, and the rule for how many must report it, and for whom."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Outcomes older than this are no evidence any more, in seconds.
EVIDENCE_S = 5.0
# Most entries that are kept for one runner; the oldest are dropped first.
MAX_ENTRIES = 128
# Reports of peers count only if at least this many instances, this one included, report
# failures: one instance that alone sees failures may have a bad link.
MIN_REPORTERS = 2
# Of one reporter at most this many failures count in the evidence of all instances, so that
# a bad link and the chance failure of another instance together eject no runner.
MAX_FAILURES_OF_REPORTER = 2
# Log-likelihood ratio of a failing runner (half of its requests fail) to a working one (15%).
FAILURE_WEIGHT = 1.2
SUCCESS_WEIGHT = -0.53
# A failure that the runner answered may be due to the request, so that one instance alone
# needs four of them in a row.
ANSWERED_WEIGHT = 0.9
# Three failures in a row exceed it.
EJECTION_SCORE = 3.4
# Name of this instance as a reporter.
OWN = ''


class Outcomes(NamedTuple):
    """Successes of one reporter, followed by failures, some of them answered by the runner."""

    at: float
    reporter: str
    successes: int
    failures: int
    answered: int = 0


def _none_unreported(_: float) -> float:
    return 0


class Evidence:
    """Recent outcomes of the requests of all instances at one runner, in the order of their reports."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self._outcomes: deque[Outcomes] = deque(maxlen=MAX_ENTRIES)

    def add(self, outcomes: Outcomes) -> None:
        """Add outcomes; consecutive successes of one reporter are merged."""
        last = self._outcomes[-1] if self._outcomes else None
        if last and not (last.failures or outcomes.failures) and last.reporter == outcomes.reporter:
            self._outcomes[-1] = outcomes._replace(successes=last.successes + outcomes.successes)
        else:
            self._outcomes.append(outcomes)

    def clear(self) -> None:
        """Forget all outcomes, since the runner is in another state now."""
        self._outcomes.clear()

    def reporters(self, now: float) -> int:
        """Return how many instances report failures, this one included."""
        return len({one.reporter for one in self._recent(now) if one.failures})

    def failing(self, now: float, unreported: Callable[[float], float] = _none_unreported) -> bool:
        """Tell whether this instance must take the runner out of use.

        It does so on its own evidence, whatever its peers report: its link to the
        runner may be bad. The evidence of all instances counts for each of them
        if enough of them report failures.

        Parameters
        ----------
        unreported
            Returns how many requests peers have sent since their last reports. Failures are
            reported at once and successes later, so these requests count as successes.
            Without them, a runner that fails a few of its many requests would be ejected.
        """
        recent = self._recent(now)
        if _own_score(recent) >= EJECTION_SCORE:
            return True
        score = _shared_score(recent)
        if self.reporters(now) < MIN_REPORTERS or score < EJECTION_SCORE:
            return False
        return score + unreported(now) * SUCCESS_WEIGHT >= EJECTION_SCORE

    def _recent(self, now: float) -> list[Outcomes]:
        return [one for one in self._outcomes if now - one.at <= EVIDENCE_S]


def _own_score(outcomes: Iterable[Outcomes]) -> float:
    score: float = 0
    for one in outcomes:
        if one.reporter == OWN:
            score = max(score + one.successes * SUCCESS_WEIGHT, 0)
            score += (one.failures - one.answered) * FAILURE_WEIGHT + one.answered * ANSWERED_WEIGHT
    return score


def _shared_score(outcomes: Iterable[Outcomes]) -> float:
    score: float = 0
    counted: Counter[str] = Counter()
    for one in outcomes:
        score = max(score + one.successes * SUCCESS_WEIGHT, 0)
        if not score:
            counted.clear()
        new = min(one.failures, MAX_FAILURES_OF_REPORTER - counted[one.reporter])
        counted[one.reporter] += new
        score += new * FAILURE_WEIGHT
    return score


__all__ = ('EVIDENCE_S', 'MAX_FAILURES_OF_REPORTER', 'MIN_REPORTERS', 'OWN', 'Evidence', 'Outcomes')
