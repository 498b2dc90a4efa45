"""Reload of the settings file of a front process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint import events
from sesamepoint.front.settings import SettingsChange
from sesamepoint.platform.settings import read_settings
from sesamepoint.settings_error import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

    from sesamepoint.front.front import Front
    from sesamepoint.http1.link_pacing import LinkPacer


class SettingsReload:
    """Reads the settings file again, and applies what can change while the process runs."""

    def __init__(self, path: Path, front: Front, pacer: LinkPacer) -> None:
        """Apply the file ``path`` to ``front``, and the rate of the link to ``pacer``."""
        self._path = path
        self._front = front
        self._pacer = pacer
        self._waiting: tuple[str, ...] = ()
        self._refused = False
        add_gauge = front.dispatcher.metrics.add_gauge
        add_gauge('sesamepoint_settings_waiting', 'Changed settings that need a restart.', lambda: len(self._waiting))
        add_gauge('sesamepoint_settings_refused', 'Whether the settings file is refused.', lambda: self._refused)

    def run(self) -> None:
        """Apply changed settings; invalid ones, and those that need a restart, leave the old values in force."""
        try:
            cfg = read_settings(self._path)
        except SettingsError as exc:
            self._refused = True
            events.log_event(events.SETTINGS_REFUSED, cause=str(exc))
            return
        self._refused = False
        change = SettingsChange.between(self._front.cfg, cfg)
        self._pacer.set_rate(change.in_force.link_bytes_s)
        self._front.reconfigure(change.in_force)
        events.log_event(events.SETTINGS_RELOADED, changed=change.applied)
        if change.waiting:
            events.log_event(events.SETTINGS_NOT_APPLIED, waiting=change.waiting)
        self._waiting = change.waiting


__all__ = ('SettingsReload',)
