"""Decoding of the operator's configuration and of runners' registrations."""

from __future__ import annotations

from typing import Any

import msgspec

from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.routes import (
    CallerLimits,
    Configuration,
    EngineFigures,
    Repeat,
    Route,
    Service,
    Share,
)
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint_core.units import MS_PER_S

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
_MALFORMED = (msgspec.DecodeError, KeyError, TypeError, ValueError)


class UnreadableRecordError(SesamepointError):
    """A record in the platform's store that does not decode."""


def decode_configuration(text: bytes) -> Configuration:
    """Return the operator's configuration.

    Raises
    ------
    UnreadableRecordError
        If ``text`` is no such document.
    """
    try:
        return _configuration(msgspec.json.decode(text))
    except _MALFORMED as exc:
        raise UnreadableRecordError(f'configuration: {exc!r}', 'the version before stays in force') from exc


def decode_runner(key: str, text: bytes) -> Runner:
    """Return a runner's registration under ``key``.

    Raises
    ------
    UnreadableRecordError
        If ``text`` is no such document.
    """
    try:
        return _runner(key, msgspec.json.decode(text))
    except _MALFORMED as exc:
        raise UnreadableRecordError(f'runner {key}: {exc!r}', 'what it registered before is kept') from exc


def _configuration(document: dict[str, Any]) -> Configuration:
    limits = document['limits']
    return Configuration.from_parts(
        document['version'],
        [_route(found) for found in document['routes']],
        [_service(found) for found in document['services']],
        CallerLimits(
            head_bytes=limits['max_header_bytes'],
            body_bytes=limits['max_body_bytes'],
            head_s=limits['header_timeout_ms'] / MS_PER_S,
            idle_s=limits['idle_timeout_ms'] / MS_PER_S,
        ),
    )


def _route(document: dict[str, Any]) -> Route:
    streamed = document['kind'] == 'streaming'
    timeout_s = document['timeout_ms'] / MS_PER_S
    # A route names either one service or shares of several.
    shares = document.get('backends') or [{'service': document['service'], 'weight': 1}]
    return Route(
        name=document['name'],
        host=document['host'].lower(),
        prefix=document['path_prefix'],
        repeat=_repeat(document),
        streamed=streamed,
        timeout_s=timeout_s,
        target_s=document.get('target_latency_ms', document['timeout_ms']) / MS_PER_S,
        pause_s=document.get('gap_aim_ms', 0) / MS_PER_S,
        max_attempts=document.get('max_attempts', 1),
        priority=document.get('priority', 0),
        shares=tuple(Share(found['service'], found['weight']) for found in shares),
    )


def _repeat(document: dict[str, Any]) -> Repeat:
    if document['kind'] == 'idempotent':
        return Repeat.freely
    if document['kind'] == 'streaming' and document.get('resumable'):
        return Repeat.resume
    return Repeat.never


def _service(document: dict[str, Any]) -> Service:
    engine = document.get('engine')
    return Service(document['name'], document['max_conns'], _engine(engine) if engine else None)


def _engine(document: dict[str, Any]) -> EngineFigures:
    return EngineFigures(
        slots=document['slots'],
        kv_tokens=document['kv_tokens'],
        kv_token_bytes=document['kv_bytes'],
        link_bytes_s=document['link_mbps'] * BITS_PER_MEGABIT / BITS_PER_BYTE,
    )


def _runner(key: str, document: dict[str, Any]) -> Runner:
    return Runner(
        key=key,
        service=document['service'],
        address=Address.parse(document['address']),
        zone=document['zone'],
        slots=document['slots'],
        leaving=document['state'] != 'ready',
        # Only engines have a stage.
        stage=Stage(document['stage']) if document.get('stage') else Stage.plain,
    )


__all__ = ('UnreadableRecordError', 'decode_configuration', 'decode_runner')
