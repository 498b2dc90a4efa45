"""Intake of configurations: valid ones pass, refused ones leave the version before in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.configuration_check import ConfigurationParts, find_complaints, summary
from sesamepoint import events
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.unreadable_record import InvalidConfigurationError

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.platform.store import KeyedRecord


class ConfigurationIntake:
    """Decodes and checks configurations of the store and of peers, and knows the newest one that it refused."""

    def __init__(self, in_force: Callable[[], Configuration | None]) -> None:
        """Compare with the configuration ``in_force``."""
        # Versions that were refused so far.
        self.refusals = 0
        # Set when a version is refused.
        self.refused = trio.Event()
        # Set when the record of the operator is refused while no configuration is in force.
        self.lacks_valid = trio.Event()
        self._in_force = in_force
        # All that is wrong with the newest refused version.
        self.refusal_cause = ''
        self._refused_version = 0
        self._refused_text = b''

    def decode(self, record: KeyedRecord) -> Configuration | None:
        """Return the configuration in a record of the store; None if it is refused."""
        try:
            return decode_configuration(record.text)
        except InvalidConfigurationError as exc:
            # The same record is read again and again, by lists and checks.
            if record.text != self._refused_text:
                self._refused_text = record.text
                self._note_refused(exc.version, exc.cause, '')
                if self._in_force() is None:
                    self.lacks_valid.set()
            return None

    def accepts(self, cfg: Configuration, peer: str) -> bool:
        """Return whether the configuration of a peer is valid: one of another version may have checked less."""
        complaints = find_complaints(ConfigurationParts.of(cfg))
        if complaints:
            self._note_refused(cfg.version, summary(complaints), peer)
        return not complaints

    def refused_version(self) -> int:
        """Return the newest version known if it is refused; 0 if a newer one is in force."""
        cfg = self._in_force()
        return 0 if cfg is not None and cfg.version >= self._refused_version else self._refused_version

    def _note_refused(self, version: int, cause: str, peer: str) -> None:
        self.refusals += 1
        self.refused.set()
        if version >= self._refused_version:
            self._refused_version = version
            self.refusal_cause = cause
        cfg = self._in_force()
        events.log_event(
            events.CONFIGURATION_REFUSED,
            version=version,
            in_force=cfg.version if cfg else 0,
            cause=cause,
            peer=peer,
        )


__all__ = ('ConfigurationIntake',)
