"""Causes for requests that end without a complete answer, as logged."""

from __future__ import annotations

from enum import StrEnum


class FailureCause(StrEnum):
    """Why a request ended without a complete answer; ``sesamectl loss`` groups by the values."""

    none = ''
    refused = 'refused'
    denied = 'key_denied'
    quarantined = 'ends_its_runners'
    # A part of its prompt was found to end runners while it was at one.
    withdrawn = 'withdrawn_from_its_runner'
    behind_probe = 'behind_its_trial'
    rate_limited = 'runners_name_limits'
    backed_off = 'runners_rest'
    draining = 'runners_leave'
    instance_lag = 'instance_lags'
    instance_stopping = 'instance_stops'
    no_runner = 'no_runner'
    rejected_by_runners = 'turned_away_by_runners'
    not_run_in_time = 'not_run_in_time'
    no_answer_in_time = 'no_answer_in_time'
    answer_too_long = 'answer_not_whole_in_time'
    broken = 'runner_broke_off'
    ended_early = 'runner_ended_answer_early'
    silent = 'runner_silent'
    runner_failed = 'runner_failed'
    origin_unknown = 'version_unknown'
    origin_gone = 'versions_runners_gone'
    cut_in_answer = 'cut_in_answer'
    caller_left = 'caller_left'


__all__ = ('FailureCause',)
