"""The settings of a front process, whatever file they came from."""

from __future__ import annotations

from typing import NamedTuple

from sesamepoint_core.serving.address import Address


class StoreSettings(NamedTuple):
    """Where the platform's store is."""

    address: Address


class DutySettings(NamedTuple):
    """What is reported on the use of client accounts, and where.

    Parameters
    ----------
    address
        Takes the reports.
    window_s
        Each report is about a window of this length.
    late_s
        It is due so long after the end of its window.
    turns_s
        Within this no two holders may take turns.
    """

    address: Address
    window_s: float
    late_s: float
    turns_s: float


class FrontSettings(NamedTuple):
    """What one front process needs to know.

    Parameters
    ----------
    host
        The address of this instance, for its peers.
    peer_port
        Peers exchange datagrams on this port, and ask each other over
        connections; the same on all instances.
    drain_s
        How long a runner that leaves may still get requests.
    stop_s
        Time between the signal to stop and the end by force.
    config_s
        Within this a new configuration must be in force.
    duty
        None if nobody wants reports.
    link_bytes_s
        What the link of this instance carries a second.
    retry_ratio, retry_reserve, retry_window_s
        In each window of ``retry_window_s`` all entries together may send
        again ``retry_ratio`` of the requests, and ``retry_reserve`` more.
    """

    name: str
    host: str
    availability_zone: str
    listen: Address
    ready_listen: Address
    peer_port: int
    drain_s: float
    stop_s: float
    config_s: float
    retry_ratio: float
    retry_reserve: float
    retry_window_s: float
    link_bytes_s: float
    store: StoreSettings
    duty: DutySettings | None = None

    @property
    def peer_listen(self) -> Address:
        """Return where peers reach this instance, by datagrams and connections."""
        return Address(self.host, self.peer_port)


__all__ = ('DutySettings', 'FrontSettings', 'StoreSettings')
