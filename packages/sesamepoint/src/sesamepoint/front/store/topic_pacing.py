"""Pacing of the topics of the store, from the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.front.store.polling_turns import Pacing
from sesamepoint.platform.wire_names import INSTANCE_TOPIC, OPERATOR_TOPIC, RUNNER_TOPIC

if TYPE_CHECKING:
    from sesamepoint.front.settings import FrontSettings

# Shares of the time within which a new configuration must be in force. One
# instance always has a call waiting at the store, held for the wait share. If
# they receive no update, the others wait as long and up to the spread share
# more. Half of the time is left for a call to a slow store or a lost answer.
CONFIGURATION_WAIT_SHARE = 0.25
CONFIGURATION_PAUSE_S = 0.02
CONFIGURATION_SPREAD_SHARE = 0.15
# Shares of the time within which a draining runner must be noticed. All runners
# together renew their records many times a second, so one call after each pause
# fetches all renewals. An instance that receives no updates polls the store
# itself after half of that time at the latest.
RUNNER_WAIT_SHARE = 0.1
RUNNER_PAUSE_SHARE = 0.2
RUNNER_SPREAD_SHARE = 0.15
# Longest pause before a failed call is repeated, as a share of the time within
# which a change of the configuration or of the runners must be known.
RETRY_SHARE = 0.5
# Share of that time for which a held call may be silent beyond its wait: more than a slow store takes to answer.
SILENCE_SHARE = 0.15
# Instances rarely join or leave. Each needs a current list for its share of the retry
# budget (sesamepoint_core/admit/reserve_share.py).
ENTRY_WAIT_S = 1.0
ENTRY_PAUSE_S = 0.2
ENTRY_SPREAD_S = 0.5
# Instances announce a quarantine to each other at once. The store keeps it for
# those that start later or missed the announcement, so calls may be held long.
QUARANTINE_WAIT_S = 10.0
QUARANTINE_PAUSE_S = 1.0
QUARANTINE_SPREAD_S = 5.0


def topic_pacing(topic: str, cfg: FrontSettings) -> Pacing:
    """Return how a topic is polled under the settings ``cfg``."""
    if topic == OPERATOR_TOPIC:
        return Pacing(
            CONFIGURATION_WAIT_SHARE * cfg.config_s,
            CONFIGURATION_PAUSE_S,
            CONFIGURATION_SPREAD_SHARE * cfg.config_s,
            RETRY_SHARE * cfg.config_s,
            SILENCE_SHARE * cfg.config_s,
        )
    if topic == RUNNER_TOPIC:
        return Pacing(
            RUNNER_WAIT_SHARE * cfg.drain_s,
            RUNNER_PAUSE_SHARE * cfg.drain_s,
            RUNNER_SPREAD_SHARE * cfg.drain_s,
            RETRY_SHARE * cfg.drain_s,
            SILENCE_SHARE * cfg.drain_s,
        )
    if topic == INSTANCE_TOPIC:
        return Pacing(ENTRY_WAIT_S, ENTRY_PAUSE_S, ENTRY_SPREAD_S)
    return Pacing(QUARANTINE_WAIT_S, QUARANTINE_PAUSE_S, QUARANTINE_SPREAD_S)


__all__ = ('topic_pacing',)
