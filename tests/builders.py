"""Builders of configurations and folded states for tests."""

from __future__ import annotations

from typing import Any

import msgspec

from sesamepoint_core.fold.apply import Step, apply
from sesamepoint_core.fold.records import Body, Publish, encode
from sesamepoint_core.fold.state import State

ZONES = ('hall-thamel', 'hall-patan')


def preset(**changes: Any) -> dict[str, Any]:
    """Return a preset's settings."""
    base = {
        'role_change_weight': 20.0,
        'max_changing': 1,
        'plan_interval_s': 5.0,
        'horizon_s': 120.0,
        'account_rate': 50.0,
        'retry_share': 0.1,
        'small_deadline_share': 1.0,
    }
    return {**base, **changes}


def configuration(size: int = 2, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one fleet of ``size`` engines and three presets."""
    names = [f'verdict-{number}' for number in range(1, size + 1)]
    fleet = {'kind': 'engine', 'models': ['verdict'], 'floors': {}, 'roles': {}, 'engine': engine()}
    base = {
        'deployment': 'boat-bazaar',
        'fleets': {'verdict-llm': fleet},
        'runners': {name: runner(number) for number, name in enumerate(names)},
        'presets': {
            'ordinary': preset(),
            'peak': preset(small_deadline_share=0.5),
            'maintenance': preset(max_changing=0),
        },
    }
    return {**base, **changes}


def engine() -> dict[str, Any]:
    """Return the performance figures of the stand-in engine."""
    return {
        'base_step_s': 0.025,
        'prefill_token_s': 0.000167,
        'decode_answer_s': 0.0006,
        'role_change_s': 8.0,
        'profiles': {
            'prefill': {'chunk_tokens': 2048, 'max_running': 8},
            'mixed': {'chunk_tokens': 512, 'max_running': 32},
            'decode': {'chunk_tokens': 128, 'max_running': 64},
        },
    }


def runner(number: int, **changes: Any) -> dict[str, Any]:
    """Return one runner's configuration."""
    base = {
        'fleet': 'verdict-llm',
        'availability_zone': ZONES[number % len(ZONES)],
        'agent': f'127.0.0.1:{7100 + number}',
        'checks_fencing': True,
        'draining': False,
    }
    return {**base, **changes}


def publish(based_on: int, operator: str = 'asha', **changes: Any) -> Publish:
    """Return a record that publishes a valid configuration based on the version ``based_on``."""
    return Publish(based_on, operator, msgspec.Raw(msgspec.json.encode(configuration(**changes))))


class StateBuilder:
    """Folds records one after another into a state, numbering them per writer."""

    def __init__(self) -> None:
        """Start with the state of an empty log."""
        self.state = State.empty()
        self._serials: dict[str, int] = {}

    def add(self, body: Body, writer: str = 'w') -> Step:
        """Fold ``body`` as the next record of ``writer``."""
        self._serials[writer] = self._serials.get(writer, 0) + 1
        return self.add_payload(encode(writer, self._serials[writer], body))

    def add_payload(self, payload: bytes) -> Step:
        """Fold an encoded record without changing it."""
        step = apply(self.state, self.state.offset + 1, payload)
        self.state = step.state
        return step


__all__ = ('StateBuilder', 'configuration', 'engine', 'preset', 'publish', 'runner')
