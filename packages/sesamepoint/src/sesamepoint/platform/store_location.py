"""Where the platform's store is, for all clients of a process; the settings may name another address."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.platform.store_epoch import StoreEpoch

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sesamepoint_core.serving.address import Address


class StoreLocation:
    """The address of the store, and the newest epoch that it has sent from there."""

    def __init__(self, address: Address) -> None:
        """Start at ``address``."""
        self.address = address
        self.epoch = StoreEpoch()
        # Number of changes of the address so far.
        self.moves = 0
        # Called after each response that shows that the store serves calls.
        self.on_answered: Callable[[], None] = _do_nothing
        self._calls: set[trio.CancelScope] = set()

    def move(self, address: Address) -> None:
        """Call the store at ``address`` from now on, and end the calls to the address before."""
        self.address = address
        self.moves += 1
        # Epochs of two stores are not comparable: that of another store may be lower.
        self.epoch.newest = 0
        for scope in self._calls:
            scope.cancel()

    @contextmanager
    def call(self) -> Iterator[None]:
        """Run a call, and end it if the address changes meanwhile.

        Raises
        ------
        PlatformUnavailableError
            If the address has changed, also if the answer came before that: it is of the store of before.
        """
        moves = self.moves
        with trio.CancelScope() as scope:
            self._calls.add(scope)
            try:
                yield
            finally:
                self._calls.discard(scope)
        self.check(moves)

    def check(self, moves: int) -> None:
        """Check that the address has not changed since there were so many changes.

        Raises
        ------
        PlatformUnavailableError
            If it has.
        """
        if moves != self.moves:
            raise PlatformUnavailableError('store', 'its address has changed meanwhile')


def _do_nothing() -> None:
    """Do nothing."""


__all__ = ('StoreLocation',)
