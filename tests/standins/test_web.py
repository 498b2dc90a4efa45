"""The stand-ins' HTTP faces."""

from __future__ import annotations

from typing import Any
from unittest import TestCase

import trio

from sesamepoint_standins.engine import Engine
from sesamepoint_standins.web import EngineApp


def post(app: EngineApp, path: str, body: bytes) -> int:
    """Call an application and return the status."""
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        await trio.lowlevel.checkpoint()
        return {'type': 'http.request', 'body': body}

    async def send(message: dict[str, Any]) -> None:
        await trio.lowlevel.checkpoint()
        sent.append(message)

    scope = {'type': 'http', 'method': 'POST', 'path': path, 'query_string': b''}
    trio.run(app, scope, receive, send)
    status: int = sent[0]['status']
    return status


class EngineAppTest(TestCase):
    """Orders over HTTP."""

    def test_order_over_http(self) -> None:
        # The demo's role changes were all refused: the body of an order was
        # decoded as a type that JSON objects do not fit, so every order over
        # sockets failed while those in memory worked.
        engine = Engine('mixed', checks_fencing=True)
        self.assertEqual(post(EngineApp(engine), '/orders', b'{"role": "decode", "fence": 5}'), 200)
        self.assertEqual(engine.orders, [('decode', 5)])

    def test_order_with_old_fence(self) -> None:
        engine = Engine('mixed', checks_fencing=True)
        engine.fence = 9
        self.assertEqual(post(EngineApp(engine), '/orders', b'{"role": "decode", "fence": 5}'), 409)
        self.assertEqual(engine.orders, [])
