"""Decoding of the operator's configuration."""

from __future__ import annotations

from typing import Annotated

import msgspec

from sesamepoint_core.serving.accounts import Account, Accounts, Holder
from sesamepoint_core.serving.routes import (
    CallerLimits,
    Configuration,
    EngineFigures,
    Repeat,
    Route,
    Service,
    Share,
)
from sesamepoint_core.units import BITS_PER_BYTE, BITS_PER_MEGABIT, MS_PER_S
from sesamepoint.platform.fields import Count, Measure, Positive, Text
from sesamepoint.platform.unreadable import UnreadableRecordError

_Time = Annotated[float, msgspec.Meta(gt=0)]
# Sent in a header without encoding: visible ASCII, spaces only inside.
_AccountName = Annotated[str, msgspec.Meta(pattern='^[!-~]([ -~]*[!-~])?$')]


class _Share(msgspec.Struct):
    service: Text
    weight: Measure


class _Route(msgspec.Struct):
    name: Text
    host: Text
    path_prefix: Text
    kind: Text
    timeout_ms: _Time
    # A route names one service here, or several with weights in ``backends``.
    service: str = ''
    backends: list[_Share] = msgspec.field(default_factory=list)
    target_latency_ms: _Time | None = None
    gap_aim_ms: Measure = 0
    max_attempts: Positive = 1
    priority: Count = 0
    resumable: bool = False
    public: bool = False


class _Engine(msgspec.Struct):
    slots: Positive
    kv_tokens: Positive
    # Size of the KV cache of one token, not of the whole cache.
    kv_bytes: _Time
    link_mbps: _Time


class _Service(msgspec.Struct):
    name: Text
    max_conns: Count
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: Positive
    max_body_bytes: Count
    header_timeout_ms: _Time
    idle_timeout_ms: _Time


class _Tenant(msgspec.Struct):
    name: _AccountName
    api_keys: list[str]
    priority: Count | None = None


class _Document(msgspec.Struct):
    version: Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    # If the list is missing, requests need no API key.
    tenants: list[_Tenant] | None = None


def decode_configuration(text: bytes) -> Configuration:
    """Decode the operator's configuration.

    Raises
    ------
    UnreadableRecordError
        If ``text`` is not a valid configuration document: malformed JSON, or
        a field that is missing, has the wrong type or is out of range.
    """
    try:
        return _configuration(msgspec.json.decode(text, type=_Document))
    except ValueError as exc:
        # msgspec's errors are subclasses of ValueError.
        raise UnreadableRecordError(f'configuration: {exc}', 'the previous version stays in force') from exc


def _configuration(found: _Document) -> Configuration:
    limits = found.limits
    return Configuration.from_parts(
        found.version,
        [_route(record) for record in found.routes],
        [Service(record.name, record.max_conns, _engine(record.engine)) for record in found.services],
        CallerLimits(
            head_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_s=limits.header_timeout_ms / MS_PER_S,
            idle_s=limits.idle_timeout_ms / MS_PER_S,
        ),
        None if found.tenants is None else _accounts(found.tenants),
    )


def _route(found: _Route) -> Route:
    target_ms = found.timeout_ms if found.target_latency_ms is None else found.target_latency_ms
    return Route(
        name=found.name,
        host=found.host.lower(),
        prefix=found.path_prefix,
        repeat=_repeat(found),
        streamed=found.kind == 'streaming',
        timeout_s=found.timeout_ms / MS_PER_S,
        target_s=target_ms / MS_PER_S,
        pause_s=found.gap_aim_ms / MS_PER_S,
        max_attempts=found.max_attempts,
        priority=found.priority,
        shares=_shares(found),
        public=found.public,
    )


def _accounts(found: list[_Tenant]) -> Accounts:
    return Accounts.from_keys(Holder(Account(tenant.name, tenant.priority), tenant.api_keys) for tenant in found)


def _shares(found: _Route) -> tuple[Share, ...]:
    if found.backends:
        return tuple(Share(backend.service, backend.weight) for backend in found.backends)
    if not found.service:
        raise ValueError(f'route {found.name} has neither a service nor backends')
    return (Share(found.service, 1),)


def _repeat(found: _Route) -> Repeat:
    if found.kind == 'idempotent':
        return Repeat.freely
    if found.kind == 'streaming' and found.resumable:
        return Repeat.resume
    # Also for kinds unknown to this version: running a request twice is worse
    # than not retrying it.
    return Repeat.never


def _engine(found: _Engine | None) -> EngineFigures | None:
    if found is None:
        return None
    return EngineFigures(
        slots=found.slots,
        kv_tokens=found.kv_tokens,
        kv_token_bytes=found.kv_bytes,
        link_bytes_s=found.link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE,
    )


__all__ = ('decode_configuration',)
