"""IPv4 addresses with a port."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """An IPv4 address and a port, in the form that the socket module takes."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``HOST:PORT``.

        Raises
        ------
        ValueError
            If the host is no IPv4 address, or the port isn't from 1 to 65535.
        """
        host, _, port = text.rpartition(':')
        if not (port.isascii() and port.isdecimal() and 1 <= int(port) <= MAX_PORT):
            raise ValueError(f'{text!r} has no port from 1 to {MAX_PORT}')
        return cls(str(IPv4Address(host)), int(port))

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f'{self.host}:{self.port}'


__all__ = ('Address',)
