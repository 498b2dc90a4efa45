"""Named policies: each combines an algorithm for routing with one for planning."""

from __future__ import annotations

from typing import NamedTuple

from sesamepoint_core.plan.planner import PLANNERS, Planner
from sesamepoint_core.registry import Registry
from sesamepoint_core.route.choose import CHOOSERS, Chooser


class Policy(NamedTuple):
    """The algorithms of a policy.

    Parameters
    ----------
    choose
        Chooses a runner for a request.
    plan
        Plans the roles of runners.
    admits_late
        Whether requests are admitted that would miss their deadlines.
    """

    choose: Chooser
    plan: Planner
    admits_late: bool = False


POLICIES: Registry[Policy] = Registry('policy')
POLICIES.register('default')(Policy(CHOOSERS.get('least-delay'), PLANNERS.get('worthwhile')))
POLICIES.register('v1-soonest')(Policy(CHOOSERS.get('soonest'), PLANNERS.get('worthwhile')))
POLICIES.register('fixed')(Policy(CHOOSERS.get('least-delay'), PLANNERS.get('never')))
POLICIES.register('random')(Policy(CHOOSERS.get('random'), PLANNERS.get('never'), admits_late=True))

__all__ = ('POLICIES', 'Policy')
