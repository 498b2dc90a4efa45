"""Numbered log events, listed in docs/EVENTS.md, and the output of log lines."""

from __future__ import annotations

import logging
import sys
from typing import Any, NamedTuple

from pythonjsonlogger.json import JsonFormatter

from sesamepoint_core.registry import Registry
from sesamepoint.log_output import LogRateLimit, NonBlockingOutput

_logger = logging.getLogger('sesamepoint')


class Event(NamedTuple):
    """One kind of log line.

    Parameters
    ----------
    number
        Never changes, since operators search for it.
    level
        A level of :mod:`logging`.
    text
        The fixed part of the line.
    """

    number: int
    level: int
    text: str


EVENTS: Registry[Event] = Registry('event')


def _event(number: int, level: int, text: str) -> Event:
    return EVENTS.register(str(number))(Event(number, level, text))


PROCESS_STARTED = _event(1001, logging.INFO, 'process started')
STOP_REQUESTED = _event(1002, logging.INFO, 'graceful stop requested')
PROCESS_STOPPED = _event(1003, logging.INFO, 'process stopped')
COMPONENT_RESTARTED = _event(1101, logging.WARNING, 'part failed and is restarted')
COMPONENT_GAVE_UP = _event(1102, logging.ERROR, 'part failed too often')
METRICS_NOT_SERVED = _event(1103, logging.ERROR, 'metrics are not served')
STATE_RECOVERED = _event(2001, logging.INFO, 'control state recovered')
CONFIGURATION_APPLIED = _event(2002, logging.INFO, 'configuration version in force')
LOG_UNREACHABLE = _event(2003, logging.WARNING, 'control log not reachable')
LOG_REACHABLE = _event(2004, logging.INFO, 'control log reachable again')
RECORD_REJECTED = _event(2005, logging.INFO, 'record rejected')
HISTORY_LOST = _event(2006, logging.ERROR, 'control log lost records that are needed')
LEASE_TAKEN = _event(2101, logging.INFO, 'lease taken')
LEASE_LOST = _event(2102, logging.WARNING, 'lease lost')
ORDER_ISSUED = _event(2201, logging.INFO, 'order given')
ORDER_STARTED = _event(2202, logging.INFO, 'order started, draining')
ORDER_DONE = _event(2203, logging.INFO, 'order done')
ORDER_REFUSED = _event(2204, logging.WARNING, 'order refused by the upstream')
UNEXPECTED_UPSTREAM_STATE = _event(2205, logging.WARNING, 'upstream is in a state that no order requested')
SLOT_CLAIMED = _event(2301, logging.INFO, 'slot claimed')
RUNNER_DECLARED_DEAD = _event(3001, logging.WARNING, 'runner declared dead, heartbeats unanswered')
RUNNER_RECOVERED = _event(3002, logging.INFO, 'runner answers heartbeats again')
ATTEMPT_RESUMED = _event(3101, logging.INFO, 'attempt resumed on a new connection')
ATTEMPT_BROKE = _event(3103, logging.ERROR, 'attempt broke on an unexpected error')
REQUEST_ENDED = _event(3102, logging.DEBUG, 'request ended')
ANSWER_ENDED = _event(3201, logging.INFO, 'request served')
REQUEST_REFUSED = _event(3208, logging.INFO, 'request refused, engines are too busy')
REQUEST_REFUSED_STOPPING = _event(3209, logging.INFO, 'request turned away, this instance is stopping')
REQUEST_REJECTED = _event(3202, logging.INFO, 'malformed request rejected')
CALLER_DISCONNECTED = _event(3203, logging.INFO, 'caller left before its answer was whole')
CONNECTION_BROKE = _event(3204, logging.ERROR, 'connection ended by an unexpected error')
ATTEMPT_ENDED = _event(3205, logging.INFO, 'attempt ended without a whole answer')
RESPONSE_GIVEN_UP = _event(3225, logging.WARNING, 'response given up, it exceeds its limit of bytes or time')
ANSWER_WITHOUT_END = _event(3226, logging.WARNING, 'answer did not end in its time, larger than any of its route')
PREFILL_FAILED = _event(3206, logging.INFO, 'remote prefill failed')
HANDLE_NOT_FREED = _event(3207, logging.INFO, 'KV memory at a runner was not freed, it is left to expire')
RUNNER_ENDED = _event(3210, logging.INFO, 'runner ended under a request')
PROBE_STARTED = _event(3211, logging.INFO, 'suspect request is sent alone as a probe, runners have ended under it')
SUSPECT_CLEARED = _event(3212, logging.INFO, 'suspect request was answered, it is cleared')
QUARANTINED = _event(3213, logging.WARNING, 'poison request quarantined, it is not sent any more')
PART_SUSPECT = _event(3230, logging.INFO, 'runner ended under a part of a prompt that no answer has cleared')
PART_CLEARED = _event(3231, logging.INFO, 'suspect part of a prompt was answered, it is cleared')
PART_QUARANTINED = _event(3232, logging.WARNING, 'part of prompts ends runners, requests with it are not sent any more')
PART_TRIAL_STARTED = _event(3233, logging.INFO, 'part in quarantine is tried once more')
PART_RELEASED = _event(3234, logging.WARNING, 'quarantine of a part ended')
SEND_WITHDRAWN = _event(3235, logging.INFO, 'request withdrawn from its runner, a part of its prompt ends runners')
RETRY_BUDGET_ASKED = _event(3240, logging.INFO, 'retry budget asked for a send beyond the first')
RETRY_SHARE_CHANGED = _event(3242, logging.INFO, 'share in the reserve of the retry budget changed')
REPEAT_SENT = _event(3243, logging.INFO, 'request sent once more')
SEND_READ = _event(3244, logging.INFO, 'send of a repeated request was read by its runner, or can no longer be')
QUARANTINE_ENDED = _event(3214, logging.WARNING, 'quarantine of a request ended')
QUARANTINE_NOT_STORED = _event(3215, logging.WARNING, 'quarantine record could not be stored, the write is retried')
REQUEST_DENIED = _event(3216, logging.INFO, "request denied, its key is no account's")
SEND_NOT_ADMITTED = _event(3218, logging.INFO, 'nothing sent, the admission check for the chosen runner failed')
STREAM_ORIGIN_GONE = _event(3220, logging.INFO, 'stream can not go on, its version has no runner that takes it')
OTHER_RUNNER_LISTENS = _event(3331, logging.INFO, 'another runner listens where a stream has ended, it is broken off')
OTHER_INCARNATION_REPORTED = _event(
    3321, logging.INFO, 'runner reports another start than its registration, the stream is not sent there'
)
START_UNKNOWN = _event(3322, logging.INFO, 'start of a runner could not be checked')
STREAM_TAKEN_UP = _event(3221, logging.INFO, 'caller takes up the stream of an earlier attempt')
VERSIONS_CHANGED = _event(3320, logging.INFO, 'versions that the runners of a service have')
RUNNER_JOINED = _event(3301, logging.INFO, 'runner registered')
RUNNER_DRAINING = _event(3302, logging.INFO, 'runner is draining')
RUNNER_UNREGISTERED = _event(3303, logging.INFO, 'runner is no longer registered')
READY_AFTER_DRAINING = _event(3323, logging.INFO, 'registration of a runner that drains says that it does not')
STALE_REGISTRATION_IGNORED = _event(3328, logging.INFO, 'registration of an earlier heartbeat ignored')
VERSIONS_NOT_CURRENT = _event(
    3327, logging.INFO, 'list of runners could not be read, no version of a stream is inferred'
)
PEERS_ASKED_AFTER_GAP = _event(3329, logging.INFO, 'peers asked which runners left in a gap of the list')
MISSING_RUNNER_CHECKED = _event(3330, logging.INFO, 'runner that a restored copy of the store lacks was checked')
RETURN_CONFIRMED = _event(3325, logging.INFO, 'returned runner serves, and is used again')
RETURN_UNCONFIRMED = _event(3326, logging.INFO, 'returned runner has not shown that it serves')
RUNNER_REGISTERED_AGAIN = _event(3324, logging.INFO, 'runner whose registration was removed is registered again')
RUNNER_REPLACED = _event(3305, logging.INFO, 'another incarnation has the address of a runner')
RUNNER_EJECTED = _event(3304, logging.WARNING, 'runner ejected for a time')
RUNNER_RESTARTED = _event(3308, logging.INFO, 'runner restarted, the state of its earlier incarnation is dropped')
LIMIT_REPORTED = _event(3310, logging.INFO, 'runner names a limit')
LIMIT_ENDED = _event(3311, logging.INFO, 'runner reports no rate limit any more')
STATUS_HEADER_UNREADABLE = _event(
    3312, logging.WARNING, 'status header of a runner does not decode, the known status is kept'
)
LIMIT_DROPPED = _event(3313, logging.INFO, 'rate limit of a runner dropped')
DRAINING_REPORTED = _event(3314, logging.INFO, 'runner reports that it is draining')
BACK_OFF_REQUESTED = _event(3315, logging.INFO, 'runner asks this instance for rest')
PEER_BACK_OFF_REPORTED = _event(3317, logging.INFO, 'runner asked another instance to back off')
RUNNER_STATUS_DROPPED = _event(3316, logging.INFO, 'reported status of an earlier incarnation of a runner dropped')
REQUEST_REFUSED_BACK_OFF = _event(3219, logging.INFO, 'request refused, its runners asked for back-off')
REQUEST_REFUSED_LIMIT = _event(3217, logging.INFO, 'request refused by the rate limits of its runners')
STALE_INCARNATION_IGNORED = _event(3309, logging.INFO, 'stale update about an earlier incarnation of a runner ignored')
INVENTORY_LOADED = _event(3306, logging.INFO, 'cache inventory of an engine loaded')
INVENTORY_FAILED = _event(3307, logging.INFO, 'cache inventory of an engine could not be loaded')
STORE_DOWN = _event(3901, logging.WARNING, 'store answers no instance, one at a time probes it for all')
STORE_UP = _event(3902, logging.INFO, 'store answers instances again')
RECORD_UNREADABLE = _event(2007, logging.ERROR, 'record in the store does not decode')
STORE_UNREACHABLE = _event(2008, logging.WARNING, 'store not reachable')
STORE_REACHABLE = _event(2009, logging.INFO, 'store reachable again')
STORE_ROLLED_BACK = _event(
    2011, logging.WARNING, 'store was rolled back to an older copy, lost records are written again'
)
RESTORE_KNOWN = _event(2028, logging.WARNING, 'store is known to have been restored, all topics are read anew')
TOPIC_READ_ANEW = _event(2029, logging.INFO, 'topic was read anew, the store has another epoch')
TOPIC_UPDATE_DROPPED = _event(2030, logging.WARNING, 'update of a peer is not used')
RECORD_NOT_APPLIED = _event(2014, logging.ERROR, 'record of the store could not be applied, the others are')
PEER_CONFIGURATION = _event(2012, logging.INFO, 'peer gave its configuration')
PEER_CONFIGURATION_FAILED = _event(2013, logging.WARNING, 'peer did not give its configuration')
CONFIGURATION_REFUSED = _event(2016, logging.ERROR, 'configuration is invalid, the version before stays in force')
HISTORY_SEARCHED = _event(2021, logging.WARNING, 'history was searched for a valid configuration')
HISTORY_NOT_READ = _event(2022, logging.WARNING, 'history of the configurations could not be read')
HISTORY_VERSION_REFUSED = _event(2023, logging.INFO, 'version in the history is invalid')
STATUS_NOT_WRITTEN = _event(2024, logging.WARNING, 'status record could not be written')
VERSIONS_RESTORED = _event(2025, logging.INFO, 'versions from before the start are known from the store')
VERSIONS_NOT_RESTORED = _event(2026, logging.INFO, 'versions from before the start are not known from the store')
VERSIONS_NOT_RECORDED = _event(2027, logging.WARNING, 'versions seen could not be written')
HELD_READ_SILENT = _event(2017, logging.WARNING, 'read that waits for changes is silent, a short one is sent')
LOG_READS_SILENT = _event(2031, logging.WARNING, 'reads of the log are silent, the whole list is read')
LOG_READS_ANSWERED = _event(2032, logging.INFO, 'reads of the log are answered again')
HELD_READS_ANSWERED = _event(2018, logging.INFO, 'reads that wait for changes are answered again')
STATE_OUT_OF_DATE = _event(2019, logging.WARNING, 'no source has confirmed a topic of the store within its bound')
STATE_CURRENT = _event(2020, logging.INFO, 'topic of the store is known to be current again')
STORE_MOVED = _event(2015, logging.INFO, 'store answered at its new address')
REGISTRATION_FAILED = _event(2010, logging.WARNING, 'registration with the store failed')
DUTY_TAKEN = _event(2401, logging.INFO, 'duty taken')
DUTY_RELEASED = _event(2402, logging.INFO, 'duty no longer held')
USAGE_DECIDED = _event(2403, logging.INFO, 'usage of a window recorded')
USAGE_REPORTED = _event(2404, logging.INFO, 'usage of a window reported')
USAGE_REPORT_FAILED = _event(2405, logging.WARNING, 'usage report of a window failed')
USAGE_REPORT_TOO_LATE = _event(2406, logging.ERROR, 'usage of a window is not reported, its deadline has passed')
DUTY_STORE_FAILED = _event(2407, logging.WARNING, 'duty record could not be read from or written to the store')
DUTY_GIVEN_BACK = _event(2408, logging.INFO, 'duty given back, this instance stops')
DUTY_CLAIM_DEFERRED = _event(2409, logging.INFO, 'duty not claimed yet')
SETTINGS_RELOADED = _event(1004, logging.INFO, 'settings read again')
SETTINGS_NOT_APPLIED = _event(1006, logging.WARNING, 'changed settings need a restart, the old values stay')
SETTINGS_REFUSED = _event(1005, logging.ERROR, 'changed settings refused, the old ones stay')
RUNNER_EJECTED_BY_REPORTS = _event(3501, logging.WARNING, 'runner ejected for a time on the reports of peers')
RUNNER_RETURNED = _event(3502, logging.INFO, 'runner is in use again, a probe of a peer succeeded')
PEER_PROBE_FAILED = _event(3503, logging.INFO, 'runner stays ejected, a probe of a peer failed')
HEALTH_PAGE_CALLED = _event(3504, logging.INFO, 'health page of an ejected runner called')
PROBE_SUCCEEDED = _event(3505, logging.INFO, 'runner is in use again, a probe succeeded')
PEER_UNREACHABLE = _event(3401, logging.INFO, 'peer not reached')
PEER_DECLARED_DEAD = _event(3403, logging.WARNING, 'peer declared dead, its record is dropped')
OWN_RECORD_DROPPED = _event(3404, logging.WARNING, 'record of this instance was dropped, it registers again')
SLOW_READER_DISCONNECTED = _event(3801, logging.WARNING, 'slow reader disconnected, too many bytes are held')
REQUEST_REFUSED_MEMORY = _event(3802, logging.INFO, 'request refused, too many bytes are held')
PROCESS_SIZE_UNKNOWN = _event(3803, logging.WARNING, 'size of this process could not be measured')
CONNECTION_LIMIT_REACHED = _event(3804, logging.WARNING, 'limit on connections reached')
CONNECTION_SHED = _event(
    3806, logging.INFO, 'new connection closed unread, they arrive in excess and this instance lags'
)
LOOP_STALLED = _event(3808, logging.WARNING, 'no task has run for a time, each request of this instance waited')
CONNECTION_NOT_ACCEPTED = _event(3807, logging.WARNING, 'waiting connections could not be accepted')
REQUEST_REFUSED_LAG = _event(3805, logging.INFO, 'request refused, this instance lags and would serve it late')
UPDATE_DROPPED = _event(3405, logging.WARNING, 'send queue to peers is full, a message is dropped')
DATAGRAM_UNREADABLE = _event(3402, logging.WARNING, 'datagram of a peer does not decode')
MESSAGE_NOT_HANDLED = _event(3406, logging.ERROR, 'message of a peer could not be handled, the next is read')
ENGINE_MODEL_CHANGED = _event(3701, logging.INFO, 'model of an engine changed')


FAIR_SHARES_BEGUN = _event(3601, logging.INFO, 'fair shares among accounts are in force')
FAIR_SHARES_ENDED = _event(3602, logging.INFO, 'fair shares are no longer in force, the configuration has no accounts')
ACCOUNT_ABOVE_SHARE = _event(3603, logging.INFO, 'account is above its share, its requests wait for others')
REQUEST_REFUSED_SHARE = _event(3604, logging.INFO, 'request refused, its account is above its share')
WORK_REPORT_IGNORED = _event(3605, logging.INFO, 'late or repeated report of account work ignored')


class _LineFormatter(JsonFormatter):
    """Formats a record with its line end, so that each line is a single write."""

    def format(self, record: logging.LogRecord) -> str:
        line = super().format(record)
        return f'{line}\n'


def log_event(event: Event, **fields: Any) -> None:
    """Log one line for ``event`` with ``fields``."""
    _logger.log(event.level, event.text, extra={'event': event.number, **fields})


def set_up_logs(process: str, level: int = logging.INFO) -> None:
    """Write log lines as JSON to standard output, each with the name ``process``."""
    handler = logging.StreamHandler(NonBlockingOutput(sys.stdout.fileno()))  # noqa: WPS110
    handler.terminator = ''
    handler.addFilter(LogRateLimit())
    handler.setFormatter(
        _LineFormatter('{asctime}{levelname}{message}', style='{', static_fields={'process': process}),
    )
    _logger.handlers = [handler]
    _logger.setLevel(level)
    _logger.propagate = False


__all__ = ('EVENTS', 'Event', 'log_event', 'set_up_logs')
