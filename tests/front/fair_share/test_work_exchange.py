"""Messages between instances about the work of accounts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any
from unittest import TestCase

import msgspec
import trio

from sesamepoint_core.fair_share.fair_shares import FairShares
from sesamepoint_core.fair_share.work import WorkGroup
from sesamepoint.front.fair_share.account_shares import AccountShares
from sesamepoint.front.fair_share.work_exchange import MAX_BYTES_S, MAX_MESSAGE_BYTES, WorkExchange
from sesamepoint.front.fair_share.work_messages import AccountWorkMessage, message_of, report_of
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Sequence

GROUP = WorkGroup('llm', 2)
RUN_S = 40
# Age that figures may have with 350 instances, in seconds.
MAX_AGE_S = 16


class FakePeers:
    """Peers that record the messages to them."""

    def __init__(self, count: int) -> None:
        """Know ``count`` peers."""
        self.handlers: dict[type, Any] = {}
        self.sent_at: dict[str, list[float]] = {f'front-{number}': [] for number in range(2, count + 2)}
        self.messages: list[AccountWorkMessage] = []
        self.sent_bytes = 0

    def peer_names(self) -> list[str]:
        """Return the names of the peers."""
        return list(self.sent_at)

    async def send_to(self, names: Sequence[str], message: AccountWorkMessage) -> None:
        """Record a message."""
        self.messages.append(message)
        self.sent_bytes += len(names) * len(msgspec.msgpack.encode(message))
        for name in names:
            self.sent_at[name].append(trio.current_time())


class ExchangeTest(TestCase):
    """The exchange of messages."""

    @in_virtual_time
    async def test_bounded_rate(self) -> None:
        """Guards against messages that grow with the number of peers or accounts, and peers that get none for long."""
        for count in (4, 30, 349):
            with self.subTest(count=count):
                peers = await _run_exchange(count, 300, '')
                self.assertLessEqual(peers.sent_bytes / RUN_S, MAX_BYTES_S)
                self.assertLessEqual(max(map(_longest_gap_s, peers.sent_at.values())), MAX_AGE_S)

    @in_virtual_time
    async def test_valid_until_next(self) -> None:
        """Guards against figures that expire before the next message comes."""
        peers = await _run_exchange(349, 50, '')
        longest_s = max(map(_longest_gap_s, peers.sent_at.values()))
        self.assertGreaterEqual(peers.messages[-1].valid_ms / 1000, longest_s)

    @in_virtual_time
    async def test_long_names(self) -> None:
        """Guards against a message with long names that does not fit into one packet."""
        peers = await _run_exchange(4, 100, 'n' * 100)
        self.assertLessEqual(max(len(msgspec.msgpack.encode(one)) for one in peers.messages), MAX_MESSAGE_BYTES)
        accounts = sum(len(group.named) + group.unnamed.accounts for group in peers.messages[0].groups if group.unnamed)
        self.assertEqual(accounts, 100)

    @in_virtual_time
    async def test_silent_without_work(self) -> None:
        """Guards against messages while no account has work."""
        peers = await _run_exchange(4, 0, '')
        self.assertEqual(peers.messages, [])

    def test_round_trip(self) -> None:
        """Guards against figures that change on their way, and against an encoding that does not decode."""
        shares = FairShares('front-1', 7)
        for number in range(40):
            shares.note_offered(GROUP, f'a{number}', 1 + number, 0)
            shares.note_used(GROUP, f'a{number}', 1, 0)
        report = shares.next_report(2, 0)
        encoded = msgspec.msgpack.encode(message_of(report))
        decoded = report_of(msgspec.msgpack.decode(encoded, type=AccountWorkMessage))
        self.assertEqual(decoded, report)

    def test_false_figures(self) -> None:
        """Guards against a message whose figures are out of bounds."""
        message = message_of(FairShares('front-1', 7).next_report(2, 0))
        fields = msgspec.to_builtins(message)
        fields[4] = -1
        with self.assertRaises(msgspec.ValidationError):
            msgspec.convert(fields, AccountWorkMessage)


async def _run_exchange(peer_count: int, accounts: int, name: str) -> FakePeers:
    peers = FakePeers(peer_count)
    account_shares = AccountShares(FairShares('front-1', 1))
    account_shares.active = True
    exchange = WorkExchange(account_shares, peers)  # type: ignore[arg-type]
    with trio.move_on_after(RUN_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(exchange.run)
            while True:
                for number in range(accounts):
                    account_shares.shares.note_offered(GROUP, f'account{number}{name}', 0.1, trio.current_time())
                await trio.sleep(5)
    return peers


def _longest_gap_s(times: Sequence[float]) -> float:
    return max((after - before for before, after in zip(times, times[1:], strict=False)), default=math.inf)
