"""The configuration in force: routes, services and limits, and finding a route."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sesamepoint_core.serving.accounts import Accounts


class Repeat(Enum):
    """What may be done again with a request.

    ``freely``: it may run any number of times. ``resume``: a stream that may
    go on at another runner after the last event that arrived. ``never``: it
    may run once.
    """

    freely = 'freely'
    resume = 'resume'
    never = 'never'


class Share(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests below one path of one host are served.

    Parameters
    ----------
    streamed
        Whether the answer is a series of events.
    timeout_s
        How long a caller is kept waiting at the most.
    target_s
        Within this an answer is on time; for a stream, its first event.
    pause_s
        The longest pause between two events of a stream that is on time.
    max_attempts
        Runners that one request may be sent to.
    priority
        Rank; 0 is the most urgent.
    public
        Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    streamed: bool
    timeout_s: float
    target_s: float
    pause_s: float
    max_attempts: int
    priority: int
    shares: tuple[Share, ...]
    public: bool = False


class EngineFigures(NamedTuple):
    """What the operator publishes on the engines of a service.

    Parameters
    ----------
    slots
        Requests that an engine runs at once.
    kv_tokens
        Tokens that its memory holds.
    kv_token_bytes
        Bytes a token takes in memory and on the link.
    link_bytes_s
        Bytes a second that its link carries.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    link_bytes_s: float


class Service(NamedTuple):
    """Runners of one kind; ``engine`` is None for plain services.

    ``max_conns`` bounds the connections that one runner takes from all
    instances of the system together.
    """

    name: str
    max_conns: int
    engine: EngineFigures | None = None


class CallerLimits(NamedTuple):
    """What callers may send, and how long they may take."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


class Configuration(NamedTuple):
    """One version of what the operator wants; without ``accounts`` all requests are nobody's."""

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: Accounts | None = None

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: list[Route],
        services: list[Service],
        limits: CallerLimits,
        accounts: Accounts | None = None,
    ) -> Configuration:
        """Index ``routes`` by host, those with the longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        index = {host: tuple(sorted(found, key=_longest_first)) for host, found in by_host.items()}
        return cls(version, index, {service.name: service for service in services}, limits, accounts)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _longest_first(route: Route) -> int:
    return -len(route.prefix)


__all__ = (
    'CallerLimits',
    'Configuration',
    'EngineFigures',
    'Repeat',
    'Route',
    'Service',
    'Share',
)
