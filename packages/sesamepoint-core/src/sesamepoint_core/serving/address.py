"""Where an instance listens."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """An IPv4 address and a port; fits where the socket module wants one."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read ``HOST:PORT``.

        Raises
        ------
        ValueError
            If the port is missing or no number.
        """
        host, _, port = text.rpartition(':')
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f'{self.host}:{self.port}'


__all__ = ('Address',)
