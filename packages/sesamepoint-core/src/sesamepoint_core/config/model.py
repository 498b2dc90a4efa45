"""The configuration that operators publish."""

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
_CLOSED = ConfigDict(extra='forbid')


@with_config(_CLOSED)
class RunnerConfig(TypedDict):
    """One runner and its upstream."""

    fleet: Name
    availability_zone: Name
    agent: Address
    checks_fencing: bool
    draining: bool


@with_config(_CLOSED)
class ProfileConfig(TypedDict):
    """What a role sets in an engine: prompt tokens a step, answers at once."""

    chunk_tokens: Count
    max_running: Count


@with_config(_CLOSED)
class EngineConfig(TypedDict):
    """Measured figures of an engine, which the planner reckons with.

    A step takes ``base_step_s``, plus ``prefill_token_s`` for each prompt
    token and ``decode_answer_s`` for each answer in it. A role change takes
    ``role_change_s``. All are in seconds.
    """

    base_step_s: Positive
    prefill_token_s: Positive
    decode_answer_s: Positive
    role_change_s: Positive
    profiles: dict[Role, ProfileConfig]


@with_config(_CLOSED)
class FleetConfig(TypedDict):
    """A named set of runners that can stand in for each other.

    ``roles`` is what a runner starts as; ``floors`` is how many of a role
    must stay; ``models`` are the names that callers ask for; ``engine`` is
    present for fleets of engines.
    """

    kind: FleetKind
    models: list[Name]
    floors: dict[Role, Annotated[int, Field(ge=0)]]
    roles: dict[Name, Role]
    engine: NotRequired[EngineConfig]


@with_config(_CLOSED)
class PresetConfig(TypedDict):
    """Policy settings that change together.

    ``role_change_weight`` is in answers: how many late ones a role change
    may not be worth. ``max_changing`` bounds runners in change per fleet.
    ``horizon_s`` is how long a shift must last to count; a swing that is
    shorter is left to routing.
    ``account_rate`` is in requests a second over all entries. A small job is
    let in only if it should end within ``small_deadline_share`` of its time,
    so that small jobs are shed before the main one.
    """

    role_change_weight: NonNegative
    max_changing: Annotated[int, Field(ge=0, le=MAX_CHANGING)]
    plan_interval_s: Positive
    horizon_s: Positive
    account_rate: Positive
    retry_share: Share
    small_deadline_share: Share


@with_config(_CLOSED)
class Configuration(TypedDict):
    """Everything that operators decide about one deployment."""

    deployment: Name
    fleets: dict[Name, FleetConfig]
    runners: dict[Name, RunnerConfig]
    presets: dict[Literal['ordinary', 'peak', 'maintenance'], PresetConfig]


class InForce(NamedTuple):
    """The configuration and preset that govern, with their version."""

    version: int
    preset_name: str
    configuration: Configuration

    @property
    def preset(self) -> PresetConfig:
        """The settings of the preset in force."""
        return self.configuration['presets'][self.preset_name]  # type: ignore[index]


__all__ = (
    'Address',
    'Configuration',
    'EngineConfig',
    'FleetConfig',
    'InForce',
    'Name',
    'PresetConfig',
    'Role',
    'RunnerConfig',
)
