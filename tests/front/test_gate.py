"""The last check before a send, for every kind of send and every condition that blocks one."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

import sesamepoint
from sesamepoint.front.gate import CONDITIONS, Gate, SendKind
from sesamepoint.front.member import CALLS_BESIDES
from tests.front.gate_bed import CLOSES, SENDS, bed
from tests.front.silent_network import CONNECT_S
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint.front.gate import Passage
    from tests.front.gate_bed import Close, Send

# The only module that connects to runners; its connections run the check before they send.
POOL = 'front/pool.py'
# These conditions depend on a caller's request, and don't block maintenance calls.
OF_REQUESTS = frozenset(('suspect',))
# These connect to the store, to the receiver of usage reports and to peers, not to runners.
ELSEWHERE = frozenset(('platform/store.py', 'front/duty.py', 'front/peer_configuration.py'))


class GateTest(TestCase):
    """No send reaches a runner without the check."""

    def test_all_kinds_and_conditions_are_tried(self) -> None:
        """Guards against a kind of send, or a condition, that these tests don't cover."""
        self.assertEqual(SENDS.keys(), set(SendKind))
        self.assertEqual(CLOSES.keys(), set(CONDITIONS))

    def test_connections_come_from_the_pool(self) -> None:
        """Guards against a new kind of send over a connection that skips the check."""
        root = Path(sesamepoint.__file__).parent
        modules = {
            path.relative_to(root).as_posix() for path in root.rglob('*.py') if 'ClientConn(' in path.read_text('utf-8')
        }
        self.assertEqual(modules, {POOL, *ELSEWHERE})

    @virtual
    async def test_open(self) -> None:
        """Guards against a test bench on which every send is blocked."""
        for kind, send in SENDS.items():
            with self.subTest(kind=kind):
                bench = bed()
                await send(bench)
                self.assertNotEqual(bench.network.transport.sent, b'')

    @virtual
    async def test_closed_while_connecting(self) -> None:
        """Guards against sends to a runner whose status has changed since it was chosen."""
        for kind, send in SENDS.items():
            for condition, trigger in CLOSES.items():
                with self.subTest(kind=kind, condition=condition):
                    concerned = condition not in OF_REQUESTS or kind not in CALLS_BESIDES
                    self.assertEqual(await _sent(send, trigger) == b'', concerned)

    @virtual
    async def test_twin_that_asks_at_the_choice_only(self) -> None:
        """Without the last check, a send goes out although its runner has begun to drain since the choice."""
        with patch.object(Gate, 'closed_by', _open):
            for kind, send in SENDS.items():
                with self.subTest(kind=kind):
                    self.assertNotEqual(await _sent(send, CLOSES['leaving']), b'')


def _open(self: Gate, passage: Passage) -> str:
    return ''


async def _sent(send: Send, close: Close) -> bytes:
    bench = bed()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bench)
        await trio.sleep(CONNECT_S / 2)
        close(bench)
    return bench.network.transport.sent
