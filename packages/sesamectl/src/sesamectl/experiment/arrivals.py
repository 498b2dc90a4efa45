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

ACCOUNT_COUNT = 20


class Arrival(NamedTuple):
    """A request and the time of its arrival, in seconds from the start."""

    at: float
    class_name: str
    request: CallerRequest
    client_retries: int


def arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all arrivals in order of time."""
    found: list[Arrival] = []
    for name, kind in sorted(scenario['classes'].items()):
        found.extend(_class_arrivals(name, kind, scenario['duration_s'], Random(f'{seed} {name}')))
    return sorted(found, key=lambda arrival: arrival.at)


def rate_at(arrival_class: ArrivalClass, at: float) -> float:
    """Return the arrival rate of a class at a time, in requests per second."""
    period_s = arrival_class.get('period_s')
    if period_s is not None:
        at %= period_s
    points = arrival_class['rate']
    for (start, low), (end, high) in pairwise(points):
        if start <= at < end:
            return low + (high - low) * (at - start) / (end - start)
    return points[-1][1]


def _class_arrivals(name: str, arrival_class: ArrivalClass, duration_s: float, rng: Random) -> Iterator[Arrival]:
    """Draw a Poisson process at the highest rate, and thin it to the rate at each time."""
    highest = max(rate for _, rate in arrival_class['rate'])
    at = rng.expovariate(highest)
    number = 0
    while at < duration_s:
        if rng.random() * highest < rate_at(arrival_class, at):
            number += 1
            yield Arrival(
                at, name, _build_request(f'{name} {number}', arrival_class, rng), arrival_class['client_retries']
            )
        at += rng.expovariate(highest)


def _build_request(label: str, arrival_class: ArrivalClass, rng: Random) -> CallerRequest:
    prefix = f'{label[0]}{rng.randrange(arrival_class["prefixes"])}' if arrival_class['prefixes'] else ''
    job = Job(
        kind='engine',
        method='POST',
        path='/v1/completions',
        body=msgspec.json.encode({'prompt': label}),
        prompt_tokens=rng.randint(*arrival_class['prompt_tokens']),
        output_tokens=rng.randint(*arrival_class['output_tokens']),
        urgent=arrival_class['urgent'],
        prefix=prefix,
        prefix_tokens=arrival_class['prefix_tokens'] if prefix else 0,
    )
    return CallerRequest(
        fleet=arrival_class['fleet'],
        job=job,
        timeout_s=arrival_class['timeout_s'],
        repeatable=rng.random() >= arrival_class['not_repeatable'],
        key='',
        account=f'account-{rng.randrange(ACCOUNT_COUNT)}',
        streamed=True,
    )


__all__ = ('Arrival', 'arrivals', 'rate_at')
