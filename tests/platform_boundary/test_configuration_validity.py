"""Which configurations are valid, field by field; docs/PROMISES.md gives the reason for each."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any
from unittest import TestCase

import msgspec

from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.unreadable_record import InvalidConfigurationError
from tests.front.builders import HOST, account, configuration, route

if TYPE_CHECKING:
    from sesamepoint_core.serving.routes import Configuration

    _Accounts = list[dict[str, Any]]

VERSION = 7
EXTRA = MappingProxyType(route('extra', '/extra/', 'web', 'idempotent'))
WEIGHTLESS = ({'service': 'web', 'weight': 0}, {'service': 'llm', 'weight': 0})
INVALID_ROUTES = (
    {'service': 'nowhere'},
    {'backends': [{'service': 'web', 'weight': 1}, {'service': 'nowhere', 'weight': 1}]},
    {'name': 'card'},
    {'path_prefix': '/card/'},
    {'path_prefix': '/card/', 'host': HOST.upper()},
    {'path_prefix': 'extra/'},
    {'path_prefix': '/extra'},
    {'kind': 'sideways'},
    {'backends': WEIGHTLESS},
    {'service': None},
    {'host': ''},
    {'timeout_ms': 0},
    {'priority': -1},
    {'max_attempts': 0},
)
VALID_ROUTES: tuple[dict[str, Any], ...] = (
    {'path_prefix': '/'},
    {'path_prefix': '/card/deeper/'},
    {'path_prefix': '/card/', 'host': 'other.example'},
    {'backends': [{'service': 'web', 'weight': 0}, {'service': 'llm', 'weight': 1}]},
    {'backends': []},
    {
        'backends': None,
        'target_latency_ms': None,
        'gap_aim_ms': None,
        'max_attempts': None,
        'priority': None,
        'resumable': None,
        'public': None,
    },
)
INVALID_ACCOUNTS = (
    [account('harbor', 'key1'), account('marina', 'key1')],
    [account('harbor', 'key1'), account('harbor', 'key2')],
    [account('harbor', '')],
    [account('har\nbor', 'key1')],
    [account(' harbor', 'key1')],
    [account('harbor\x7f', 'key1')],
    [account('harbor', 'key1', priority=-1)],
)
VALID_ACCOUNTS: tuple[_Accounts, ...] = (
    [],
    [account('harbor')],
    [account('harbor', 'key1', 'key1'), account('marina', 'key2')],
    [account('hafen münchen', 'key1'), account('港', 'key2')],
    [account('harbor', 'key1', priority=None)],
)


def _with_route(changes: dict[str, Any]) -> dict[str, Any]:
    document = configuration(VERSION)
    return {**document, 'routes': [*document['routes'], {**EXTRA, **changes}]}


def _decode(document: dict[str, Any]) -> Configuration:
    return decode_configuration(msgspec.json.encode(document))


class ConfigurationValidityTest(TestCase):
    """Invalid configurations are refused as a whole, and valid ones taken, also odd ones."""

    def test_invalid_routes(self) -> None:
        """Guards against a version that sends requests nowhere, or to either of two routes, and is in force."""
        for changes in INVALID_ROUTES:
            self._check_refused(_with_route(changes))

    def test_invalid_services(self) -> None:
        """Guards against a service of which it isn't known which of two entries holds."""
        document = configuration(VERSION)
        self._check_refused({**document, 'services': [*document['services'], document['services'][0]]})
        self._check_refused({**document, 'services': []})

    def test_invalid_accounts(self) -> None:
        """Guards against a key or a name of which it isn't known whose it is, or that no header can carry."""
        for accounts in INVALID_ACCOUNTS:
            self._check_refused(configuration(VERSION, tenants=accounts))

    def test_valid_routes(self) -> None:
        """Guards against a sound version that never comes into force."""
        for changes in VALID_ROUTES:
            cfg = _decode(_with_route(changes))
            self.assertEqual(sum(map(len, cfg.routes.values())), 5, changes)

    def test_valid_accounts(self) -> None:
        """Guards against a sound list of keys that never comes into force."""
        for accounts in VALID_ACCOUNTS:
            self.assertIsNotNone(_decode(configuration(VERSION, tenants=accounts)).accounts, accounts)

    def test_no_routes(self) -> None:
        """Guards against routes that go on after the operator has removed all of them."""
        self.assertEqual(_decode(configuration(VERSION, routes=[], services=[])).routes, {})

    def test_absent_fields(self) -> None:
        """Guards against a route without optional fields that is served in another way than by their defaults."""
        document = configuration(VERSION)
        needed = ('name', 'host', 'path_prefix', 'kind', 'service', 'timeout_ms')
        short = {name: EXTRA[name] for name in needed}
        found = _decode({**document, 'routes': [short]}).find(HOST, '/extra/a')
        assert found is not None
        self.assertEqual((found.repeat, found.max_attempts, found.priority), (RepeatPolicy.freely, 1, 0))

    def test_all_complaints(self) -> None:
        """Guards against a line that names one of many faults, so that the next version is refused for another."""
        document = _with_route({'service': 'nowhere', 'name': 'card', 'path_prefix': '/card'})
        cause = self._check_refused(document).cause
        for part in ('nowhere', "'card' is listed 2 times", "'/card'"):
            self.assertIn(part, cause)

    def test_many_complaints(self) -> None:
        """Guards against a line as long as the configuration."""
        document = configuration(VERSION)
        routes = [{**EXTRA, 'name': f'r{number}', 'path_prefix': f'{number}'} for number in range(1000)]
        cause = self._check_refused({**document, 'routes': routes}).cause
        self.assertLess(len(cause), 2000)
        self.assertIn('990 more', cause)

    def _check_refused(self, document: dict[str, Any]) -> InvalidConfigurationError:
        refusal = _refusal(document)
        assert refusal is not None, document
        self.assertEqual(refusal.version, VERSION)
        return refusal


def _refusal(document: dict[str, Any]) -> InvalidConfigurationError | None:
    try:
        _decode(document)
    except InvalidConfigurationError as exc:
        return exc
    return None
