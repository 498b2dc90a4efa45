"""Decoding of the settings file that the platform provides for a process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sesamepoint_core.instance_room.limits import InstanceLimits
from sesamepoint_core.serving.address import Address
from sesamepoint_core.units import BITS_PER_BYTE, BITS_PER_MEGABIT, BYTES_PER_MEGABYTE, MS_PER_S
from sesamepoint.front.settings import DEFAULT_HEARTBEAT_S, DutySettings, FrontSettings, StoreSettings
from sesamepoint.platform.wire_names import USAGE_DUTY
from sesamepoint.settings_error import SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path


def read_settings_text(path: Path) -> str:
    """Read the settings file ``path``.

    Raises
    ------
    SettingsError
        If the file cannot be read as text.
    """
    try:
        return path.read_text(encoding='utf-8')
    except OSError as exc:
        raise SettingsError(f'{path}: {exc.strerror}', 'name a readable file') from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f'{path}: {exc}', 'write it in UTF-8') from exc


def decode_settings(text: str) -> FrontSettings:
    """Decode the text of a settings file: lines of ``name=value``.

    Raises
    ------
    SettingsError
        If a value is missing or malformed.
    """
    pairs = dict(line.split('=', 1) for line in text.splitlines() if '=' in line)
    try:
        return _decode(pairs)
    except KeyError as exc:
        raise SettingsError(f'settings: {exc} is missing', 'add it') from exc
    except ValueError as exc:
        raise SettingsError(f'settings: {exc}', 'correct the value') from exc


def _decode(pairs: Mapping[str, str]) -> FrontSettings:
    first_port = int(pairs['port_range'].partition(',')[0])
    return FrontSettings(
        name=pairs['node'],
        host=pairs['ip'],
        availability_zone=pairs['zone'],
        listen=Address.parse(pairs['listen.front']),
        ready_listen=Address.parse(pairs['listen.ready']),
        peer_port=first_port,
        drain_s=_seconds(pairs, 'bounds.drain_ms'),
        stop_s=_number(pairs, 'bounds.grace_s'),
        config_s=_seconds(pairs, 'bounds.config_apply_ms'),
        retry_ratio=_number(pairs, 'bounds.retry_ratio'),
        # A number of requests, despite the name of the setting.
        retry_reserve=_number(pairs, 'bounds.budget_slack'),
        retry_window_s=_positive(pairs, 'bounds.budget_window_s'),
        link_bytes_s=_number(pairs, 'limits.link_mbps') * BITS_PER_MEGABIT / BITS_PER_BYTE,
        store=StoreSettings(Address.parse(pairs['platform.address'])),
        heartbeat_s=_seconds(pairs, 'heartbeat_ms') if 'heartbeat_ms' in pairs else DEFAULT_HEARTBEAT_S,
        duty=_duty_settings(pairs),
        limits=InstanceLimits(
            memory_bytes=_limit(pairs, 'memory_mb') * BYTES_PER_MEGABYTE,
            processor_share=_limit(pairs, 'cpu_share'),
            cores=_limit(pairs, 'cores'),
            descriptors=_limit(pairs, 'max_fds'),
        ),
    )


def _duty_settings(pairs: Mapping[str, str]) -> DutySettings | None:
    if USAGE_DUTY not in pairs.get('cloud.duties', '').split(','):
        return None
    return DutySettings(
        address=Address.parse(pairs['cloud.address']),
        window_s=_number(pairs, 'bounds.usage_window_s'),
        report_delay_s=_number(pairs, 'bounds.usage_late_s'),
        lease_s=_seconds(pairs, 'bounds.lease_ms'),
    )


def _limit(pairs: Mapping[str, str], name: str) -> float:
    text = pairs.get(f'limits.{name}')
    if text is None:
        return math.inf
    limit = float(text)
    if not limit > 0:
        raise ValueError(f'limits.{name} is {text}, not above 0')
    return limit


def _seconds(pairs: Mapping[str, str], name: str) -> float:
    return _number(pairs, name) / MS_PER_S


def _positive(pairs: Mapping[str, str], name: str) -> float:
    number = _number(pairs, name)
    if not number:
        raise ValueError(f'{name} is {pairs[name]}, not above 0')
    return number


def _number(pairs: Mapping[str, str], name: str) -> float:
    number = float(pairs[name])
    if not 0 <= number < math.inf:
        raise ValueError(f'{name} is {pairs[name]}, not a number from 0 on')
    return number


__all__ = ('decode_settings', 'read_settings_text')
