"""Arrivals of a scenario, which depend on its seed only, not on the policy."""

from __future__ import annotations

from itertools import pairwise
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint.entry.request import CallerRequest
from sesamepoint.link.messages import Job

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamectl.experiment.scenario import ArrivalClass, Scenario

ACCOUNTS = 20


class Arrival(NamedTuple):
    """A request and the time of its arrival, in seconds from the start."""

    at: float
    name: str
    req: CallerRequest
    client_retries: int


def arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all arrivals in order of time."""
    found: list[Arrival] = []
    for name, kind in sorted(scenario['classes'].items()):
        found.extend(_of_class(name, kind, scenario['duration_s'], Random(f'{seed} {name}')))
    return sorted(found, key=lambda arrival: arrival.at)


def rate_at(kind: ArrivalClass, at: float) -> float:
    """Return the arrival rate of a class at a time, in requests per second."""
    period_s = kind.get('period_s')
    if period_s is not None:
        at %= period_s
    points = kind['rate']
    for (start, low), (end, high) in pairwise(points):
        if start <= at < end:
            return low + (high - low) * (at - start) / (end - start)
    return points[-1][1]


def _of_class(name: str, kind: ArrivalClass, duration_s: float, rng: Random) -> Iterator[Arrival]:
    """Draw a Poisson process at the highest rate, and thin it to the rate at each time."""
    highest = max(rate for _, rate in kind['rate'])
    at = rng.expovariate(highest)
    number = 0
    while at < duration_s:
        if rng.random() * highest < rate_at(kind, at):
            number += 1
            yield Arrival(at, name, _request(f'{name} {number}', kind, rng), kind['client_retries'])
        at += rng.expovariate(highest)


def _request(label: str, kind: ArrivalClass, rng: Random) -> CallerRequest:
    prefix = f'{label[0]}{rng.randrange(kind["prefixes"])}' if kind['prefixes'] else ''
    job = Job(
        kind='engine',
        method='POST',
        path='/v1/completions',
        body=msgspec.json.encode({'prompt': label}),
        prompt_tokens=rng.randint(*kind['prompt_tokens']),
        output_tokens=rng.randint(*kind['output_tokens']),
        urgent=kind['urgent'],
        prefix=prefix,
        prefix_tokens=kind['prefix_tokens'] if prefix else 0,
    )
    return CallerRequest(
        fleet=kind['fleet'],
        job=job,
        timeout_s=kind['timeout_s'],
        repeatable=rng.random() >= kind['not_repeatable'],
        key='',
        account=f'account-{rng.randrange(ACCOUNTS)}',
        streamed=True,
    )


__all__ = ('Arrival', 'arrivals', 'rate_at')
