"""A caller that does not read its answer for a time, and a bench with small windows and bounds."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

import trio

from sesamepoint_core.instance_room.limits import InstanceLimits
from sesamepoint.front.instance_room.memory_room import MemoryRoom
from sesamepoint.http1.client import ClientConn, accept_any
from sesamepoint.http1.messages import ConnBrokenError
from sesamepoint_standins.platform.caller import seems_whole, with_lf
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, engine, new_prompt_request

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sesamepoint_core.instance_room.memory_bounds import MemoryBounds
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint.http1.messages import ReceivedBody
    from sesamepoint_standins.platform.caller import RequestSpec

SLOW_HOST = '10.2.0.66'
FRONT_HOST = '10.1.0.1'
# Small, so that answers of some kilobytes fill them.
WINDOW_BYTES = 200
MEMORY_LIMIT = InstanceLimits(memory_bytes=160e6)


class ReadAnswer(NamedTuple):
    """Body that a caller has read, and whether the answer ended."""

    body: bytes
    complete: bool


@asynccontextmanager
async def slow_reader_bench(
    bounds: MemoryBounds | None, limits: InstanceLimits = MEMORY_LIMIT
) -> AsyncIterator[PlatformBench]:
    """Run a bench with one front and fixed bounds on held bytes, if any; its slow callers have small windows."""
    runners = [engine(1, 'prefill'), engine(2, 'decode')]
    # The bounds of a test do not depend on the size of the test process.
    with patch.object(MemoryRoom, 'measure'):
        async with open_bench(configuration(), runners, limits=limits) as bench:
            if bounds is not None:
                bench.fronts['front-1'].room.memory.bounds = bounds
            bench.network.windows.update({SLOW_HOST: WINDOW_BYTES, FRONT_HOST: WINDOW_BYTES})
            yield bench


def long_answer(output: int = 60) -> RequestSpec:
    """Return a request whose answer has about 28 bytes for each of ``output`` events."""
    return new_prompt_request('/verdict/a', output=output, deadline_s=5.0)


async def read_after(bench: PlatformBench, req: RequestSpec, idle_s: float) -> ReadAnswer:
    """Send ``req``, read nothing for ``idle_s`` seconds, then read all of the answer."""
    network = bench.network.for_host(SLOW_HOST)
    conn = ClientConn(await network.connect(bench.fronts['front-1'].cfg.listen, 1.0))
    try:
        received = await _receive(conn, req, idle_s)
    except ConnBrokenError:
        return ReadAnswer(b'', complete=False)
    finally:
        conn.close()
    return ReadAnswer(with_lf(received.payload), complete=seems_whole(received.framing, received.read_end))


async def _receive(conn: ClientConn, req: RequestSpec, idle_s: float) -> ReceivedBody:
    await conn.send(conn.start_request(req.head, req.body))
    await trio.sleep(idle_s)
    await conn.read_head(accept_any)
    return await conn.read_body()


__all__ = ('FRONT_HOST', 'SLOW_HOST', 'ReadAnswer', 'long_answer', 'read_after', 'slow_reader_bench')
