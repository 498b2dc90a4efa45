"""Documents of the platform, runners and peers with one odd value anywhere: decoded or refused, and by one error."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint_core.crash_attribution.part_quarantine import PartVerdict
from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.duty.lease import LeaseRecord
from sesamepoint_core.duty.report_schedule import Report
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint.front.engines.prefill import _HandleReply
from sesamepoint.http1.documents import decode_document
from sesamepoint.http1.messages import ConnBrokenError, ReceivedBody
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.engine_cache_calls import _CachedBlocksReply
from sesamepoint.platform.runner_registration import decode_runner
from sesamepoint.platform.unreadable_record import UnreadableRecordError
from tests.front.builders import account, configuration, registration
from tests.front.odd_values.odd_documents import odd_texts

MARK = 'odd value'
MAX_S = 1.0
Reader = Callable[[bytes], object]


def _document_reader(document_type: type) -> Reader:
    return lambda text: decode_document(ReceivedBody(text, Framing.length, ReadEnd.last_byte), document_type)


def _json_reader(document_type: Any) -> Reader:
    return lambda text: decode_json(text, document_type)


# Each reader of documents, and a sound one.
READERS: Mapping[str, tuple[Reader, Any]] = MappingProxyType(
    {
        'registration': (lambda text: decode_runner('i-1', text), registration()),
        'configuration': (decode_configuration, configuration(tenants=[account('a', 'k', priority=3)])),
        'inventory': (_document_reader(_CachedBlocksReply), {'held': [['', 'a1', 90, 'm']], 'born': 7}),
        'handle': (_document_reader(_HandleReply), {'kv_handle': 'h1', 'tokens': 1, 'version': 1}),
        'quarantine': (_json_reader(tuple[Incarnation, ...]), [['i-1', 0]]),
        'part': (_json_reader(PartVerdict), ['p1', [], 0, 0, []]),
        'lease': (_json_reader(LeaseRecord), {'holder': 'front-1', 'fence': 1, 'epoch': 0}),
        'usage': (_json_reader(Report), {'window': 1}),
    }
)
ERRORS = (UndecodableError, UnreadableRecordError, ConnBrokenError)


def _paths(document: Any) -> Iterator[tuple[Any, ...]]:
    """Yield the ways to all values of a document, itself among them, and to a new field of each object."""
    yield ()
    if isinstance(document, dict):
        yield ('unknown',)
    for key in _keys(document):
        yield from ((key, *path) for path in _paths(document[key]))


def _keys(document: Any) -> Iterable[Any]:
    if isinstance(document, list):
        return range(len(document))
    return document if isinstance(document, dict) else ()


def _with_odd_value(document: Any, path: tuple[Any, ...], text: str) -> bytes:
    changed = {'': json.loads(json.dumps(document))}
    owner: Any = changed
    for step, following in zip(('', *path), path, strict=False):
        owner = owner[step]
        last = following
    owner[last if path else ''] = MARK
    return json.dumps(changed['']).replace(f'"{MARK}"', text).encode()


class OddDocumentsTest(TestCase):
    """Readers of documents, each over a sound one with one odd value."""

    @given(st.data())
    @settings(derandomize=True, max_examples=1500, deadline=None)
    def test_one_odd_value(self, draws: st.DataObject) -> None:
        """Guards against an error that the callers of a reader don't catch, and time that grows with a value."""
        name = draws.draw(st.sampled_from(sorted(READERS)))
        reader, sound = READERS[name]
        path = draws.draw(st.sampled_from(list(_paths(sound))))
        text = draws.draw(st.sampled_from(list(odd_texts())))
        document = _with_odd_value(sound, path, text)
        began = time.process_time()
        try:
            reader(document)
        except ERRORS as exc:
            self.assertLess(len(str(exc)), 500, name)
        self.assertLess(time.process_time() - began, MAX_S, (name, path, text[:20]))

    def test_sound_documents(self) -> None:
        """Guards against readers that refuse everything."""
        for name in ('registration', 'configuration', 'inventory', 'handle', 'quarantine'):
            reader, sound = READERS[name]
            self.assertTrue(reader(json.dumps(sound).encode()), name)
