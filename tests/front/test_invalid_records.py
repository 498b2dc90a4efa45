"""Invalid store records and datagrams, written by no runner, operator or instance of this system."""

from __future__ import annotations

from typing import Any
from unittest import TestCase

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
from sesamepoint_core.crash_attribution.evidence import PartEnd
from sesamepoint_core.crash_attribution.part_quarantine import PartVerdict
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint_core.serving.prompt import Part
from sesamepoint.front.engines.engine_sends import Send, SendUpdate
from sesamepoint.front.front import Front
from sesamepoint.front.peering.peer_messages import RunnerEnd, SuspectUpdate
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.runner_registration import decode_runner
from sesamepoint.platform.unreadable_record import UnreadableRecordError
from sesamepoint.platform.wire_names import INSTANCE_TOPIC, OPERATOR_KEY, OPERATOR_TOPIC, QUARANTINE_TOPIC, RUNNER_TOPIC
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, encoded_configuration, fleet, new_request, registration
from tests.virtual_time import in_virtual_time

# A registration that lacks one of these fields is invalid.
REQUIRED_FIELDS = ('service', 'address', 'zone', 'version', 'slots', 'state', 'cold_remaining_ms', 'sequence')
INVALID_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
    st.just('ready '),
    st.just('64'),
    st.floats(max_value=-0.5, allow_nan=False, allow_infinity=False),
)
INVALID_FIELDS: tuple[dict[str, Any], ...] = (
    {'service': []},
    {'service': ''},
    {'address': '10.4.0.1'},
    {'address': '10.4.0.1:0'},
    {'address': '10.4.0.1:65536'},
    {'address': 'engine.example:80'},
    {'zone': 7},
    {'slots': '64'},
    {'slots': 0},
    {'slots': 64.5},
    {'slots': True},
    {'state': 7},
    {'state': 'gone'},
    {'stage': 'both'},
    {'stage': None},
    {'sequence': '4'},
    {'cold_remaining_ms': -1},
    {'version': 1},
    {'born': '1700000000000'},
    {'born': 1.5},
    {'born': 0},
    {'born': 10**14},
)


def is_unreadable(text: bytes) -> bool:
    """Tell whether a registration is refused as unreadable."""
    try:
        decode_runner('i-1', text)
    except UnreadableRecordError:
        return True
    return False


class RegistrationTest(TestCase):
    """Registrations with a missing or invalid field are refused."""

    def test_registration_decoded(self) -> None:
        runner = decode_runner('i-1', msgspec.json.encode(registration()))
        self.assertEqual((runner.slots, runner.born_ms), (24, 1_700_000_000_000))

    def test_field_missing(self) -> None:
        """Guards against a registration that is accepted without a required field."""
        for name in REQUIRED_FIELDS:
            incomplete = {key: field_value for key, field_value in registration().items() if key != name}
            self.assertTrue(is_unreadable(msgspec.json.encode(incomplete)), name)

    def test_field_wrong(self) -> None:
        """Guards against a registration that is accepted with a field of the wrong type or out of range."""
        for changes in INVALID_FIELDS:
            self.assertTrue(is_unreadable(msgspec.json.encode(registration(**changes))), changes)

    @given(st.sampled_from(REQUIRED_FIELDS), INVALID_VALUES)
    @settings(derandomize=True, max_examples=300)
    def test_field_of_any_type(self, name: str, invalid_value: Any) -> None:
        """Values of any invalid type are refused; any string is valid as a service, zone or version."""
        changed = msgspec.json.encode(registration(**{name: invalid_value}))
        if name in {'service', 'zone', 'version'} and isinstance(invalid_value, str):
            return
        self.assertTrue(is_unreadable(changed))

    @given(st.data())
    @settings(derandomize=True, max_examples=300)
    def test_record_truncated(self, draws: st.DataObject) -> None:
        """Guards against a truncated registration that is accepted."""
        text = msgspec.json.encode(registration())
        end = draws.draw(st.integers(0, len(text) - 1))
        self.assertTrue(is_unreadable(text[:end]))

    @given(st.binary(max_size=200))
    @settings(derandomize=True, max_examples=300)
    def test_record_binary(self, text: bytes) -> None:
        """Guards against arbitrary bytes that are accepted as a registration."""
        self.assertTrue(is_unreadable(text))


class ConfigurationTest(TestCase):
    """A configuration that does not decode is refused as a whole, never applied in part."""

    @given(st.data())
    @settings(derandomize=True, max_examples=200)
    def test_configuration_field_replaced(self, draws: st.DataObject) -> None:
        """Guards against a configuration that is accepted with an invalid value in any field."""
        document = configuration()
        row = draws.draw(st.sampled_from([document, document['limits'], *document['routes'], *document['services']]))
        row[draws.draw(st.sampled_from(sorted(row)))] = draws.draw(INVALID_VALUES)
        try:
            decode_configuration(msgspec.json.encode(document))
        except UnreadableRecordError:
            return
        # A replaced field is accepted only if it may be null or any text.
        self.assertTrue(
            any(field_value is None or isinstance(field_value, str | bool) for field_value in _field_values(document))
        )

    @given(st.binary(max_size=200))
    @settings(derandomize=True, max_examples=200)
    def test_configuration_binary(self, text: bytes) -> None:
        """Guards against arbitrary bytes that are accepted as a configuration."""
        with self.assertRaises(UnreadableRecordError):
            decode_configuration(text)

    def test_route_names_no_service(self) -> None:
        """Guards against a configuration that is accepted with a route without a service."""
        document = configuration()
        document['routes'][0].pop('service')
        with self.assertRaises(UnreadableRecordError):
            decode_configuration(msgspec.json.encode(document))


class InvalidRecordsInStoreTest(TestCase):
    """Invalid records in the store: serving goes on, and valid records stay in force."""

    @in_virtual_time
    async def test_invalid_registrations(self) -> None:
        """Guards against requests that are sent to, or fail because of, invalid registrations.

        They are written under new keys and over the record of a runner. The
        other runners serve all callers.
        """
        async with open_bench(configuration(), fleet()) as bench:
            for number, changes in enumerate(INVALID_FIELDS):
                bench.store.put(RUNNER_TOPIC, f'i-foreign{number}', registration(**{'service': 'web', **changes}))
            bench.store.put_raw(RUNNER_TOPIC, 'i-web1', b'\xff\x00{')
            await trio.sleep(2)
            members = bench.fronts['front-1'].fleet.members
            self.assertEqual([key for key in members if 'foreign' in key], [])
            await self._check_served(bench)
            self.assertEqual(bench.runners['i-web1'].runs, [])

    @in_virtual_time
    async def test_invalid_instances_and_configuration(self) -> None:
        """Invalid bytes under an instance's name and under the operator's key are logged and ignored."""
        async with open_bench(configuration(), fleet()) as bench:
            front = bench.fronts['front-1']
            texts = [b'\xff', b'no address', b'10.1.0.9:x', b'[]']
            for number, text in enumerate(texts):
                bench.store.put_raw(INSTANCE_TOPIC, f'entry-{number}', text)
            bench.store.put_raw(OPERATOR_TOPIC, OPERATOR_KEY, encoded_configuration()[:-9])
            await trio.sleep(2)
            self.assertEqual(front.peers.count(), 1)
            await self._check_served(bench)

    async def _check_served(self, bench: PlatformBench) -> None:
        for _ in range(20):
            seen = await bench.new_caller('front-1').send(new_request('/thumb/a'))
            self.assertEqual(seen.status, 200)


class DatagramTest(TestCase):
    """Invalid datagrams on the port for messages from peers."""

    @in_virtual_time
    async def test_invalid_datagrams(self) -> None:
        """Guards against invalid messages about sends: truncated, foreign, or with figures out of range.

        If accepted, an hour of prefill or a start time in the far future
        would make an engine unused for that long.
        """
        good = SendUpdate('front-2', (Send(1, 'i-llm2', 0.5, 9000, (Part('a', 9000),)),), ())
        sends = [good.sends[0]._replace(prefill_s=seconds) for seconds in (-1.0, 1e9, float('nan'))]
        sends += [good.sends[0]._replace(tokens=-5), good.sends[0]._replace(born_ms=10**15)]
        sends += [good.sends[0]._replace(blocks=(Part('a', -9000),))]
        datagrams = [msgspec.msgpack.encode(msgspec.structs.replace(good, sends=(send,))) for send in sends]
        raw = msgspec.msgpack.encode(good)
        async with open_bench(configuration(), fleet()) as bench:
            front = bench.fronts['front-1']
            for datagram in (*datagrams, *(raw[:end] for end in range(len(raw))), b'GET / HTTP/1.1\r\n\r\n'):
                front.peers.on_datagram(datagram)
            member = front.fleet.members['i-llm2']
            self.assertEqual(member.load.streams(trio.current_time()), 0)
            self.assertEqual(member.cache.blocks, ())
            front.peers.on_datagram(raw)
            self.assertEqual(member.load.streams(trio.current_time()), 1)

    @in_virtual_time
    async def test_invalid_suspect_updates(self) -> None:
        """Guards against requests that become suspect by truncated messages, or by rows with an invalid name or end."""
        good = SuspectUpdate(
            'front-2',
            ends=(RunnerEnd('c1', Incarnation('i-1')), RunnerEnd('c1', Incarnation('i-2'))),
            quarantined=('c2',),
        )
        wrong = (
            RunnerEnd('', Incarnation('i-1')),
            RunnerEnd('c' * 1000, Incarnation('i-1')),
            RunnerEnd('c1', Incarnation('i-1', -1)),
        )
        datagrams = [msgspec.msgpack.encode(msgspec.structs.replace(good, ends=(row,))) for row in wrong]
        raw = msgspec.msgpack.encode(good)
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            front = bench.fronts['front-1']
            suspects = suspects_of(front)
            await trio.sleep(2)
            for datagram in (*datagrams, *(raw[:end] for end in range(len(raw)))):
                front.peers.on_datagram(datagram)
            self.assertEqual(suspects.all_suspect(), ())
            front.peers.on_datagram(msgspec.msgpack.encode(msgspec.structs.replace(good, entry='nobody')))
            self.assertEqual(suspects.all_suspect(), ())
            front.peers.on_datagram(raw)
            self.assertEqual((suspects.all_suspect(), suspects.all_quarantined()), (('c1',), ('c2',)))

    @in_virtual_time
    async def test_invalid_part_updates(self) -> None:
        """Guards against parts that become suspect or harmful by truncated messages, or by rows with invalid names."""
        end = PartEnd('p1', 50, Incarnation('i-1'), 'llm/m/v1')
        good = SuspectUpdate('front-2', part_ends=(end,), harmful_parts=(PartVerdict('p2', ends=(end,)),))
        wrong_ends = (end._replace(key=''), end._replace(key='k' * 1000), end._replace(tokens=-1))
        wrong_verdicts = (
            PartVerdict('p2', trials=-1),
            PartVerdict('p2', group=('a',) * 100),
            PartVerdict('p2', ends=(end,) * 100),
        )
        datagrams = [
            *(msgspec.msgpack.encode(msgspec.structs.replace(good, part_ends=(row,))) for row in wrong_ends),
            *(msgspec.msgpack.encode(msgspec.structs.replace(good, harmful_parts=(row,))) for row in wrong_verdicts),
        ]
        raw = msgspec.msgpack.encode(good)
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            front = bench.fronts['front-1']
            suspects = suspects_of(front)
            await trio.sleep(2)
            for datagram in (*datagrams, *(raw[:size] for size in range(len(raw)))):
                front.peers.on_datagram(datagram)
            self.assertEqual((suspects.parts.all_suspect(), suspects.part_quarantine.all_verdicts()), ((), ()))
            front.peers.on_datagram(raw)
            self.assertIn('p2', suspects.part_quarantine)

    @in_virtual_time
    async def test_invalid_part_records(self) -> None:
        """Guards against a quarantine by a record that can't be read, or that is of another part than its key says."""
        async with open_bench(configuration(), fleet()) as bench:
            for number, text in enumerate((b'\xff', b'{}', b'[]', b'["p0", -1]', b'["another"]')):
                bench.store.put_raw(QUARANTINE_TOPIC, f'part:p{number}', text)
            bench.store.put_raw(QUARANTINE_TOPIC, 'part:known', b'["known"]')
            await trio.sleep(20)
            verdicts = suspects_of(bench.fronts['front-1']).part_quarantine.all_verdicts()
            self.assertEqual([verdict.key for verdict in verdicts], ['known'])

    @in_virtual_time
    async def test_invalid_quarantine_records(self) -> None:
        """Guards against a quarantine by a record that lists no runner ends."""
        async with open_bench(configuration(), fleet()) as bench:
            for number, text in enumerate((b'\xff', b'{}', b'[]', b'[["i-1"]', b'[[""]]')):
                bench.store.put_raw(QUARANTINE_TOPIC, f'c{number}', text)
            bench.store.put_raw(QUARANTINE_TOPIC, 'known', b'[["i-1",0]]')
            await trio.sleep(20)
            self.assertEqual(suspects_of(bench.fronts['front-1']).all_quarantined(), ('known',))


def suspects_of(front: Front) -> CrashSuspects:
    """Return the suspect and quarantined requests and parts that a front knows."""
    return front.peers._quarantine.suspects


def _field_values(document: dict[str, Any]) -> list[Any]:
    rows = [document, document['limits'], *document['routes'], *document['services']]
    return [field_value for row in rows if isinstance(row, dict) for field_value in row.values()]
