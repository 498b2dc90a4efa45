"""Content ids, by which retries of one request are recognized."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint.front.content import content_id
from sesamepoint.front.request import FrontRequest
from sesamepoint.platform.headers import decode_request
from sesamepoint.http1.server import Message
from tests.front.builders import asked_prompt


def arrived(caller: str = '10.2.0.1', at: float = 0, **changes: object) -> FrontRequest:
    """Return a decoded request with a new request id."""
    parts = changes.pop('parts', (('s1', 90), ('own', 300)))
    request = asked_prompt('/tag/a')._replace(parts=parts, **changes)  # type: ignore[arg-type]
    return decode_request(Message(request.head, request.body, at, caller))


class ContentIdTest(TestCase):
    """Requests that have the same content id, and requests that differ."""

    def test_same_request_under_another_id(self) -> None:
        """A caller's retry has a new request id, may come from another address and has less time left."""
        first, retry = arrived(), arrived(caller='10.2.0.9', at=4, deadline_s=1.5)
        self.assertNotEqual(first.request_id, retry.request_id)
        self.assertEqual(content_id(first), content_id(retry))

    def test_other_requests(self) -> None:
        """Guards against different requests that get the same content id."""
        others = (
            arrived(body=b'{"q": 1}'),
            arrived(path='/tag/b'),
            arrived(path='/tag/a?x'),
            arrived(method='PUT'),
            arrived(host='other.example'),
            arrived(parts=(('s1', 90), ('another', 300))),
        )
        ids = {content_id(req) for req in (arrived(), *others)}
        self.assertEqual(len(ids), 1 + len(others))
