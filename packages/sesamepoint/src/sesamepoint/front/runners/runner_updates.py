"""Updates to peers about runners: replaced, draining, or asking for a back-off."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.front.runners.gap_questions import MAX_ASKED
from sesamepoint.front.peering.peer_messages import ReportedStatus, RunnerStatusMessage, RunnerStatusQuestion

if TYPE_CHECKING:
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.runners.runner_status import RunnerStatuses

# A message may be lost, or its recipient disconnected, so the instance that found out a fact
# sends it again: first at this age of the fact, in seconds, then each time at twice the age.
RESEND_AFTER_S = 1.0
# Age of a fact, in seconds, from which it is not sent any more. A draining runner stays for
# some seconds more.
RESEND_FOR_S = 10.0
# How often due messages are looked for, in seconds.
CHECK_INTERVAL_S = 0.25


class _Finding(NamedTuple):
    incarnation: Incarnation
    fact: ReportedStatus


class _Announcement(NamedTuple):
    found_at: float
    due_at: float

    def put_off(self) -> _Announcement:
        return _Announcement(self.found_at, self.found_at + 2 * (self.due_at - self.found_at))


class RunnerUpdates:
    """Sends what this instance found out about runners, and receives the updates of peers.

    Registrations may be outdated for seconds, or for as long as the store is unreachable.
    Each instance without the update would find out only by sending the runner a request.
    """

    def __init__(self, fleet: Fleet, statuses: RunnerStatuses, peers: Peers) -> None:
        """Send what answers reveal about runners to ``peers``."""
        self._fleet = fleet
        self._statuses = statuses
        self._peers = peers
        self._announcements: dict[_Finding, _Announcement] = {}
        self._pending = trio.Event()
        self._asked = 0
        fleet.on_replaced = self._note_replaced
        statuses.on_draining = self._note_draining
        statuses.on_back_off = self._send_back_off
        peers.handlers[RunnerStatusMessage] = self.on_update
        peers.handlers[RunnerStatusQuestion] = self._on_question
        peers.on_peer_joined.append(self.note_peer)

    def on_update(self, update: RunnerStatusMessage) -> None:
        """Handle the update of a peer."""
        if update.fact is ReportedStatus.leaving:
            self._statuses.note_draining(update.start, update.entry, update.age_s)
            return
        if update.fact is ReportedStatus.resting:
            self._statuses.note_peer_back_off(update.start, update.rest_s, update.entry)
            return
        if update.fact is ReportedStatus.removed:
            self._fleet.history.note_removed_elsewhere(update.start, self._fleet.of_incarnation(update.start))
            return
        # A replacement of an incarnation that is not known here is ignored.
        member = self._fleet.of_incarnation(update.start)
        if member is not None:
            member.note_replaced(update.entry)

    def note_peer(self, peer: str) -> None:
        """Exchange what is known with an instance that is new on the list.

        To an instance that has just started all are new. Its peers may not notice: it registers the same record as
        before. So it asks some of them.
        """
        self.send_to(peer)
        if self._asked < MAX_ASKED:
            self._asked += 1
            self._peers.send_queue.enqueue(RunnerStatusQuestion(self._peers.name), peer)

    def send_to(self, peer: str) -> None:
        """Send an instance that has just registered the runners that are draining, or were removed lately.

        A registration that the store writes late is the only one of its runner that the new instance reads.
        """
        removed = self._fleet.history.recently_removed()
        draining = [one for one in self._statuses.draining() if one in removed or self._fleet.of_incarnation(one)]
        findings = [_Finding(one, ReportedStatus.leaving) for one in draining]
        findings += [_Finding(one, ReportedStatus.removed) for one in removed]
        for finding in findings:
            self._peers.send_queue.enqueue(
                RunnerStatusMessage(self._peers.name, finding.incarnation, finding.fact), peer
            )

    async def run(self) -> None:
        """Send what this instance finding out again when due, until cancelled."""
        while True:
            await self._pending.wait()
            await trio.sleep(CHECK_INTERVAL_S)
            self._drop_old()
            for finding, announcement in tuple(self._announcements.items()):
                if trio.current_time() >= announcement.due_at:
                    self._announcements[finding] = announcement.put_off()
                    self._send(finding)

    def _on_question(self, question: RunnerStatusQuestion) -> None:
        self.send_to(question.entry)

    def _note_replaced(self, incarnation: Incarnation) -> None:
        self._announce(_Finding(incarnation, ReportedStatus.replaced))

    def _note_draining(self, incarnation: Incarnation) -> None:
        self._announce(_Finding(incarnation, ReportedStatus.leaving))

    def _send_back_off(self, incarnation: Incarnation, for_s: float) -> None:
        """Send a back-off once: it only helps peers to choose, so it may be lost."""
        self._peers.send_queue.enqueue(
            RunnerStatusMessage(self._peers.name, incarnation, ReportedStatus.resting, rest_s=for_s)
        )

    def _announce(self, finding: _Finding) -> None:
        now = trio.current_time()
        self._announcements[finding] = _Announcement(now, now + RESEND_AFTER_S)
        self._pending.set()
        self._send(finding)

    def _send(self, finding: _Finding) -> None:
        age_s = trio.current_time() - self._announcements[finding].found_at
        self._peers.send_queue.enqueue(RunnerStatusMessage(self._peers.name, finding.incarnation, finding.fact, age_s))

    def _drop_old(self) -> None:
        since = trio.current_time() - RESEND_FOR_S
        self._announcements = {
            finding: announcement
            for finding, announcement in self._announcements.items()
            if announcement.found_at > since
        }
        if not self._announcements:
            self._pending = trio.Event()


__all__ = ('RunnerUpdates',)
