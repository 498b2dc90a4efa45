"""All conditions that block sends, and how they come about on the test bench of the send check."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_status.status_headers import BackOff, RateLimit
from sesamepoint_core.stream_origin.origin import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from tests.front.send_check_bench import SendCheckBench

    BlockTrigger = Callable[[SendCheckBench], None]


def _report_zero_limit(bench: SendCheckBench) -> None:
    bench.send_check.runner_statuses.take(RateLimit(0), bench.member.incarnation, 0)


def _quarantine_request(bench: SendCheckBench) -> None:
    bench.send_check.suspects.quarantine(bench.job.content_id, 0)


def _back_off(bench: SendCheckBench) -> None:
    bench.send_check.runner_statuses.take(BackOff(3), bench.member.incarnation, 0)


def _start_draining(bench: SendCheckBench) -> None:
    bench.send_check.runner_statuses.note_draining(bench.member.incarnation, 'front-2', 0)


def _fix_other_origin(bench: SendCheckBench) -> None:
    bench.job.stream.origin = StreamOrigin('llm', 'another version')


def _return_unconfirmed(bench: SendCheckBench) -> None:
    bench.member.presence.note_removed(trio.current_time() - 1, 0)
    bench.member.presence.note_back(trio.current_time())


BLOCK_TRIGGERS: Mapping[str, BlockTrigger] = MappingProxyType(
    {
        'gone': lambda found: found.member.close(),
        'unconfirmed': _return_unconfirmed,
        'replaced': lambda found: found.member.note_replaced('front-2'),
        'leaving': _start_draining,
        'resting': _back_off,
        'limit': _report_zero_limit,
        'suspect': _quarantine_request,
        'origin': _fix_other_origin,
    }
)

__all__ = ('BLOCK_TRIGGERS', 'BlockTrigger')
