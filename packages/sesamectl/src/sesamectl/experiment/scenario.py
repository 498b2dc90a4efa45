"""Scenario files: arrivals by class, faults and preset switches at times."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import ConfigDict, Field, with_config
from typing_extensions import NotRequired, TypedDict

from sesamepoint_core.config.model import Name, NonNegative, Positive, Share
from sesamepoint.settings.load import read_document, validate_settings

SHIPPED = Path(__file__).parent / 'scenarios'
_CLOSED = ConfigDict(extra='forbid')
Range = Annotated[list[Annotated[int, Field(ge=1)]], Field(min_length=2, max_length=2)]
Point = Annotated[list[NonNegative], Field(min_length=2, max_length=2)]


@with_config(_CLOSED)
class ArrivalClass(TypedDict):
    """One kind of request and how it arrives.

    ``speed_meters`` is a line through points of seconds and requests a second,
    repeated every ``period_s`` if that is given. Lengths are drawn evenly
    from their ranges, in tokens. Of ``prefixes`` shared heads, one is drawn
    for each request. ``client_retries`` is how often a caller that was told
    `not_run` comes back at the time it was told.
    """

    fleet: Name
    urgent: bool
    rate: list[Point]
    period_s: NotRequired[Positive]
    prompt_tokens: Range
    output_tokens: Range
    timeout_s: Positive
    not_repeatable: Share
    prefixes: Annotated[int, Field(ge=0)]
    prefix_tokens: Annotated[int, Field(ge=0)]
    client_retries: Annotated[int, Field(ge=0, le=10)]


@with_config(_CLOSED)
class FaultAt(TypedDict):
    """A fault from ``at`` until ``until``, in seconds; see docs/EXPERIMENTS.md."""

    at: NonNegative
    until: NonNegative
    kind: str
    target: str


@with_config(_CLOSED)
class SwitchAt(TypedDict):
    """A preset that an operator switches to at a time."""

    at: NonNegative
    preset: Literal['ordinary', 'peak', 'maintenance']


@with_config(_CLOSED)
class Scenario(TypedDict):
    """What happens in one experiment."""

    about: str
    duration_s: Positive
    classes: dict[Name, ArrivalClass]
    faults: list[FaultAt]
    presets: list[SwitchAt]


class Source(NamedTuple):
    """Where a scenario is and whose shipped ones it may build on."""

    path: Path
    deployment: str


def shipped_scenarios(deployment: str) -> tuple[str, ...]:
    """Return the names of a user's shipped scenarios."""
    return tuple(sorted(path.stem for path in (SHIPPED / deployment).glob('*.json')))


def find_scenario(deployment: str, name: str) -> Source:
    """Return the file of a shipped name, or of a path."""
    shipped = SHIPPED / deployment / f'{name}.json'
    return Source(shipped if shipped.exists() else Path(name), deployment)


def load_scenario(source: Source) -> Scenario:
    """Return a checked scenario.

    A file with ``base`` changes the shipped scenario of that name: its
    classes are merged key by key, everything else is replaced.

    Raises
    ------
    SettingsError
        On the first thing that is wrong, with its path in the document.
    """
    return validate_settings(source.path, _merged(source), Scenario)


def _merged(source: Source) -> Any:
    document = read_document(source.path)
    if not isinstance(document, dict) or 'base' not in document:
        return document
    base = _merged(find_scenario(source.deployment, str(document.pop('base'))))
    changes = document.pop('classes', {})
    classes = {name: {**base['classes'].get(name, {}), **changes.get(name, {})} for name in base['classes'] | changes}
    return {**base, **document, 'classes': classes}


__all__ = ('ArrivalClass', 'FaultAt', 'Scenario', 'find_scenario', 'load_scenario', 'shipped_scenarios')
