"""Messages between instances about the rate limits of runners."""

from __future__ import annotations

import msgspec

from sesamepoint_core.runner_limit.messages import PermitGrant, PermitRequest
from sesamepoint_core.serving.poison_requests import Incarnation


class PermitRequestMessage(msgspec.Struct, frozen=True, array_like=True, tag='limit-ask'):
    """A message that leases the sender's share of a runner's limit, and requests permits."""

    entry: str
    incarnation: Incarnation
    message: PermitRequest


class PermitGrantMessage(msgspec.Struct, frozen=True, array_like=True, tag='limit-grant'):
    """A message of the limit's owner that grants permits, or announces the limit."""

    entry: str
    incarnation: Incarnation
    message: PermitGrant


__all__ = ('PermitGrantMessage', 'PermitRequestMessage')
