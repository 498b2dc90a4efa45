"""The last check before a send, for every kind of send and every condition that blocks one."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

import sesamepoint
from sesamepoint.front.runners.fleet_member import MAINTENANCE_CALLS
from sesamepoint.front.runners.send_check import BLOCK_CONDITIONS, SendCheck, SendKind
from tests.front.send_check_bench import SEND_CALLS, new_bench
from tests.front.send_check_triggers import BLOCK_TRIGGERS
from tests.front.silent_network import CONNECT_DELAY_S
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint.front.runners.send_check import PendingSend
    from tests.front.send_check_bench import SendCall
    from tests.front.send_check_triggers import BlockTrigger

# The only module that connects to runners; its connections run the check before they send.
POOL_MODULE = 'front/runners/connection_pool.py'
# These conditions depend on a caller's request, and don't block maintenance calls.
REQUEST_CONDITIONS = frozenset(('suspect', 'origin'))
# These connect to the store, to the receiver of usage reports and to peers, not to runners.
NON_RUNNER_CLIENTS = frozenset(
    ('platform/store.py', 'front/accounts/report_call.py', 'front/store/peer_configuration.py')
)


class SendCheckTest(TestCase):
    """No send reaches a runner without the check."""

    def test_all_kinds_and_conditions_covered(self) -> None:
        """Guards against a kind of send, or a condition, that these tests don't cover."""
        self.assertEqual(SEND_CALLS.keys(), set(SendKind))
        self.assertEqual(BLOCK_TRIGGERS.keys(), set(BLOCK_CONDITIONS))

    def test_connections_come_from_the_pool(self) -> None:
        """Guards against a new kind of send over a connection that skips the check."""
        root = Path(sesamepoint.__file__).parent
        modules = {
            path.relative_to(root).as_posix() for path in root.rglob('*.py') if 'ClientConn(' in path.read_text('utf-8')
        }
        self.assertEqual(modules, {POOL_MODULE, *NON_RUNNER_CLIENTS})

    @in_virtual_time
    async def test_not_blocked(self) -> None:
        """Guards against a test bench on which every send is blocked."""
        for kind, send in SEND_CALLS.items():
            with self.subTest(kind=kind):
                bench = new_bench()
                await send(bench)
                self.assertNotEqual(bench.network.transport.sent, b'')

    @in_virtual_time
    async def test_blocked_while_connecting(self) -> None:
        """Guards against sends to a runner whose status has changed since it was chosen."""
        for kind, send in SEND_CALLS.items():
            for condition, trigger in BLOCK_TRIGGERS.items():
                with self.subTest(kind=kind, condition=condition):
                    concerned = condition not in REQUEST_CONDITIONS or kind not in MAINTENANCE_CALLS
                    # The health page of a returned runner shows whether it serves.
                    concerned = concerned and (condition, kind) != ('unconfirmed', SendKind.health_call)
                    self.assertEqual(await _bytes_sent(send, trigger) == b'', concerned)

    @in_virtual_time
    async def test_faulty_variant_checks_at_choice_only(self) -> None:
        """Without the last check, a send goes out although its runner has begun to drain since the choice."""
        with patch.object(SendCheck, 'blocked_by', _never_blocked):
            for kind, send in SEND_CALLS.items():
                with self.subTest(kind=kind):
                    self.assertNotEqual(await _bytes_sent(send, BLOCK_TRIGGERS['leaving']), b'')


def _never_blocked(self: SendCheck, pending_send: PendingSend) -> str:
    return ''


async def _bytes_sent(send: SendCall, trigger: BlockTrigger) -> bytes:
    bench = new_bench()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bench)
        await trio.sleep(CONNECT_DELAY_S / 2)
        trigger(bench)
    return bench.network.transport.sent
