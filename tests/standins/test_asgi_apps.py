"""Tests of the ASGI applications of the stand-ins."""

from __future__ import annotations

from typing import Any
from unittest import TestCase

import trio

from sesamepoint_standins.asgi_apps import EngineApp
from sesamepoint_standins.engine import Engine


def post(app: EngineApp, path: str, body: bytes) -> int:
    """Send a POST request to an application and return the status."""
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
    """Orders of role changes over HTTP."""

    def test_order_over_http(self) -> None:
        # Guards against refusing every order over sockets, as in the demo, while
        # orders in memory work: the body was decoded as a type that does not
        # accept JSON objects.
        engine = Engine('mixed', checks_fencing=True)
        self.assertEqual(post(EngineApp(engine), '/orders', b'{"role": "decode", "fence": 5}'), 200)
        self.assertEqual(engine.orders, [('decode', 5)])

    def test_order_with_old_fence(self) -> None:
        engine = Engine('mixed', checks_fencing=True)
        engine.fence = 9
        self.assertEqual(post(EngineApp(engine), '/orders', b'{"role": "decode", "fence": 5}'), 409)
        self.assertEqual(engine.orders, [])
