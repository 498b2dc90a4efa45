"""Configurations with one number far beyond its use, which an operator writes for "no limit"."""

from __future__ import annotations

import json
from itertools import count
from typing import TYPE_CHECKING, Any
from unittest import TestCase

import msgspec
import trio

from sesamepoint_core.decoding import decode_msgpack
from sesamepoint.front.peering.peer_messages import VersionMessage
from sesamepoint.platform.wire_names import OPERATOR_KEY, OPERATOR_TOPIC
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, new_prompt_request, new_request
from tests.front.odd_values.odd_documents import huge, nested
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint_standins.platform.bench import PlatformBench

NUMBERS = (huge(20), huge(400), huge(5000), '1e300', '4294967296', nested(1000))
APPLY_S = 0.7
MARK = 'odd value'


def _odd_configurations() -> Iterator[tuple[str, bytes]]:
    """Yield configurations with one odd number each, by a description."""
    versions = count(2)
    for path in _number_paths(configuration()):
        for text in NUMBERS:
            document = configuration(version=next(versions))
            owner: Any = document
            for key in path[:-1]:
                owner = owner[key]
            owner[path[-1]] = MARK
            yield f'{path} {len(text)}:{text[:8]}', json.dumps(document).replace(f'"{MARK}"', text).encode()


def _number_paths(document: Any) -> Iterator[tuple[Any, ...]]:
    """Yield the ways to the numbers of a document, those of the first of each kind of entry, and to a new field."""
    yield ('unknown',)
    for name in ('timeout_ms', 'target_latency_ms', 'priority', 'max_attempts', 'gap_aim_ms'):
        yield from (('routes', index, name) for index, _ in enumerate(document['routes']))
    for name in ('slots', 'kv_tokens', 'kv_bytes', 'link_mbps'):
        yield ('services', 0, 'engine', name)
    for name in document['limits']:
        yield ('limits', name)
    yield ('services', 0, 'max_conns')
    yield ('services', 1, 'max_conns')


class OddConfigurationTest(TestCase):
    """Requests of each kind are answered whatever number a configuration holds."""

    @in_virtual_time
    async def test_requests_answered_under_odd_numbers(self) -> None:
        """Guards against requests that end without an answer since a configured number is more than a float holds."""
        async with open_bench(configuration(), fleet()) as bench:
            for label, text in _odd_configurations():
                bench.store.put_raw(OPERATOR_TOPIC, OPERATOR_KEY, text)
                await trio.sleep(APPLY_S)
                await self._check_answered(bench, label)

    @in_virtual_time
    async def test_version_beyond_counters(self) -> None:
        """Guards against a version that no message between instances can carry, and that hides all later ones."""
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            document = json.dumps(configuration(version=2)).replace('"version": 2', f'"version": {huge(30)}')
            bench.store.put_raw(OPERATOR_TOPIC, OPERATOR_KEY, document.encode())
            await trio.sleep(APPLY_S)
            bench.publish(configuration(version=3))
            await trio.sleep(2 * APPLY_S)
            for front in bench.fronts.values():
                self.assertEqual(front.dispatcher.configuration and front.dispatcher.configuration.version, 3)

    def test_version_of_microseconds(self) -> None:
        """Guards against peers that refuse the messages of a configuration whose version is a time."""
        message = VersionMessage('front-2', 1_790_000_000_000_000)
        self.assertEqual(decode_msgpack(msgspec.msgpack.encode(message), VersionMessage), message)

    async def _check_answered(self, bench: PlatformBench, label: str) -> None:
        for req in (new_request('/thumb/a'), new_prompt_request('/tag/a'), new_prompt_request('/verdict/a', 9000)):
            answer = await bench.new_caller('front-1').send(req)
            self.assertEqual(answer.status, 200, f'{label} {req.head.target!r}')
