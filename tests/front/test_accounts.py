"""API keys of client accounts: authentication, changes of keys, secrecy of keys, validation of the list."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any
from unittest import TestCase

import msgspec
import trio
from prometheus_client import generate_latest

from sesamepoint.http1.messages import header
from sesamepoint.platform import names
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.unreadable import UnreadableRecordError
from sesamepoint_standins.platform.bed import running_bed
from tests.front.builders import account, asked, asked_prompt, bearer, configuration, engine, fleet, plain_runner, route
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Asked, Seen
    from sesamepoint_standins.platform.runner import RunnerStandIn

IN_FORCE_S = 1.0
SECRET = 'k3yOfHarborOne77'
HARBOR = account('harbor', SECRET, 'k3yOfHarborTwo88')
MARINA = account('marina', 'k3yOfMarina99')
# Header with the name of another account, which callers must not be able to set.
FORGED = (names.ACCOUNT, b'marina')


def _with(*accounts: dict[str, Any], version: int = 1, **changes: Any) -> dict[str, Any]:
    return configuration(version, tenants=list(accounts), **changes)


def _account_at(runner: RunnerStandIn) -> list[bytes | None]:
    """Return the account named in each request that ``runner`` ran, or None where none was named."""
    return [header(run.message.head.headers, names.ACCOUNT) for run in runner.runs]


class Asking:
    """A request in progress, and its answer once there is one."""

    def __init__(self, bed: PlatformBed, asked_for: Asked, nursery: trio.Nursery) -> None:
        """Send the request to the first instance."""
        self.seen: list[Seen] = []
        nursery.start_soon(self._ask, bed, asked_for)

    async def _ask(self, bed: PlatformBed, asked_for: Asked) -> None:
        self.seen.append(await bed.caller('front-1').ask(asked_for))


class LinesKept(logging.Handler):
    """Log handler that records all log lines with all their fields."""

    def __init__(self) -> None:
        """Record lines of all levels."""
        super().__init__(logging.DEBUG)
        self.text = ''

    def emit(self, record: logging.LogRecord) -> None:
        """Record a line."""
        self.text += repr(record.__dict__)


class KeyTest(TestCase):
    """Authentication by API keys."""

    @virtual
    async def test_known_key_names_its_account(self) -> None:
        """Guard against runners that get the key, or an account name that the caller set."""
        runners = fleet()
        async with running_bed(_with(HARBOR, MARINA), runners) as bench:
            headers = (bearer(SECRET), FORGED)
            plain = [asked(path, extra=headers) for path in ('/card/a', '/thumb/a')]
            prompts = [asked_prompt(path, tokens=4000, extra=headers) for path in ('/tag/a', '/verdict/a')]
            for one in (*plain, *prompts):
                answer = await bench.caller('front-1').ask(one)
                self.assertEqual(answer.status, 200)
        received = [name for runner in runners for name in _account_at(runner)]
        self.assertGreaterEqual(len(received), 4)
        self.assertEqual(set(received), {b'harbor'})
        seen_headers = [run.message.head.headers for runner in runners for run in runner.runs]
        self.assertEqual({header(run_headers, names.AUTHORIZATION) for run_headers in seen_headers}, {None})

    @virtual
    async def test_keys_that_are_nobodys_are_denied_at_once(self) -> None:
        """Guard against requests with an unknown, missing, malformed or repeated key that run or wait."""
        rejected = (
            (),
            (bearer('nobodys'),),
            ((b'authorization', b'Bearer'),),
            (bearer('two words'),),
            (bearer('x' * 8192),),
            (bearer(SECRET.lower()),),
            ((b'authorization', f'Basic {SECRET}'.encode()),),
            ((b'authorization', SECRET.encode()),),
            (bearer(SECRET), bearer(SECRET)),
        )
        runners = fleet()
        async with running_bed(_with(HARBOR), runners) as bench:
            for extra in rejected:
                answer = await bench.caller('front-1').ask(asked('/card/a', extra=extra))
                self.assertEqual(answer.status, 401, extra)
                self.assertLess(answer.took_s, 0.02)
        self.assertEqual([runner.runs for runner in runners], [[], [], [], [], []])

    @virtual
    async def test_scheme_in_other_case_is_the_same_scheme(self) -> None:
        """Guard against denials because of the case of the scheme; only keys are case-sensitive."""
        async with running_bed(_with(HARBOR), fleet()) as bench:
            extra = ((b'authorization', f'bEARER {SECRET}'.encode()),)
            answer = await bench.caller('front-1').ask(asked('/card/a', extra=extra))
        self.assertEqual(answer.status, 200)

    @virtual
    async def test_public_route_needs_no_key(self) -> None:
        """Guard against denials on public routes, and against runners that get keys or account names set by callers."""
        routes = [route('thumb', '/thumb/', 'web', 'idempotent', public=True)]
        runner = plain_runner(1)
        async with running_bed(_with(HARBOR, routes=routes), [runner]) as bench:
            for extra in ((), (bearer('nobodys'),), (FORGED,)):
                answer = await bench.caller('front-1').ask(asked('/thumb/a', extra=extra))
                self.assertEqual(answer.status, 200)
        self.assertEqual(_account_at(runner), [None, None, None])
        self.assertEqual({header(run.message.head.headers, names.AUTHORIZATION) for run in runner.runs}, {None})

    @virtual
    async def test_without_accounts_nothing_is_asked(self) -> None:
        """Guard against denials of callers without keys where the configuration lists no accounts."""
        async with running_bed(configuration(), fleet()) as bench:
            answer = await bench.caller('front-1').ask(asked('/card/a'))
        self.assertEqual(answer.status, 200)

    @virtual
    async def test_account_goes_before_route_in_rank(self) -> None:
        """Guard against engines that get the priority of the route where the account has one of its own."""
        runners = [engine(1, 'decode')]
        ranked = account('marina', 'k3yOfMarina99', priority=3)
        async with running_bed(_with(HARBOR, ranked), runners) as bench:
            for key in (SECRET, 'k3yOfMarina99'):
                await bench.caller('front-1').ask(asked_prompt('/verdict/a', extra=(bearer(key),)))
        ranks = [header(run.message.head.headers, names.PRIORITY) for run in runners[0].runs]
        self.assertEqual(ranks, [b'1', b'3'])


class ChangeTest(TestCase):
    """Keys that are added, moved and revoked."""

    @virtual
    async def test_changes_on_a_kept_connection(self) -> None:
        """Guard against instances that keep applying old keys to connections opened before a change."""
        runner = plain_runner(1)
        async with running_bed(_with(HARBOR, MARINA), [runner], fronts=3) as bench:
            callers = [bench.caller(name) for name in bench.fronts]
            key_moved = account('marina', 'k3yOfMarina99', SECRET)
            steps = ((2, key_moved, 200), (3, MARINA, 401), (4, HARBOR, 200))
            for version, listed, status in steps:
                bench.publish(_with(listed, version=version))
                await trio.sleep(IN_FORCE_S)
                for caller in callers:
                    answer = await caller.ask(asked('/card/a', extra=(bearer(SECRET),)))
                    self.assertEqual(answer.status, status)
        self.assertEqual(_account_at(runner), [b'marina', b'marina', b'marina', b'harbor', b'harbor', b'harbor'])

    @virtual
    async def test_older_list_never_comes_back(self) -> None:
        """Guard against revoked keys that work again because the store returns an older configuration."""
        async with running_bed(_with(HARBOR, version=5), [plain_runner(1)]) as bench:
            bench.publish(_with(MARINA, version=6))
            await trio.sleep(IN_FORCE_S)
            bench.publish(_with(HARBOR, version=5))
            await trio.sleep(IN_FORCE_S)
            answer = await bench.caller('front-1').ask(asked('/card/a', extra=(bearer(SECRET),)))
        self.assertEqual(answer.status, 401)

    @virtual
    async def test_key_taken_while_its_request_waits(self) -> None:
        """Guard against a request that runs although its key was revoked while it waited in the queue.

        Its long prompt waits behind others for a busy engine when the operator removes the account.
        """
        runners = [engine(1, 'decode')]
        async with running_bed(_with(HARBOR, MARINA), runners) as bench, trio.open_nursery() as nursery:
            for number in range(40):
                earlier = asked_prompt(
                    '/verdict/a', tokens=9000, shared=(f's{number}', 9000), extra=(bearer('k3yOfMarina99'),)
                )
                nursery.start_soon(bench.caller('front-1').ask, earlier)
            await trio.sleep(0.05)
            queued = asked_prompt('/tag/a', tokens=3000, extra=(bearer(SECRET),))
            pending = Asking(bench, queued, nursery)
            await trio.sleep(0.01)
            waits = not pending.seen
            bench.publish(_with(MARINA, version=2))
            await trio.sleep(IN_FORCE_S)
            nursery.cancel_scope.cancel()
        self.assertTrue(waits)
        self.assertEqual([answer.status for answer in pending.seen], [401])
        self.assertNotIn(b'harbor', _account_at(runners[0]))

    @virtual
    async def test_key_taken_while_its_request_runs(self) -> None:
        """Guard against a running request that is broken off because its key is revoked."""
        runner = plain_runner(1, work_s=0.8)
        async with running_bed(_with(HARBOR), [runner]) as bench, trio.open_nursery() as nursery:
            pending = Asking(bench, asked('/card/a', extra=(bearer(SECRET),)), nursery)
            await trio.sleep(0.1)
            bench.publish(_with(MARINA, version=2))
        self.assertEqual([answer.status for answer in pending.seen], [200])

    @virtual
    async def test_unconfigured_instance_denies_nobody(self) -> None:
        """Guard against 401 from an instance that has no configuration yet; it must answer 503."""
        async with running_bed(_with(HARBOR), [plain_runner(1)]) as bench:
            bench.store.down = True
            bench.add_front(2)
            answer = await bench.caller('front-2').ask(asked('/card/a', extra=(bearer('nobodys'),), deadline_s=1.0))
        self.assertEqual(answer.status, 503)


class SecretTest(TestCase):
    """Secrecy of keys."""

    @virtual
    async def test_no_output_holds_a_key(self) -> None:
        """Guard against keys in log lines, metrics or messages to peers after denied, failed and served requests."""
        recorder = LinesKept()
        logger = logging.getLogger('sesamepoint')
        logger.addHandler(recorder)
        try:
            text = await _text_of_run()
        finally:
            logger.removeHandler(recorder)
        text += recorder.text
        self.assertIn('harbor', text)
        self.assertIn('unknown_key', text)
        self.assertNotIn(SECRET, text)


async def _text_of_run() -> str:
    """Return the metrics, configurations and messages to peers of a run, as text."""
    runners = fleet()
    runners[1].faults.fails = True
    requests = (('/card/a', SECRET), ('/thumb/a', SECRET), ('/card/b', f'{SECRET}x'), ('/x', SECRET))
    async with running_bed(_with(HARBOR), runners, fronts=2) as bench:
        for path, key in requests:
            await bench.caller('front-1').ask(asked(path, extra=(bearer(key),)))
            await bench.caller('front-2').ask(asked(path, extra=(bearer(key),)))
        bench.publish(_with(HARBOR, account('marina', SECRET), version=2))
        bench.publish(_with(account('marina', f'{SECRET}2'), version=3))
        await trio.sleep(IN_FORCE_S)
        pages = [generate_latest(one.dispatcher.metrics.registry).decode() for one in bench.fronts.values()]
        configurations = [repr(one.dispatcher.configuration) for one in bench.fronts.values()]
        return repr((pages, configurations, bench.network.datagrams))


class ListTest(TestCase):
    """Validation of the operator's list of accounts."""

    def test_refused_lists(self) -> None:
        """Guard against lists with a key of two accounts, an empty key, or a name that is no header value.

        They must be rejected by a message without keys.
        """
        lists = (
            [HARBOR, account('marina', SECRET)],
            [account('harbor', SECRET, '')],
            [account('har\r\nbor', SECRET)],
            [account('', SECRET)],
        )
        for accounts in lists:
            self.assertNotIn(SECRET, _refusal(accounts))

    def test_accepted_lists(self) -> None:
        """Guard against the rejection of accounts without keys, keys listed twice in one account, and 10,000 keys."""
        many = [account(f'a{number}', *(f'key{number}x{place}' for place in range(5))) for number in range(2000)]
        for accounts in ([account('harbor')], [account('harbor', SECRET, SECRET)], many):
            cfg = decode_configuration(msgspec.json.encode(_with(*accounts)))
            self.assertIsNotNone(cfg.accounts)


def _refusal(accounts: list[dict[str, Any]]) -> str:
    """Return the message with which a list is rejected."""
    try:
        decode_configuration(msgspec.json.encode(_with(*accounts)))
    except UnreadableRecordError as exc:
        return str(exc)
    raise AssertionError('the list was accepted')
