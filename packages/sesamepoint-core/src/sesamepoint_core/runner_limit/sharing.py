"""Rate limit of one incarnation of a runner, shared by all instances.

Each instance has an equal share of the limit, and leases it for a short time to the
owner of the limit: the first instance in an order that all compute alike. The owner
grants permits, one for each request, at the rate of all shares leased to it, to the
most urgent demands first. An instance that can't reach the others uses its own share
and no more. So the shares in use never add up to more than the limit, even if
instances are disconnected, frozen or gone.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sesamepoint_core.runner_limit.belief import LimitBelief
from sesamepoint_core.runner_limit.giver import Giver
from sesamepoint_core.runner_limit.lender import NOTHING, Lender, Wish, lease_s
from sesamepoint_core.runner_limit.words import Ask, Grant, Letter, Told

if TYPE_CHECKING:
    from collections.abc import Iterable

# How long an instance does not use its own share after its start, in seconds: its peers
# do not know it yet, and divide the limit without it.
UNKNOWN_S = 4.0
# Maximum age of unused permits, in seconds, while the newest report of the limit is recent.
KEEP_S = 0.5
# A report of the limit counts as recent for this long, in seconds.
FRESH_S = 1.0
# Unused permits are kept in any case for as long as the whole limit takes to issue this many.
KEEP_PERMITS = 2.0
# A limit that falls below this share of the former one is announced at once, and permits
# of the former one are dropped.
LOWERED = 0.5
# Interval at which instances that do not lease their share are sent the limit again, as a
# share of a lease.
TELL_AGAIN = 0.5


class Sharing:
    """One instance's part in a shared limit; it does no I/O."""

    def __init__(self, name: str, runner: str, start: int, own_from: float, phase: float) -> None:
        """Start without a limit and without peers.

        Parameters
        ----------
        name
            Of this instance.
        runner
            Name of the runner with the limit.
        start
            Number of this incarnation of the instance; no other incarnation has it.
        own_from
            Time from which this instance may use its own share.
        phase
            Random fraction of the first permit that is already issued, from 0 to 1.
        """
        self.belief = LimitBelief(start)
        self._name = name
        self._members: tuple[str, ...] = (name,)
        self._known = frozenset(self._members)
        self._lender = Lender(name, runner)
        self._giver = Giver(start, phase)
        self._wish = NOTHING
        self._own_from = own_from
        self._told_at: float = -math.inf
        self._paced_limit: float = 0
        # The highest limit that peers may apply; infinite if they may know of none.
        self._told_limit: float = math.inf
        self._newcomers: set[str] = set()
        self._out: list[Letter] = []

    def join(self, others: Iterable[str]) -> None:
        """Set the peers that share the limit: all other instances that may send to the runner."""
        members = (self._name, *others)
        if members == self._members:
            return
        newcomers = frozenset(members) - self._known
        self._members = members
        self._known = frozenset(members)
        if self._lender.gives and self.belief.word is not None:
            self._newcomers.update(newcomers)

    def wish(self, wish: Wish) -> None:
        """Set the demand of this instance, in place of its earlier one."""
        self._wish = wish

    def stock(self, now: float) -> int:
        """Return how many requests may be sent now."""
        return self._lender.stock(now)

    def take(self, now: float) -> bool:
        """Use a permit, if there is one."""
        return self._lender.take(now)

    def put_back(self, now: float) -> None:
        """Put back a permit that was taken and not used."""
        self._lender.add(1, now)

    def expected_rate(self, priority: int, now: float) -> float:
        """Return the permits a second that this instance can expect for requests of ``priority``."""
        rate = self.belief.allowed(now) or 0
        if self._lender.lent(now):
            return rate / self._lender.rivals(priority, now)
        return rate * self._shares(now) / len(self._members) / max(self._giver.askers(self._name, priority), 1)

    def heard(self, sender: str, word: Ask | Grant, now: float) -> bool:
        """Handle a message of a peer; return whether the known limit has changed."""
        changed = word.told is not None and self.belief.told(word.told.word(now))
        if isinstance(word, Ask):
            self._giver.heard(sender, word, len(self._members), now)
            # Always answered: the sender dates its next lease by the stamp in the answer.
            self._out.append(Letter(sender, self._grant(sender, 0, now, word.asked_at)))
        else:
            self._lender.answered(sender, word, len(self._members), now)
        return changed

    def step(self, now: float) -> list[Letter]:
        """Update the owner, the rate and the permits; return the messages to send now."""
        self._lender.choose(self._members, now)
        self._pace(now)
        self._hand_out(now)
        ask = self._lender.ask(self._wish, self._told(now), len(self._members), now)
        if ask is not None:
            self._out.append(Letter(self._lender.target, ask))
        self._tell(now)
        outgoing = self._out
        self._out = []
        return outgoing

    def next_at(self, now: float) -> float:
        """Return when :meth:`step` is due if no message arrives and nothing changes before."""
        asks_at = self._lender.asks_at(self._wish, len(self._members))
        return max(min(self._giver.next_at(), asks_at, self._tells_at()), now)

    def _pace(self, now: float) -> None:
        limit = self.belief.allowed(now) or 0
        self._giver.pace(limit * self._shares(now) / len(self._members), self._keep_s(limit, now), now)
        if limit < LOWERED * self._paced_limit:
            self._lender.drop()
        self._paced_limit = limit

    def _keep_s(self, limit: float, now: float) -> float:
        """Return how many seconds permits are kept: less if the newest report is old, as the limit may have fallen."""
        reported = self.belief.word
        if not limit or reported is None:
            return 0
        recent = now - reported.newest_at < FRESH_S
        return max(KEEP_S if recent else 0, KEEP_PERMITS / limit)

    def _shares(self, now: float) -> int:
        own = now >= self._own_from and not self._lender.lent(now)
        return self._giver.lent(self._known, now) + own

    def _hand_out(self, now: float) -> None:
        self._lender.stock(now)
        if self._lender.lent(now):
            self._giver.want(self._name, NOTHING, now, now)
        else:
            self._giver.put_back(self._lender.take_unused(), now)
            self._giver.want(self._name, self._wish, now, now)
        for allocated in self._giver.give(self._known, now):
            if allocated.to == self._name:
                self._lender.add(1, now)
                self._wish = self._wish._replace(permits=self._wish.permits - 1)
            else:
                self._out.append(Letter(allocated.to, self._grant(allocated.to, 1, now, allocated.asked_at)))

    def _tell(self, now: float) -> None:
        """Announce a limit that begins, ends or falls to all peers.

        New peers get it at once. Peers that do not lease their share get it repeatedly: an
        announcement may have been lost, and an instance that knows of no limit requests nothing.
        """
        if not self._lender.gives or self.belief.word is None:
            return
        reported = self.belief.word
        limit = reported.rate if reported.ended_at is None else math.inf
        changed = limit < LOWERED * self._told_limit or (limit == math.inf) is not (self._told_limit == math.inf)
        unaware = self._newcomers
        self._newcomers = set()
        if changed or now >= self._tells_at():
            unaware = {name for name in self._members[1:] if changed or not self._giver.lends(name, now)}
            self._told_at = now
        if changed or limit > self._told_limit:
            self._told_limit = limit
        self._out.extend(Letter(name, self._grant(name, 0, now)) for name in sorted(unaware))

    def _tells_at(self) -> float:
        return self._told_at + TELL_AGAIN * lease_s(len(self._members)) if self._lender.gives else math.inf

    def _grant(self, to: str, permits: int, now: float, asked_at: float = 0) -> Grant:
        return Grant(asked_at, self._giver.stamp(now), permits, self._giver.askers(to), self._told(now))

    def _told(self, now: float) -> Told | None:
        return Told.of(self.belief.word, now) if self.belief.word else None


__all__ = ('UNKNOWN_S', 'Sharing', 'Wish')
