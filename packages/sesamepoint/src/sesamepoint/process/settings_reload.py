"""Reload of the settings file of a front process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.settings import SettingsChange
from sesamepoint.platform.settings import decode_settings, read_settings_text
from sesamepoint.settings_error import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

    from sesamepoint.front.front import Front
    from sesamepoint.http1.link_pacing import LinkPacer


# Interval of checks whether the settings file has changed: it may change without a signal.
SETTINGS_POLL_INTERVAL_S = 1.0


class SettingsReload:
    """Reads the settings file again, and applies what can change while the process runs.

    Changes without a signal are found by the text: a file that is replaced may be away for a moment, or have the time
    of the one before.
    """

    def __init__(self, path: Path, text: str, front: Front, pacer: LinkPacer) -> None:
        """Apply the file ``path``, whose ``text`` is in force, to ``front``, and the rate of the link to ``pacer``."""
        self._path = path
        # The text that was read last; empty if the file could not be read.
        self._text = text
        self._front = front
        self._pacer = pacer
        self._waiting: tuple[str, ...] = ()
        self._refused = False
        add_gauge = front.dispatcher.metrics.add_gauge
        add_gauge('sesamepoint_settings_waiting', 'Changed settings that need a restart.', lambda: len(self._waiting))
        add_gauge('sesamepoint_settings_refused', 'Whether the settings file is refused.', lambda: self._refused)

    def run(self) -> None:
        """Apply the settings file."""
        self._refresh(changed_only=False)

    async def watch(self) -> None:
        """Apply the settings file whenever its text has changed, until cancelled."""
        while True:
            await trio.sleep(SETTINGS_POLL_INTERVAL_S)
            self._refresh(changed_only=True)

    def _refresh(self, *, changed_only: bool) -> None:
        before = self._text
        self._text = ''
        try:
            self._text = read_settings_text(self._path)
        except SettingsError as exc:
            if before or not changed_only:
                self._refuse(exc)
            return
        if self._text != before or not changed_only:
            self._apply(self._text)

    def _apply(self, text: str) -> None:
        """Apply changed settings; invalid ones, and those that need a restart, leave the old values in force."""
        try:
            cfg = decode_settings(text)
        except SettingsError as exc:
            return self._refuse(exc)
        self._refused = False
        change = SettingsChange.between(self._front.cfg, cfg)
        self._pacer.set_rate(change.in_force.link_bytes_s)
        self._front.reconfigure(change.in_force)
        events.log_event(events.SETTINGS_RELOADED, changed=change.applied)
        if change.waiting:
            events.log_event(events.SETTINGS_NOT_APPLIED, waiting=change.waiting)
        self._waiting = change.waiting

    def _refuse(self, exc: SettingsError) -> None:
        self._refused = True
        events.log_event(events.SETTINGS_REFUSED, cause=str(exc))


__all__ = ('SETTINGS_POLL_INTERVAL_S', 'SettingsReload')
