"""Decoding of the operator's configuration."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.field_types import (
    MAX_MILLISECONDS,
    MAX_SLOTS,
    MAX_TOKENS,
    Counter,
    NonEmptyText,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveInt,
)
from sesamepoint_core.serving.accounts import Account, AccountKeys, Accounts
from sesamepoint_core.serving.configuration_check import ConfigurationParts, find_complaints, summary
from sesamepoint_core.serving.routes import (
    CallerLimits,
    Configuration,
    EngineSpec,
    RepeatPolicy,
    Route,
    Service,
    ServiceShare,
)
from sesamepoint_core.units import BITS_PER_BYTE, BITS_PER_MEGABIT, MS_PER_S
from sesamepoint.platform.unreadable_record import InvalidConfigurationError

# Beyond these a configured number means "no limit", and is cut: it is divided, or sent to peers.
MAX_COUNT = 1_000_000_000
MAX_PRIORITY = 1_000_000
MAX_WEIGHT = 1e12
MAX_LINK_MBPS = 1e9
# Bytes of the KV cache of one token.
MAX_TOKEN_BYTES = 1e9
_PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
# Sent in a header as UTF-8: no control characters, spaces only inside.
_AccountName = Annotated[str, msgspec.Meta(pattern='^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?$')]
# What may be done with a request; of any other kind it isn't known whether it may run twice or is a stream.
_Kind = Literal['idempotent', 'non_idempotent', 'streaming']


class _Share(msgspec.Struct):
    service: NonEmptyText
    weight: NonNegativeFloat


class _Route(msgspec.Struct):
    name: NonEmptyText
    host: NonEmptyText
    path_prefix: NonEmptyText
    kind: _Kind
    timeout_ms: _PositiveFloat
    # A route names one service here, or several with weights in ``backends``.
    service: str | None = None
    backends: list[_Share] | None = None
    target_latency_ms: _PositiveFloat | None = None
    gap_aim_ms: NonNegativeFloat | None = None
    max_attempts: PositiveInt | None = None
    priority: NonNegativeInt | None = None
    resumable: bool | None = None
    public: bool | None = None


class _Engine(msgspec.Struct):
    slots: PositiveInt
    kv_tokens: PositiveInt
    # Size of the KV cache of one token, not of the whole cache.
    kv_bytes: _PositiveFloat
    link_mbps: _PositiveFloat


class _Service(msgspec.Struct):
    name: NonEmptyText
    max_conns: NonNegativeInt
    engine: _Engine | None = None
    # Without one no health page is called.
    health_path: str | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: PositiveInt
    max_body_bytes: NonNegativeInt
    header_timeout_ms: _PositiveFloat
    idle_timeout_ms: _PositiveFloat


class _Tenant(msgspec.Struct):
    name: _AccountName
    api_keys: list[str]
    priority: NonNegativeInt | None = None


class _Document(msgspec.Struct):
    version: Counter
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    # If the list is missing, requests need no API key.
    tenants: list[_Tenant] | None = None


class _VersionOnly(msgspec.Struct):
    version: Counter


def decode_configuration(text: bytes) -> Configuration:
    """Decode the operator's configuration.

    Raises
    ------
    UnreadableRecordError
        If ``text`` is not a valid configuration: malformed JSON, a field that is missing, has the wrong type or is
        out of range, or entries that contradict each other.
    """
    try:
        return _configuration(decode_json(text, _Document))
    except (UndecodableError, ValueError) as exc:
        # ValueError: a route without a service, or a key of two accounts.
        raise InvalidConfigurationError(str(exc), _version(text)) from exc


def _configuration(document: _Document) -> Configuration:
    limits = document.limits
    accounts = None if document.tenants is None else [_account_keys(tenant) for tenant in document.tenants]
    parts = ConfigurationParts(
        [_route(record) for record in document.routes],
        [_service(record) for record in document.services],
        accounts or (),
    )
    complaints = find_complaints(parts)
    if complaints:
        raise ValueError(summary(complaints))
    return Configuration.from_parts(
        document.version,
        parts.routes,
        parts.services,
        CallerLimits(
            head_bytes=min(limits.max_header_bytes, MAX_COUNT),
            body_bytes=min(limits.max_body_bytes, MAX_COUNT),
            head_s=_seconds(limits.header_timeout_ms),
            idle_s=_seconds(limits.idle_timeout_ms),
        ),
        None if accounts is None else Accounts.from_keys(accounts),
    )


def _version(text: bytes) -> int:
    """Return the version of a refused configuration; 0 if it can't be read."""
    try:
        return decode_json(text, _VersionOnly).version
    except UndecodableError:
        return 0


def _service(record: _Service) -> Service:
    return Service(record.name, min(record.max_conns, MAX_COUNT), _engine(record.engine), record.health_path or '')


def _route(route: _Route) -> Route:
    target_ms = route.timeout_ms if route.target_latency_ms is None else route.target_latency_ms
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        repeat=_repeat_policy(route),
        streamed=route.kind == 'streaming',
        timeout_s=_seconds(route.timeout_ms),
        target_s=_seconds(target_ms),
        pause_s=_seconds(route.gap_aim_ms or 0),
        max_attempts=min(route.max_attempts or 1, MAX_COUNT),
        priority=min(route.priority or 0, MAX_PRIORITY),
        shares=_shares(route),
        public=bool(route.public),
    )


def _account_keys(tenant: _Tenant) -> AccountKeys:
    return AccountKeys(Account(tenant.name, _account_priority(tenant.priority)), tenant.api_keys)


def _account_priority(priority: int | None) -> int | None:
    return None if priority is None else min(priority, MAX_PRIORITY)


def _seconds(milliseconds: float) -> float:
    return min(milliseconds, MAX_MILLISECONDS) / MS_PER_S


def _shares(route: _Route) -> tuple[ServiceShare, ...]:
    if route.backends:
        return tuple(ServiceShare(backend.service, min(backend.weight, MAX_WEIGHT)) for backend in route.backends)
    if not route.service:
        raise ValueError(f'route {route.name} has neither a service nor backends')
    return (ServiceShare(route.service, 1),)


def _repeat_policy(route: _Route) -> RepeatPolicy:
    if route.kind == 'idempotent':
        return RepeatPolicy.freely
    if route.kind == 'streaming' and route.resumable:
        return RepeatPolicy.resume
    return RepeatPolicy.never


def _engine(engine: _Engine | None) -> EngineSpec | None:
    if engine is None:
        return None
    return EngineSpec(
        slots=min(engine.slots, MAX_SLOTS),
        kv_tokens=min(engine.kv_tokens, MAX_TOKENS),
        kv_token_bytes=min(engine.kv_bytes, MAX_TOKEN_BYTES),
        link_bytes_s=min(engine.link_mbps, MAX_LINK_MBPS) * BITS_PER_MEGABIT / BITS_PER_BYTE,
    )


__all__ = ('decode_configuration',)
