"""Policies: a way to route and a way to plan, under one name."""

from __future__ import annotations

from typing import NamedTuple

from sesamepoint_core.plan.planner import PLANNERS, Planner
from sesamepoint_core.registry import Registry
from sesamepoint_core.route.choose import CHOOSERS, Chooser


class Policy(NamedTuple):
    """Everything that a policy's name stands for.

    ``admits_late`` lets work in that would miss its deadline.
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
