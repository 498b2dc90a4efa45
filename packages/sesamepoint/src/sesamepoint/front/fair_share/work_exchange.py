"""Exchange of the work of accounts with peers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.fair_share.work_report import MAX_NAMED
from sesamepoint import events
from sesamepoint.front.fair_share.work_messages import AccountWorkMessage, message_of, report_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint.front.fair_share.account_shares import AccountShares
    from sesamepoint.front.peering.peers import Peers

ValueOf = Callable[[], float]
Gauge = tuple[str, str, ValueOf]

# Interval between two messages, in seconds.
SEND_INTERVAL_S = 0.5
# Peers that one message goes to, in rotation.
MAX_RECEIVERS = 16
# Bytes a second that an instance sends, whatever the number of peers, and the bytes that a
# datagram takes on the link besides its message.
MAX_BYTES_S = 8000
DATAGRAM_OVERHEAD = 28
# A longer message might not fit into one packet.
MAX_MESSAGE_BYTES = 1200


class WorkExchange:
    """Sends the work of accounts to peers in rotation, and takes their messages."""

    def __init__(self, account_shares: AccountShares, peers: Peers) -> None:
        """Report what ``account_shares`` counts to ``peers``."""
        self._account_shares = account_shares
        self._shares = account_shares.shares
        self._peers = peers
        self._sent_to: dict[str, int] = {}
        self._rounds = 0
        peers.handlers[AccountWorkMessage] = self.on_message

    def on_message(self, message: AccountWorkMessage) -> None:
        """Take the work of the accounts at a peer, unless a later message has come before."""
        if not self._shares.on_report(report_of(message), trio.current_time()):
            events.log_event(
                events.WORK_REPORT_IGNORED,
                peer=message.entry,
                incarnation=message.incarnation,
                number=message.number,
            )

    async def run(self) -> None:
        """Send messages until cancelled, while there is work of accounts."""
        while True:
            await trio.sleep(SEND_INTERVAL_S)
            names = self._peers.peer_names()
            self._account_shares.instances = len(names) + 1
            self._shares.peers.keep_only(names)
            self._shares.meter.prune(trio.current_time())
            if names and self._account_shares.active and self._shares.meter.count():
                await self._send_round(names)

    def watch(self, add_gauge: Callable[[str, str, ValueOf], None]) -> None:
        """Add the gauges of the fair shares."""
        shares = self._shares
        gauges: tuple[Gauge, ...] = (
            ('accounts_above_share', 'Accounts that use more than their share.', self._account_shares.count_above),
            ('accounts_with_work', 'Accounts with recent work here, by service and priority.', shares.meter.count),
            ('work_reports', 'Peers whose report on the work of accounts is known.', shares.peers.count),
        )
        for name, text, value_of in gauges:
            add_gauge(f'sesamepoint_{name}', text, value_of)

    async def _send_round(self, names: Sequence[str]) -> None:
        self._rounds += 1
        message = self._next_message(len(names))
        receivers = self._next_receivers(names, _receivers_in_budget(message))
        await self._peers.send_to(receivers, message)

    def _next_message(self, peers: int) -> AccountWorkMessage:
        """Return a message that fits into one packet; long names leave room for fewer rows."""
        max_named = MAX_NAMED
        while True:
            report = self._shares.next_report(0, trio.current_time(), max_named)
            message = message_of(report)
            if len(msgspec.msgpack.encode(message)) <= MAX_MESSAGE_BYTES or not max_named:
                break
            max_named //= 2
        rounds = math.ceil(peers / _receivers_in_budget(message))
        return message_of(report._replace(valid_s=SEND_INTERVAL_S * (rounds + 1)))

    def _next_receivers(self, names: Sequence[str], count: int) -> list[str]:
        """Return the peers that have not been sent a message for longest."""
        self._sent_to = {name: self._sent_to.get(name, 0) for name in names}
        receivers = sorted(names, key=self._sent_to.__getitem__)[:count]
        self._sent_to.update((name, self._rounds) for name in receivers)
        return receivers


def _receivers_in_budget(message: AccountWorkMessage) -> int:
    size = len(msgspec.msgpack.encode(message)) + DATAGRAM_OVERHEAD
    return max(1, min(MAX_RECEIVERS, int(MAX_BYTES_S * SEND_INTERVAL_S // size)))


__all__ = ('WorkExchange',)
