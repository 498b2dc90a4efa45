"""Check of a configuration as a whole: what it refers to, what it says twice, and what leaves nothing to choose."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from sesamepoint_core.serving.accounts import AccountKeys
    from sesamepoint_core.serving.routes import Configuration, Route, Service

    Check = Callable[['ConfigurationParts'], Iterator[str]]

# Complaints that an error lists; it counts the others.
MAX_NAMED = 10


class ConfigurationParts(NamedTuple):
    """The entries of a configuration as they are listed, before any is looked up by its name."""

    routes: Sequence[Route]
    services: Sequence[Service]
    accounts: Sequence[AccountKeys] = ()

    @classmethod
    def of(cls, cfg: Configuration) -> ConfigurationParts:
        """Return the parts of a configuration that was checked elsewhere."""
        routes = [route for routes in cfg.routes.values() for route in routes]
        return cls(routes, list(cfg.services.values()))


_checks: list[Check] = []


def _check(function: Check) -> Check:
    _checks.append(function)
    return function


def find_complaints(parts: ConfigurationParts) -> tuple[str, ...]:
    """Return all that is wrong with a configuration; nothing if it is valid."""
    return tuple(text for check in _checks for text in check(parts))


def summary(complaints: Sequence[str]) -> str:
    """Return ``complaints`` as one text of bounded length."""
    named = '; '.join(complaints[:MAX_NAMED])
    left = len(complaints) - MAX_NAMED
    return f'{named}; and {left} more' if left > 0 else named


@_check
def _unknown_services(parts: ConfigurationParts) -> Iterator[str]:
    """Requests of such a route could never be served."""
    known = {service.name for service in parts.services}
    for route in parts.routes:
        for share in route.shares:
            if share.service not in known:
                yield f'route {route.name!r} goes to the unknown service {share.service!r}'


@_check
def _repeated_names(parts: ConfigurationParts) -> Iterator[str]:
    """Which of two entries with one name is meant can't be known."""
    yield from _repeated('route', (route.name for route in parts.routes))
    yield from _repeated('service', (service.name for service in parts.services))
    yield from _repeated('account', (keys.account.name for keys in parts.accounts))


@_check
def _repeated_prefixes(parts: ConfigurationParts) -> Iterator[str]:
    """A request would be served by either route."""
    yield from _repeated('prefix', (f'{route.host}{route.prefix}' for route in parts.routes))


@_check
def _prefixes_without_slashes(parts: ConfigurationParts) -> Iterator[str]:
    """A prefix that ends within a name matches paths of other names."""
    for route in parts.routes:
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            yield f'prefix {route.prefix!r} of route {route.name!r} does not begin and end with a slash'


@_check
def _no_weight(parts: ConfigurationParts) -> Iterator[str]:
    """There is no service to choose."""
    for route in parts.routes:
        if not any(share.weight for share in route.shares):
            yield f'all weights of route {route.name!r} are 0'


def _repeated(kind: str, names: Iterable[str]) -> Iterator[str]:
    for name, count in Counter(names).items():
        if count > 1:
            yield f'{kind} {name!r} is listed {count} times'


__all__ = ('ConfigurationParts', 'find_complaints', 'summary')
