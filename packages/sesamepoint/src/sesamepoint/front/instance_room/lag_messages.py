"""Message of a lagging instance to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, Protocol

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MAX_LAG_MS = 3_600_000
LagMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAG_MS)]


class LagMessage(msgspec.Struct, frozen=True, array_like=True, tag='lag'):
    """The sender lags: a request takes this long there until its first send."""

    entry: str
    lag_ms: LagMs


class PeerExchange(Protocol):
    """Exchange of messages with the other instances."""

    name: str
    handlers: dict[type, Callable[[Any], None]]

    def peer_names(self) -> list[str]:
        """Return the names of the peers."""

    async def send_to(self, names: Sequence[str], message: LagMessage) -> None:
        """Send a message to the peers called ``names``."""


__all__ = ('LagMessage', 'PeerExchange')
