"""Responses that are read here and break off, under each framing and at each byte.

A report of a runner that was cut by the close of its connection did not decode, which was taken for the page of a
service that has no report: the runner's start went unchecked.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import TestCase

import msgspec

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.serving.address import Address
from sesamepoint.front.store import peer_configuration
from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnBrokenError, RequestHead
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.engine_cache_calls import list_cached_blocks
from sesamepoint.platform.health_call import call_health_page
from sesamepoint.platform.runner_report import read_start_ms
from sesamepoint.platform.store import HistoryGoneError, StoreClient
from sesamepoint.platform.store_location import StoreLocation
from sesamepoint.platform.usage_reports import report_usage
from tests.front.builders import encoded_configuration, registered_engine
from tests.platform_boundary.scripted_network import (
    ENDS,
    FRAMINGS,
    ScriptedNetwork,
    ScriptedResponse,
    ScriptedTransport,
    all_breaks,
)
from tests.virtual_time import in_virtual_time

ADDRESS = Address('10.0.0.1', 80)
REPORT = msgspec.json.encode({'stage': 'decode', 'running': 3, 'born': 1_700_000_000_000})
CACHED_BLOCKS = msgspec.json.encode({'held': [['', 'a1', 90, 'm'], ['', 'b2', 40, 'm']], 'born': 7})
NEWEST = msgspec.json.encode({'items': [{'key': 'k', 'value': 'dGV4dA==', 'offset': 4}], 'has_more': False, 'end': 5})
CONFIGURATION = msgspec.msgpack.encode(decode_configuration(encoded_configuration()))
GONE = 410
PRECONDITION_FAILED = 412

# A reader that is given a scripted response.
Reader = Callable[[ScriptedResponse], Awaitable[Any]]


class BrokenDocumentsTest(TestCase):
    """What readers make of responses that break off: the whole document, or a typed error."""

    @in_virtual_time
    async def test_runner_report(self) -> None:
        """Guards against a report that is cut and counts as one without a start."""
        await self._check(REPORT, _report_reader)

    @in_virtual_time
    async def test_cached_blocks(self) -> None:
        """Guards against a cut list of what an engine has in its cache."""
        await self._check(CACHED_BLOCKS, _blocks_reader)

    @in_virtual_time
    async def test_configuration_of_peer(self) -> None:
        """Guards against a cut configuration of another instance that comes into force."""
        await self._check(CONFIGURATION, _configuration_reader)

    @in_virtual_time
    async def test_newest_records(self) -> None:
        """Guards against a cut page of the store's newest records."""
        await self._check(NEWEST, _newest_reader)

    @in_virtual_time
    async def test_followed_records(self) -> None:
        """Guards against records that are skipped because a response ended between two of them."""
        log = _log_page(b'\x01atext one', b'\x01btext two')
        for response in all_breaks(log):
            try:
                page = await _store(response).follow('keyed.x', 3, 0)
            except PlatformUnavailableError:
                continue
            # The next read starts after the records that came.
            self.assertEqual(page.end, 3 + len(page.records), response)
            self.assertEqual([record.key for record in page.records], ['a', 'b'][: len(page.records)], response)

    @in_virtual_time
    async def test_health_page(self) -> None:
        """Guards against a runner that is reported healthy by a page which it could not finish."""
        for response in all_breaks(b'sound'):
            if response.sent < len(response.body) and not _believed(response):
                with self.assertRaises(ConnBrokenError, msg=str(response)):
                    await call_health_page(_conn(response), registered_engine(), '/healthz')

    @in_virtual_time
    async def test_status_of_append(self) -> None:
        """Guards against an append that counts as lost because the body of its acknowledgement broke off."""
        for status, appended in ((200, True), (PRECONDITION_FAILED, False)):
            for response in all_breaks(b'{"offset":4,"end":5}'):
                found = await _store(response._replace(status=status)).put_if_at('keyed.x', 'a', b'text', 4)
                self.assertEqual(found is not None, appended, response)

    @in_virtual_time
    async def test_status_of_missing_history(self) -> None:
        """Guards against a store that counts as away because the body of its refusal broke off."""
        for response in all_breaks(b'{"first":9}'):
            with self.assertRaises(HistoryGoneError, msg=str(response)):
                await _store(response._replace(status=GONE)).follow('keyed.x', 3, 0)

    @in_virtual_time
    async def test_status_of_usage_report(self) -> None:
        """Guards against usage that is reported again because the body of its acknowledgement broke off."""
        for response in all_breaks(b'{}'):
            status = await report_usage(_conn(response), ADDRESS, 'front-1', 1, b'{}')
            self.assertEqual(status, response.status, response)

    async def _check(self, body: bytes, read: Reader) -> None:
        expected = await read(ScriptedResponse(FRAMINGS[0], ENDS[0], body, len(body)))
        for response in all_breaks(body):
            try:
                found = await read(response)
            except (ConnBrokenError, PlatformUnavailableError):
                self.assertFalse(_is_whole(response), f'{response} is whole')
                continue
            self.assertEqual(found, expected, response)


def _is_whole(response: ScriptedResponse) -> bool:
    return response.sent == len(response.body) and (response.framing is not FRAMINGS[2] or response.read_end is ENDS[0])


def _believed(response: ScriptedResponse) -> bool:
    """Tell whether nothing tells that a page is cut."""
    return response.framing is FRAMINGS[2] and response.read_end is ENDS[0]


def _conn(response: ScriptedResponse) -> ClientConn:
    return ClientConn(ScriptedTransport(response))


def _store(response: ScriptedResponse) -> StoreClient:
    return StoreClient(StoreLocation(ADDRESS), ScriptedNetwork(response))


async def _report_reader(response: ScriptedResponse) -> object:
    return await read_start_ms(_conn(response), ADDRESS)


async def _blocks_reader(response: ScriptedResponse) -> object:
    return await list_cached_blocks(_conn(response), ADDRESS)


async def _configuration_reader(response: ScriptedResponse) -> object:
    reply, body = await _conn(response).exchange(RequestHead(b'GET', b'/configuration', ((b'host', b'x'),)))
    return peer_configuration._decode(reply, body)


async def _newest_reader(response: ScriptedResponse) -> object:
    return await _store(response).read_newest('keyed.x')


def _log_page(*records: bytes) -> bytes:
    framed = b''.join(struct.pack('>I', len(record)) + record for record in records)
    return struct.pack('>QQ', 5, 0) + framed
