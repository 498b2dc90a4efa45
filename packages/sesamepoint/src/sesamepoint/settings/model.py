"""Types of the settings of entry and agent processes."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field, with_config
from typing_extensions import TypedDict

from sesamepoint_core.config.model import Address, Name

_CLOSED = ConfigDict(extra='forbid')


@with_config(_CLOSED)
class ServiceSettings(TypedDict):
    """An external service: the registered name of its adapter, and its URL."""

    adapter: str
    url: Annotated[str, Field(pattern=r'^http://[0-9.]+:[0-9]{1,5}$')]


@with_config(_CLOSED)
class ProcessSettings(TypedDict):
    """Settings that all processes have."""

    name: Name
    availability_zone: Name
    deployment: Name
    listen: Address
    metrics: Address
    log: ServiceSettings
    instances: ServiceSettings


@with_config(_CLOSED)
class EntrySettings(ProcessSettings):
    """Settings of an entry, which listens for callers."""


@with_config(_CLOSED)
class AgentSettings(ProcessSettings):
    """Settings of an agent, which listens for entries."""

    runner: Name
    upstream: ServiceSettings


__all__ = ('AgentSettings', 'EntrySettings', 'ProcessSettings', 'ServiceSettings')
