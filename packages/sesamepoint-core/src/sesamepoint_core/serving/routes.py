"""Routes, services and limits of the current configuration, and the look-up of a route."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.serving.accounts import Accounts

if TYPE_CHECKING:
    from collections.abc import Sequence


class RepeatPolicy(Enum):
    """How a request may be retried.

    ``freely``: it may run any number of times. ``resume``: its stream may
    continue at another runner after the last event received. ``never``: it
    may run only once.
    """

    freely = 'freely'
    resume = 'resume'
    never = 'never'


class ServiceShare(NamedTuple):
    """A service that gets a share of the requests of a route, by weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for one host and path prefix are served.

    Parameters
    ----------
    streamed
        Whether the answer is a stream of events.
    timeout_s
        Longest time that a caller waits for the answer, in seconds.
    target_s
        Seconds within which an answer is on time; for a stream, its first event.
    pause_s
        Longest pause between two events of a stream that is on time, in seconds.
    max_attempts
        Number of runners that one request may be sent to.
    priority
        Priority; 0 is the most urgent.
    public
        Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    streamed: bool
    timeout_s: float
    target_s: float
    pause_s: float
    max_attempts: int
    priority: int
    shares: tuple[ServiceShare, ...]
    public: bool = False


class EngineSpec(NamedTuple):
    """Capacity of an engine of a service, as published by the operator.

    Parameters
    ----------
    slots
        Number of requests that an engine runs at once.
    kv_tokens
        Size of its KV cache, in tokens.
    kv_token_bytes
        Bytes of a token in the KV cache and on the link.
    link_bytes_s
        Bandwidth of its link, in bytes a second.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    link_bytes_s: float


class Service(NamedTuple):
    """A group of runners that serve the same requests.

    Parameters
    ----------
    max_conns
        Most connections to one runner from all instances of the system together.
    engine
        Capacity of an engine; None if the runners are no engines.
    health_path
        Path of the health page of a runner; empty if it has none.
    """

    name: str
    max_conns: int
    engine: EngineSpec | None = None
    health_path: str = ''


class CallerLimits(NamedTuple):
    """Limits on the size of requests and on the time that callers take to send them."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


class Configuration(NamedTuple):
    """One version of the operator's configuration; ``accounts`` is None if requests need no key."""

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: Accounts | None = None

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: Sequence[Route],
        services: Sequence[Service],
        limits: CallerLimits,
        accounts: Accounts | None = None,
    ) -> Configuration:
        """Index ``routes`` by host, with the longest prefixes first."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        index = {host: tuple(sorted(found, key=_longest_first)) for host, found in by_host.items()}
        return cls(version, index, {service.name: service for service in services}, limits, accounts)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or None."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _longest_first(route: Route) -> int:
    return -len(route.prefix)


__all__ = ('CallerLimits', 'Configuration', 'EngineSpec', 'RepeatPolicy', 'Route', 'Service', 'ServiceShare')
