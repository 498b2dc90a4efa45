"""Causes for requests that end without a complete answer, as logged."""

from __future__ import annotations

from enum import StrEnum


class Cause(StrEnum):
    """Why a request ended without a complete answer; ``sesamectl loss`` groups by the values."""

    none = ''
    refused = 'refused'
    denied = 'key_denied'
    quarantined = 'ends_its_runners'
    behind_trial = 'behind_its_trial'
    limited = 'runners_name_limits'
    resting = 'runners_rest'
    leaving = 'runners_leave'
    no_runner = 'no_runner'
    turned_away = 'turned_away_by_runners'
    not_run_in_time = 'not_run_in_time'
    no_answer_in_time = 'no_answer_in_time'
    answer_too_long = 'answer_not_whole_in_time'
    broken = 'runner_broke_off'
    silent = 'runner_silent'
    runner_failed = 'runner_failed'
    cut_in_answer = 'cut_in_answer'
    caller_left = 'caller_left'


__all__ = ('Cause',)
