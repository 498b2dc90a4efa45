"""The types of messages between instances, other than updates on sends."""

from __future__ import annotations

from typing import get_args

from sesamepoint.front.accounts.usage_messages import DutyMessage, UsageMessage
from sesamepoint.front.engine_model.model_messages import EngineModelMessage
from sesamepoint.front.fair_share.work_messages import AccountWorkMessage
from sesamepoint.front.fleet_health.health_messages import RunnerHealthMessage
from sesamepoint.front.instance_room.lag_messages import LagMessage
from sesamepoint.front.peering.peer_messages import (
    RunnerStatusMessage,
    RunnerStatusQuestion,
    SuspectUpdate,
    VersionMessage,
)
from sesamepoint.front.runners.limit_messages import PermitGrantMessage, PermitRequestMessage
from sesamepoint.front.store.outage_messages import StoreProbe
from sesamepoint.front.store.topic_updates import TopicUpdate
from sesamepoint.front.streams.origin_messages import OriginMessage, OriginQuestion, OriginReply

PeerMessage = (
    TopicUpdate
    | SuspectUpdate
    | VersionMessage
    | DutyMessage
    | UsageMessage
    | PermitRequestMessage
    | PermitGrantMessage
    | RunnerStatusMessage
    | RunnerStatusQuestion
    | StoreProbe
    | EngineModelMessage
    | RunnerHealthMessage
    | AccountWorkMessage
    | LagMessage
    | OriginMessage
    | OriginQuestion
    | OriginReply
)
PEER_MESSAGES: tuple[type, ...] = get_args(PeerMessage)


__all__ = ('PEER_MESSAGES', 'PeerMessage')
