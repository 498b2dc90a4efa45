"""Scenario files: arrivals by class, scheduled faults and preset switches."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import ConfigDict, Field, with_config
from typing_extensions import NotRequired, TypedDict

from sesamepoint_core.config.model import Name, NonNegative, Positive, Share
from sesamepoint.settings.load import read_document, validate_settings

SCENARIOS_DIR = Path(__file__).parent / 'scenarios'
_FORBID_EXTRA = ConfigDict(extra='forbid')
TokenRange = Annotated[list[Annotated[int, Field(ge=1)]], Field(min_length=2, max_length=2)]
RatePoint = Annotated[list[NonNegative], Field(min_length=2, max_length=2)]


@with_config(_FORBID_EXTRA)
class ArrivalClass(TypedDict):
    """One kind of request and how it arrives.

    ``rate`` has points of seconds and requests per second, interpolated
    linearly and repeated every ``period_s`` if that is given. Lengths are drawn
    uniformly from their ranges, in tokens. Each request gets one of
    ``prefixes`` shared prefixes. ``client_retries`` is how often a caller
    retries after the outcome `not_run`, at the time that the answer names.
    """

    fleet: Name
    urgent: bool
    rate: list[RatePoint]
    period_s: NotRequired[Positive]
    prompt_tokens: TokenRange
    output_tokens: TokenRange
    timeout_s: Positive
    not_repeatable: Share
    prefixes: Annotated[int, Field(ge=0)]
    prefix_tokens: Annotated[int, Field(ge=0)]
    client_retries: Annotated[int, Field(ge=0, le=10)]


@with_config(_FORBID_EXTRA)
class ScheduledFault(TypedDict):
    """A fault from ``at`` until ``until``, in seconds from the start; see docs/EXPERIMENTS.md."""

    at: NonNegative
    until: NonNegative
    kind: str
    target: str


@with_config(_FORBID_EXTRA)
class ScheduledSwitch(TypedDict):
    """A switch to a preset by the operator, at a time in seconds from the start."""

    at: NonNegative
    preset: Literal['ordinary', 'peak', 'maintenance']


@with_config(_FORBID_EXTRA)
class Scenario(TypedDict):
    """Arrivals, faults and preset switches of one experiment."""

    about: str
    duration_s: Positive
    classes: dict[Name, ArrivalClass]
    faults: list[ScheduledFault]
    presets: list[ScheduledSwitch]


class ScenarioSource(NamedTuple):
    """File of a scenario, and the deployment whose shipped scenarios it may extend."""

    path: Path
    deployment: str


def shipped_scenarios(deployment: str) -> tuple[str, ...]:
    """Return the names of a deployment's shipped scenarios."""
    return tuple(sorted(path.stem for path in (SCENARIOS_DIR / deployment).glob('*.json')))


def find_scenario(deployment: str, name: str) -> ScenarioSource:
    """Return the shipped scenario of a name, or else the file at that path."""
    shipped = SCENARIOS_DIR / deployment / f'{name}.json'
    return ScenarioSource(shipped if shipped.exists() else Path(name), deployment)


def load_scenario(source: ScenarioSource) -> Scenario:
    """Load a scenario and check it.

    A file with ``base`` extends the shipped scenario of that name: its classes
    are merged key by key, everything else is replaced.

    Raises
    ------
    SettingsError
        On the first problem, with its path in the document.
    """
    return validate_settings(source.path, _merged(source), Scenario)


def _merged(source: ScenarioSource) -> Any:
    document = read_document(source.path)
    if not isinstance(document, dict) or 'base' not in document:
        return document
    base = _merged(find_scenario(source.deployment, str(document.pop('base'))))
    changes = document.pop('classes', {})
    classes = {name: {**base['classes'].get(name, {}), **changes.get(name, {})} for name in base['classes'] | changes}
    return {**base, **document, 'classes': classes}


__all__ = ('ArrivalClass', 'Scenario', 'ScheduledFault', 'find_scenario', 'load_scenario', 'shipped_scenarios')
