"""Content ids, by which retries of one request are recognized."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint.front.quarantine.content_id import content_id
from sesamepoint.front.requests.request import FrontRequest
from sesamepoint.platform.headers import decode_request
from sesamepoint.http1.server import ReceivedRequest
from tests.front.builders import new_prompt_request


def received_request(caller: str = '10.2.0.1', arrived_at: float = 0, **changes: object) -> FrontRequest:
    """Return a decoded request with a new request id."""
    parts = changes.pop('parts', (('s1', 90), ('own', 300)))
    request = new_prompt_request('/tag/a')._replace(parts=parts, **changes)  # type: ignore[arg-type]
    return decode_request(ReceivedRequest(request.head, request.body, arrived_at, caller))


class ContentIdTest(TestCase):
    """Requests that have the same content id, and requests that differ."""

    def test_retry_has_same_content_id(self) -> None:
        """A caller's retry has a new request id, may come from another address and has less time left."""
        first, retry = received_request(), received_request(caller='10.2.0.9', arrived_at=4, deadline_s=1.5)
        self.assertNotEqual(first.request_id, retry.request_id)
        self.assertEqual(content_id(first), content_id(retry))

    def test_different_requests(self) -> None:
        """Guards against different requests that get the same content id."""
        others = (
            received_request(body=b'{"q": 1}'),
            received_request(path='/tag/b'),
            received_request(path='/tag/a?x'),
            received_request(method='PUT'),
            received_request(host='other.example'),
            received_request(parts=(('s1', 90), ('another', 300))),
        )
        ids = {content_id(req) for req in (received_request(), *others)}
        self.assertEqual(len(ids), 1 + len(others))
