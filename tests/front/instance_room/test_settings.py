"""Limits of the instance in the settings file."""

from __future__ import annotations

import math
from unittest import TestCase

from sesamepoint_core.instance_room.limits import InstanceLimits
from sesamepoint.platform.settings import decode_settings
from sesamepoint.settings_error import SettingsError

SETTINGS = """node=front-1
ip=127.0.0.1
zone=z1
listen.front=127.0.0.1:8000
listen.ready=127.0.0.1:8001
port_range=8002,8009
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.retry_ratio=0.2
bounds.budget_slack=50
bounds.budget_window_s=10
limits.link_mbps=10
platform.address=127.0.0.1:9000
"""


class LimitsTest(TestCase):
    """Decoding of ``limits.*``."""

    def test_limits_decoded(self) -> None:
        """Guards against limits that are not read, or read in another unit."""
        text = f'{SETTINGS}limits.memory_mb=160\nlimits.cpu_share=0.12\nlimits.cores=3\nlimits.max_fds=1638\n'
        self.assertEqual(decode_settings(text).limits, InstanceLimits(160e6, 0.12, 3, 1638))

    def test_no_limits_without_settings(self) -> None:
        """Guards against a start that fails, or refusals, where the settings have no limits."""
        limits = decode_settings(SETTINGS).limits
        self.assertEqual(set(limits), {math.inf})

    def test_invalid_limit_refused(self) -> None:
        """Guards against a limit of zero or less, with which an instance would refuse all requests."""
        for line in ('limits.memory_mb=0', 'limits.max_fds=-5', 'limits.cores=nan', 'limits.memory_mb=much'):
            with self.subTest(line), self.assertRaises(SettingsError):
                decode_settings(f'{SETTINGS}{line}\n')

    def test_bound_without_meaning_refused(self) -> None:
        """Guards against a bound that is no number, and that allows everything or nothing where it is compared."""
        for line in (
            'bounds.retry_ratio=nan',
            'bounds.budget_slack=inf',
            'bounds.drain_ms=-1',
            'bounds.grace_s=-inf',
            'bounds.budget_window_s=0',
        ):
            with self.subTest(line), self.assertRaises(SettingsError):
                decode_settings(f'{SETTINGS}{line}\n')
