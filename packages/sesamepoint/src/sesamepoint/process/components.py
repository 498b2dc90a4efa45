"""Components that entry and agent processes share."""

from __future__ import annotations

from random import SystemRandom
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint.control.follower import Follower
from sesamepoint.unique_ids import new_incarnation
from sesamepoint.platform import http_log  # noqa: F401
from sesamepoint.platform.service_interfaces import LIST_ADAPTERS, LOG_ADAPTERS
from sesamepoint.upstream import engine, plain  # noqa: F401

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.platform.service_interfaces import InstanceList, LogService
    from sesamepoint.settings.model import ProcessSettings


class ProcessComponents(NamedTuple):
    """Clients of the platform, and the follower of the control log, of one process."""

    incarnation: str
    log: LogService
    instances: InstanceList
    follower: Follower
    rng: Random

    @classmethod
    def from_config(cls, cfg: ProcessSettings) -> ProcessComponents:
        """Build the components from a process's settings, with a new incarnation."""
        rng = SystemRandom()
        incarnation = new_incarnation(cfg['name'], rng)
        log = LOG_ADAPTERS.get(cfg['log']['adapter']).from_config(cfg['log'])
        instances = LIST_ADAPTERS.get(cfg['instances']['adapter']).from_config(cfg['instances'])
        return cls(incarnation, log, instances, Follower(log, cfg['deployment'], incarnation, rng), rng)


__all__ = ('ProcessComponents',)
