"""What a changed settings file means for a process that runs."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.instance_room.limits import InstanceLimits
from sesamepoint_core.serving.address import Address
from sesamepoint.front.settings import FIXED_SETTINGS, FrontSettings, SettingsChange, StoreSettings
from sesamepoint_standins.platform.bench import DUTY_SETTINGS, front_settings

OTHER = Address('10.9.9.9', 99)
DUTY_AT_OTHER = DUTY_SETTINGS._replace(address=OTHER)
# Another value of each setting; a new setting needs a line here, and a row in docs/SETTINGS.md.
CHANGED = FrontSettings(
    name='other',
    host='10.9.9.9',
    availability_zone='z9',
    listen=OTHER,
    ready_listen=OTHER,
    peer_port=9,
    drain_s=9.5,
    stop_s=9.5,
    config_s=9.5,
    retry_ratio=0.9,
    retry_reserve=9,
    retry_window_s=9.5,
    link_bytes_s=9.0,
    store=StoreSettings(OTHER),
    duty=DUTY_AT_OTHER._replace(window_s=9.5),
    limits=InstanceLimits(memory_bytes=9e9),
    heartbeat_s=9.5,
)


class SettingsChangeTest(TestCase):
    """Each setting is applied at once, or named as one that waits for a restart."""

    def test_each_setting(self) -> None:
        """Guards against a changed setting that is reported as applied while the old value is in use, or not at all."""
        before = front_settings(1, DUTY_SETTINGS)
        for name in FrontSettings._fields:
            cfg = before._replace(**{name: getattr(CHANGED, name)})
            change = SettingsChange.between(before, cfg)
            self.assertNotEqual(cfg, before, name)
            if name in FIXED_SETTINGS:
                self.assertEqual((change.in_force, change.applied, change.waiting), (before, (), (name,)))
            elif name == 'duty':
                self.assertEqual(change.in_force, before._replace(duty=DUTY_AT_OTHER))
                self.assertEqual((change.applied, change.waiting), (('duty',), ('duty',)))
            else:
                self.assertEqual((change.in_force, change.applied, change.waiting), (cfg, (name,), ()))

    def test_no_change(self) -> None:
        """Guards against a reload that names settings which have not changed."""
        before = front_settings(1, DUTY_SETTINGS)
        self.assertEqual(SettingsChange.between(before, before), (before, (), ()))

    def test_duty_added(self) -> None:
        """Guards against a duty that is reported as begun while nothing reports usage."""
        change = SettingsChange.between(front_settings(1, None), front_settings(1, DUTY_SETTINGS))
        self.assertEqual((change.in_force.duty, change.waiting), (None, ('duty',)))
