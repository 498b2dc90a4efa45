"""Settings of a front process, independent of the file format."""

from __future__ import annotations

from typing import NamedTuple

from sesamepoint_core.instance_room.limits import InstanceLimits
from sesamepoint_core.serving.address import Address


# Interval at which runners renew their registrations if the settings name none, in seconds.
DEFAULT_HEARTBEAT_S = 1.2


class StoreSettings(NamedTuple):
    """Settings of the platform's store."""

    address: Address


class DutySettings(NamedTuple):
    """Settings of the duty that reports the usage of client accounts.

    Parameters
    ----------
    address
        Where the reports are sent.
    window_s
        Length of the window that a report covers, in seconds.
    report_delay_s
        Seconds after the end of its window by which a report is due.
    lease_s
        Lease time: seconds within which the duty must not pass from one holder to another.
    """

    address: Address
    window_s: float
    report_delay_s: float
    lease_s: float


class FrontSettings(NamedTuple):
    """Settings of one front process.

    Parameters
    ----------
    host
        Address at which peers reach this instance.
    peer_port
        Port for datagrams and connections between peers; the same on all instances.
    drain_s
        Seconds for which a draining runner may still get requests.
    stop_s
        Seconds between the signal to stop and the kill.
    config_s
        Seconds within which a new configuration must be in force.
    heartbeat_s
        Interval at which runners renew their registrations, in seconds.
    duty
        None if there are no usage reports.
    link_bytes_s
        Bandwidth of the link of this instance, in bytes per second.
    limits
        Limits on the memory, the processor and the descriptors of this instance.
    retry_ratio, retry_reserve, retry_window_s
        In each window of ``retry_window_s`` seconds all instances together may
        retry ``retry_ratio`` of the requests, and ``retry_reserve`` more.
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
    limits: InstanceLimits = InstanceLimits()
    heartbeat_s: float = DEFAULT_HEARTBEAT_S

    @property
    def peer_listen(self) -> Address:
        """Return the address at which peers reach this instance."""
        return Address(self.host, self.peer_port)


# Settings that are in use from the start of the process to its end: its name, addresses and place.
FIXED_SETTINGS = frozenset(
    ('name', 'host', 'availability_zone', 'listen', 'ready_listen', 'peer_port'),
)


class SettingsChange(NamedTuple):
    """What a changed settings file means for a process that runs.

    Parameters
    ----------
    in_force
        The settings to apply: those that take effect at once, and the old values of the others.
    applied
        Names of the settings that take effect at once.
    waiting
        Names of the settings that need a restart.
    """

    in_force: FrontSettings
    applied: tuple[str, ...]
    waiting: tuple[str, ...]

    @classmethod
    def between(cls, before: FrontSettings, cfg: FrontSettings) -> SettingsChange:
        """Compare the settings in force with those in the file."""
        in_force = cfg._replace(
            duty=_duty_in_force(before.duty, cfg.duty), **{name: getattr(before, name) for name in FIXED_SETTINGS}
        )
        return cls(in_force, _differing(before, in_force), _differing(in_force, cfg))


def _duty_in_force(before: DutySettings | None, cfg: DutySettings | None) -> DutySettings | None:
    """Return the settings of the duty with a new address; its windows and lease must be the same at all instances."""
    return before if before is None or cfg is None else before._replace(address=cfg.address)


def _differing(one: FrontSettings, other: FrontSettings) -> tuple[str, ...]:
    return tuple(name for name in one._fields if getattr(one, name) != getattr(other, name))


__all__ = ('DEFAULT_HEARTBEAT_S', 'DutySettings', 'FrontSettings', 'SettingsChange', 'StoreSettings')
