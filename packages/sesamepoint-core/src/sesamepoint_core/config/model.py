"""Types of the configuration that operators publish."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from pydantic import ConfigDict, Field, with_config
from typing_extensions import NotRequired, TypedDict

Role = Literal['prefill', 'decode', 'mixed']
FleetKind = Literal['engine', 'plain']

MAX_CHANGING = 64
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
Address = Annotated[str, Field(pattern=r'^[0-9.]+:[0-9]{1,5}$')]
_FORBID_EXTRA = ConfigDict(extra='forbid')


@with_config(_FORBID_EXTRA)
class RunnerConfig(TypedDict):
    """One runner and its upstream."""

    fleet: Name
    availability_zone: Name
    agent: Address
    checks_fencing: bool
    draining: bool


@with_config(_FORBID_EXTRA)
class ProfileConfig(TypedDict):
    """Engine settings of a role: prompt tokens per step and answers at once."""

    chunk_tokens: Count
    max_running: Count


@with_config(_FORBID_EXTRA)
class EngineConfig(TypedDict):
    """Measured times of an engine, used by the planner.

    A step takes ``base_step_s``, plus ``prefill_token_s`` for each prompt
    token and ``decode_answer_s`` for each answer in it. A role change takes
    ``role_change_s``. All are in seconds.
    """

    base_step_s: Positive
    prefill_token_s: Positive
    decode_answer_s: Positive
    role_change_s: Positive
    profiles: dict[Role, ProfileConfig]


@with_config(_FORBID_EXTRA)
class FleetConfig(TypedDict):
    """A set of interchangeable runners.

    ``roles`` are the roles that runners start in. ``floors`` is the least
    number of runners of each role. ``models`` are the names that callers
    request. ``engine`` is required for fleets of engines.
    """

    kind: FleetKind
    models: list[Name]
    floors: dict[Role, Annotated[int, Field(ge=0)]]
    roles: dict[Name, Role]
    engine: NotRequired[EngineConfig]


@with_config(_FORBID_EXTRA)
class PresetConfig(TypedDict):
    """Policy settings that change together.

    ``role_change_weight`` is the number of late answers that a role change
    must save beyond those that it causes. ``max_changing`` is the maximum
    number of runners per fleet that change roles at once. ``horizon_s`` is
    how long a change of demand must last to be planned for; shorter swings
    are left to routing. ``account_rate`` is in requests per second over all
    instances. A small request is admitted only if it is expected to end
    within ``small_deadline_share`` of its timeout, so that small requests are
    refused before those of the main job.
    """

    role_change_weight: NonNegative
    max_changing: Annotated[int, Field(ge=0, le=MAX_CHANGING)]
    plan_interval_s: Positive
    horizon_s: Positive
    account_rate: Positive
    retry_share: Share
    small_deadline_share: Share


@with_config(_FORBID_EXTRA)
class Configuration(TypedDict):
    """Configuration of one deployment."""

    deployment: Name
    fleets: dict[Name, FleetConfig]
    runners: dict[Name, RunnerConfig]
    presets: dict[Literal['ordinary', 'peak', 'maintenance'], PresetConfig]


class ActiveConfiguration(NamedTuple):
    """The configuration and preset in force, with their version."""

    version: int
    preset_name: str
    configuration: Configuration

    @property
    def preset(self) -> PresetConfig:
        """The settings of the preset in force."""
        return self.configuration['presets'][self.preset_name]  # type: ignore[index]


__all__ = (
    'ActiveConfiguration',
    'Address',
    'Configuration',
    'EngineConfig',
    'FleetConfig',
    'Name',
    'PresetConfig',
    'Role',
    'RunnerConfig',
)
