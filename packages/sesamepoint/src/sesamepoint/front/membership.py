"""Which entries there are, and which of them have fallen silent.

The directory is a topic of the store: one record an entry, written at its start
and withdrawn at its stop. An entry that was lost withdraws nothing. Counted for
ever, it kept a share of the retry budget that nobody could spend, and words went
to its address, where another process may listen by then. So entries that hear
nothing of one for a while have its record dropped; if it lives after all, it
sees that and registers again.

All say that they live to one entry alone, the one that reads the list for the
others: said to all, it took 300 entries a hundred words a second each.
"""

from __future__ import annotations

from typing import NamedTuple

# An entry that has nothing to tell the reader says that it lives after this many
# seconds. Of 350 entries the reader then takes in 120 such words a second, 6 kB.
ALIVE_S = 3.0
# An entry is taken as lost after this many seconds without any word: six lost
# words, or a freeze of that length. Shorter freezes and cuts cost it nothing.
LOST_S = 20.0
# Only the reader, if it has heard this share of the others all that while, may
# call one of them lost: whoever hears few is more likely cut off itself, and
# when that is over hears one after the other again.
HEARING_SHARE = 0.5
# The others are heard if there was a word in this time: three words of life.
HEARD_S = 3 * ALIVE_S


class Lost(NamedTuple):
    """An entry that nothing was heard of for ``silent_s``."""

    name: str
    silent_s: float


class Membership:
    """Decides without any input or output of its own."""

    def __init__(self, name: str) -> None:
        """Know of no entry but this one, called ``name``."""
        self._name = name
        self._heard: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self._deaf_at: float = 0
        self._reader = ''

    def __contains__(self, name: object) -> bool:
        """Tell whether ``name`` is registered, and another entry than this one."""
        return name in self._heard

    def join(self, name: str, now: float) -> None:
        """Note that ``name`` has registered: a word of life like any other."""
        if name != self._name:
            self._heard[name] = now

    def leave(self, name: str) -> None:
        """Note that the record of ``name`` was withdrawn or dropped."""
        self._heard.pop(name, None)
        self._told.pop(name, None)

    def read_by(self, name: str) -> None:
        """Note that ``name`` reads the list for all."""
        self._reader = name

    def heard(self, name: str, now: float) -> None:
        """Note any word of ``name``; of one that is not registered, nothing."""
        if name in self:
            self._heard[name] = now

    def heard_within(self, span_s: float, now: float) -> list[str]:
        """Return the entries of which there was any word within ``span_s``."""
        return [name for name, at in self._heard.items() if now - at <= span_s]

    def told(self, name: str, now: float) -> None:
        """Note that something was sent to ``name``."""
        self._told[name] = now

    def untold(self, now: float) -> str | None:
        """Return the entry that has to hear that this one lives, if there is one."""
        if self._reader in self and now - self._told.get(self._reader, 0) >= ALIVE_S:
            return self._reader
        return None

    def listen(self, now: float, *, reading: bool) -> None:
        """Note whether the others speak to this entry, and are heard; to be called every second or so."""
        heard = sum(now - at <= HEARD_S for at in self._heard.values())
        if not reading or heard < HEARING_SHARE * len(self._heard):
            self._deaf_at = now

    def lost(self, now: float) -> list[Lost]:
        """Return the entries whose records are to be dropped."""
        if now - self._deaf_at <= LOST_S:
            return []
        silent = (Lost(name, now - at) for name, at in self._heard.items())
        return [one for one in silent if one.silent_s > LOST_S]


__all__ = ('ALIVE_S', 'LOST_S', 'Lost', 'Membership')
