"""Answers of the store with entries and numbers that no reader expects."""

from __future__ import annotations

from contextlib import suppress
from unittest import TestCase

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.serving.address import Address
from sesamepoint.front.store.hedged_reads import HedgedReads, StoreClients
from sesamepoint.platform.store import HistoryGoneError, StoreClient
from sesamepoint.platform.store_location import StoreLocation
from tests.front.odd_values.odd_documents import huge, nested
from tests.platform_boundary.scripted_network import ENDS, FRAMINGS, ScriptedNetwork, ScriptedResponse
from tests.virtual_time import in_virtual_time

ADDRESS = Address('10.0.0.1', 80)
SOUND = '{"key": "k", "value": "dGV4dA==", "offset": 4}'
ODD_ENTRIES = (
    '{"key": "odd", "value": "dGV4dA=", "offset": 4}',
    '{"key": "odd", "value": "\u00e9", "offset": 4}',
    '{"key": 7, "value": "dGV4dA==", "offset": 4}',
    f'{{"key": {nested(30)}, "value": "dGV4dA=="}}',
    '{"key": "odd", "value": null}',
    '{"key": "odd"}',
    'null',
    '[]',
    huge(400),
)
ENDLESS_CALL_S = 60
# A refusal comes with the round trip, in seconds.
AT_ONCE_S = 0.1


def _store(body: str, headers: bytes = b'') -> StoreClient:
    raw = body.encode()
    response = ScriptedResponse(FRAMINGS[0], ENDS[0], raw, len(raw), headers=headers)
    return StoreClient(StoreLocation(ADDRESS), ScriptedNetwork(response))


def _page(entries: str, end: str = '5', *, has_more: bool = False) -> str:
    return f'{{"items": [{entries}], "has_more": {str(has_more).lower()}, "end": {end}}}'


class OddStoreAnswersTest(TestCase):
    """What is sound in an answer is used, and what is not is an error of the call."""

    @in_virtual_time
    async def test_sound_entries_beside_odd_one(self) -> None:
        """Guards against one entry that hides all others of its page."""
        for odd in ODD_ENTRIES:
            found = await _store(_page(f'{odd}, {SOUND}')).read_newest('keyed.x')
            self.assertEqual([record.key for record in found.records if record.key != 'odd'], ['k'], odd)

    @in_virtual_time
    async def test_page_leads_no_further(self) -> None:
        """Guards against a list that is read for ever, since each page says that more follow."""
        for entries in (SOUND, ODD_ENTRIES[-1]):
            with trio.fail_after(ENDLESS_CALL_S), self.assertRaises(PlatformUnavailableError, msg=entries):
                await _store(_page(entries, has_more=True)).read_newest('keyed.x')

    @in_virtual_time
    async def test_end_out_of_range(self) -> None:
        """Guards against an end of the log that no message to peers can carry."""
        for end in (huge(13), huge(30), huge(400), huge(5000), '-1', 'null', nested(100)):
            with self.assertRaises(PlatformUnavailableError, msg=end[:20]):
                await _store(_page(SOUND, end)).read_newest('keyed.x')

    @in_virtual_time
    async def test_epoch_out_of_range(self) -> None:
        """Guards against an epoch that ends the task which reads it."""
        for epoch in (huge(7), huge(400), huge(5000), '-1', 'x'):
            with self.assertRaises(PlatformUnavailableError, msg=epoch[:20]):
                await _store(_page(SOUND), b'store-era: %b\r\n' % epoch.encode()).read_newest('keyed.x')


class ServedCallsTest(TestCase):
    """Which responses show that the store serves calls."""

    @in_virtual_time
    async def test_statuses(self) -> None:
        """Guards against a response that counts as none, since its caller can't use it."""
        for status in (200, 400, 403, 404, 409, 410, 412, 507):
            self.assertEqual(await _answers_noted(status), 1, status)
        for status in (429, 500, 502, 503, 504):
            self.assertEqual(await _answers_noted(status), 0, status)

    @in_virtual_time
    async def test_epoch_of_short_read(self) -> None:
        """Guards against an epoch that only the short read beside a held one has seen, and that nobody acts on."""
        announced: list[int] = []
        location = StoreLocation(ADDRESS)
        location.epoch.newest = 3
        location.epoch.on_newer = announced.append
        body = _page(SOUND).encode()
        response = ScriptedResponse(FRAMINGS[0], ENDS[0], body, len(body), headers=b'store-era: 4\r\n')
        short = StoreClient(location, ScriptedNetwork(response))
        held, lists = (StoreClient(location, ScriptedNetwork(response)) for _ in range(2))
        reads = HedgedReads(StoreClients(held, short, lists), 'keyed.x', 1)
        await short.read_newest('keyed.x')
        self.assertEqual((reads.epoch.newest, announced), (4, [4]))

    @in_virtual_time
    async def test_refused_read_fails_at_once(self) -> None:
        """Guards against a poll that goes on after the store has refused it, so that its return is known later."""
        response = ScriptedResponse(FRAMINGS[0], ENDS[0], b'', 0, status=503)
        clients = (StoreClient(StoreLocation(ADDRESS), ScriptedNetwork(response)) for _ in range(3))
        reads = HedgedReads(StoreClients(*clients), 'keyed.x', 1)
        began_at = trio.current_time()
        with self.assertRaises(PlatformUnavailableError):
            await reads.follow('keyed.x', 0, 0, list_instead=True)
        self.assertLess(trio.current_time() - began_at, AT_ONCE_S)

    @in_virtual_time
    async def test_older_epoch(self) -> None:
        """Guards against a response from before a restore that ends an outage."""
        self.assertEqual(await _answers_noted(200, known_epoch=5), 0)


async def _answers_noted(status: int, known_epoch: int = 0) -> int:
    """Return how often a call that gets a response with ``status`` and epoch 4 shows that the store serves."""
    noted: list[int] = []
    location = StoreLocation(ADDRESS)
    location.epoch.newest = known_epoch
    location.on_answered = lambda: noted.append(status)
    body = _page(SOUND).encode()
    response = ScriptedResponse(FRAMINGS[0], ENDS[0], body, len(body), headers=b'store-era: 4\r\n', status=status)
    with suppress(PlatformUnavailableError, HistoryGoneError):
        await StoreClient(location, ScriptedNetwork(response)).read_newest('keyed.x')
    return len(noted)
