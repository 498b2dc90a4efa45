"""Parsing and validation of a configuration document."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING, Any

from pydantic import TypeAdapter, ValidationError

from sesamepoint_core.config.model import ActiveConfiguration, Configuration, FleetConfig
from sesamepoint_core.decoding import decode_json
from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.validation_errors import describe_errors

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint_core.fold.state import State

PARSE_CACHE_SIZE = 8
PRESETS = ('ordinary', 'peak', 'maintenance')
_OptionalDocument: Any = dict[str, Any] | None
_adapter: TypeAdapter[Configuration] = TypeAdapter(Configuration)


class NotConfiguredError(SesamepointError):
    """No configuration was published yet."""

    def __init__(self) -> None:
        """Set the message and the advice to publish a configuration."""
        super().__init__('no configuration is in force', 'publish one with "sesamectl publish"')


@lru_cache(maxsize=PARSE_CACHE_SIZE)
def parse_configuration(document: bytes) -> Configuration:
    """Return the parsed form of a valid configuration document; cached."""
    return _adapter.validate_json(document)


def check_configuration(document: bytes) -> tuple[str, ...]:
    """Return one line for each problem in ``document``; empty if it is valid."""
    try:
        cfg = _adapter.validate_json(document)
    except ValidationError as exc:
        return tuple(describe_errors(exc))
    return tuple(_cross_checks(cfg))


def preset_names(document: bytes) -> tuple[str, ...]:
    """Return the names of the presets that a valid configuration document defines."""
    parsed = decode_json(document, _OptionalDocument)
    return tuple(parsed['presets']) if parsed else ()


def active_configuration(state: State) -> ActiveConfiguration:
    """Return the configuration and preset in force at ``state``.

    Raises
    ------
    NotConfiguredError
        If no configuration was accepted yet.
    """
    if not state.version:
        raise NotConfiguredError
    return ActiveConfiguration(state.version, state.preset, parse_configuration(state.configuration))


def _cross_checks(cfg: Configuration) -> Iterator[str]:
    for missing in sorted(set(PRESETS) - set(cfg['presets'])):
        yield f'presets: {missing!r} is missing; define all of {", ".join(PRESETS)}'
    yield from _check_runners(cfg)
    yield from _check_fleets(cfg)


def _check_runners(cfg: Configuration) -> Iterator[str]:
    seen: dict[str, str] = {}
    for name, runner in cfg['runners'].items():
        if runner['fleet'] not in cfg['fleets']:
            known = ', '.join(sorted(cfg['fleets']))
            yield f'runners.{name}.fleet: no fleet {runner["fleet"]!r}; use one of: {known}'
        first_user = seen.setdefault(runner['agent'], name)
        if first_user != name:
            yield f'runners.{name}.agent: {runner["agent"]} is also the agent of {first_user}; give each runner its own'


def _check_fleets(cfg: Configuration) -> Iterator[str]:
    models: dict[str, str] = {}
    for name, fleet in cfg['fleets'].items():
        yield from _check_fleet(cfg, name, fleet)
        for model in fleet['models']:
            first_user = models.setdefault(model, name)
            if first_user != name:
                yield f'fleets.{name}.models: {model!r} is also served by {first_user}; name it once'


def _check_fleet(cfg: Configuration, name: str, fleet: FleetConfig) -> Iterator[str]:
    size = sum(runner['fleet'] == name for runner in cfg['runners'].values())
    floors = sum(fleet['floors'].values())
    if floors > size:
        yield f'fleets.{name}.floors: they add up to {floors}, the fleet has {size}; lower them'
    if fleet['kind'] == 'engine' and 'engine' not in fleet:
        yield f'fleets.{name}.engine: it is missing; give the measured figures of the engines'
    for runner in sorted(set(fleet['roles']) - set(cfg['runners'])):
        yield f'fleets.{name}.roles.{runner}: no such runner; remove it or add the runner'


__all__ = ('NotConfiguredError', 'active_configuration', 'check_configuration', 'parse_configuration', 'preset_names')
