"""Load of all kinds of requests at each instance of a bench."""

from __future__ import annotations

from itertools import cycle
from typing import TYPE_CHECKING

import trio

from tests.front.builders import new_prompt_request, new_request

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import RequestSpec

REQUEST_PAUSE_S = 0.05
LONG_PROMPT_TOKENS = 3000
SHORT_PROMPT_TOKENS = 300


async def send_load(bench: PlatformBench, nursery: trio.Nursery) -> None:
    """Send a request to each instance after each pause, of each kind in turn, until cancelled."""
    paths = cycle(('/card/a', '/tag/a', '/thumb/a', '/verdict/a'))
    while True:
        await trio.sleep(REQUEST_PAUSE_S)
        req = _new_request(next(paths))
        for name in tuple(bench.fronts):
            nursery.start_soon(bench.new_caller(name).send, req._replace(request_id=f'{name}-{req.request_id}'))


def _new_request(path: str) -> RequestSpec:
    if path in {'/card/a', '/thumb/a'}:
        return new_request(path)
    return new_prompt_request(path, LONG_PROMPT_TOKENS if path == '/verdict/a' else SHORT_PROMPT_TOKENS)


__all__ = ('send_load',)
