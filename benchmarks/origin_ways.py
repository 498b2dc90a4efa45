"""Ways to let any instance know the version that began a stream, on the same streams and faults.

Run by hand: python -m benchmarks.origin_ways [SEEDS]
"""

from __future__ import annotations

import sys
import time
from random import Random
from typing import NamedTuple

import msgspec

from sesamepoint.front.streams.origin_messages import OriginMessage, OriginQuestion, OriginReply
from sesamepoint_core.stream_origin.holders import ASKED, HOLDERS, HolderChoice
from sesamepoint_core.stream_origin.origin import StreamOrigin, stream_digest

# Ethernet, IP and UDP headers of a datagram, in bytes.
DATAGRAM_BYTES = 42
STREAMS = 4000
# Share of the streams that their callers take up, at any instance.
TAKE_UP_SHARE = 0.1
# Share of the taken-up streams whose instance was killed.
KILLED_SHARE = 0.5
# The versions that serve change after so many streams.
CHANGE_INTERVAL = 400
# Streams between the beginning of a stream and its take-up.
TAKE_UP_LAG = 100


class Fleet(NamedTuple):
    """Number of instances, and streams a second at all of them."""

    instances: int
    rate: float


class WayCost(NamedTuple):
    """Bytes a second at one instance, shares of the take-ups, and milliseconds of processor time a second there."""

    bytes_s: float
    known: float
    wrong: float
    cpu_ms_s: float


FLEETS = (Fleet(5, 130), Fleet(30, 800), Fleet(350, 3700))
# Three words in ten are lost, in a second run of each way.
LOSS = 0.3
ORIGIN = StreamOrigin('verdict-llm', 'v1.1')


def message_bytes() -> tuple[int, int, int]:
    """Return the sizes of a message, a question and an answer, as datagrams."""
    digest = stream_digest('x')
    messages = (
        OriginMessage('front-hall-thamel-1', ORIGIN, (digest,)),
        OriginQuestion('front-hall-thamel-1', 1000, digest, ORIGIN.service),
        OriginReply('front-hall-thamel-1', 1000, ORIGIN, None, 1.234),
    )
    told, asked, answered = (len(msgspec.msgpack.encode(message)) + DATAGRAM_BYTES for message in messages)
    return told, asked, answered


def run_told(fleet: Fleet, loss: float, seed: int, *, told: int, asked: int) -> WayCost:
    """Measure the ways in which ``told`` peers are told and ``asked`` asked."""
    rng = Random(seed)
    names = [f'front-{number}' for number in range(fleet.instances)]
    choice = HolderChoice()
    take_ups, known, asks = 0, 0, 0
    began = time.process_time()
    for number in range(STREAMS):
        digest = stream_digest(f'{seed} {number}')
        owner = rng.choice(names)
        peers = [name for name in names if name != owner]
        holders = [one for one in choice.first(digest, peers, told) if rng.random() >= loss]
        if rng.random() >= TAKE_UP_SHARE:
            continue
        take_ups += 1
        knowing = {*holders, owner}
        left = names
        if rng.random() < KILLED_SHARE:
            knowing.discard(owner)
            left = peers
        taker = rng.choice(left)
        if taker in knowing:
            known += 1
            continue
        asks += 1
        others = [name for name in left if name != taker]
        answers = (one for one in choice.first(digest, others, asked) if one in knowing)
        # A question is sent twice within its time.
        known += any(rng.random() < 1 - (1 - (1 - loss) ** 2) ** 2 for _ in answers)
    cpu_ms = (time.process_time() - began) * 1000 / STREAMS
    told_bytes, asked_bytes, answer_bytes = message_bytes()
    of_stream = 2 * min(told, fleet.instances - 1) * told_bytes
    of_ask = 2 * min(asked, fleet.instances - 1) * (asked_bytes + answer_bytes)
    per_stream = of_stream + of_ask * asks / STREAMS
    rate = fleet.rate / fleet.instances
    return WayCost(per_stream * rate, known / take_ups, 0, cpu_ms * rate)


def run_function(fleet: Fleet, seed: int) -> WayCost:
    """Measure the way in which the version is a function of the stream's id and the versions that serve."""
    rng = Random(seed)
    take_ups, wrong = 0, 0
    sets = [tuple(rng.sample(('v1', 'v2', 'v3'), 2)) for _ in range(STREAMS // CHANGE_INTERVAL + 2)]
    choice = HolderChoice()
    began = time.process_time()
    for number in range(STREAMS):
        digest = stream_digest(f'{seed} {number}')
        if rng.random() >= TAKE_UP_SHARE:
            continue
        take_ups += 1
        before, after = sets[number // CHANGE_INTERVAL], sets[(number + TAKE_UP_LAG) // CHANGE_INTERVAL]
        wrong += choice.first(digest, before, 1) != choice.first(digest, after, 1)
    cpu_ms = (time.process_time() - began) * 1000 / STREAMS
    return WayCost(0, 1 - wrong / take_ups, wrong / take_ups, cpu_ms * fleet.rate / fleet.instances)


def main() -> None:
    """Print a row for each way, fleet and loss."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    for fleet in FLEETS:
        for loss in (0, LOSS):
            all_told = fleet.instances - 1
            ways = {
                'all told': [run_told(fleet, loss, seed, told=all_told, asked=ASKED) for seed in range(seeds)],
                'three told, six asked': [
                    run_told(fleet, loss, seed, told=HOLDERS, asked=ASKED) for seed in range(seeds)
                ],
                'two told, six asked': [run_told(fleet, loss, seed, told=2, asked=ASKED) for seed in range(seeds)],
                'function of the id': [run_function(fleet, seed) for seed in range(seeds)],
                'nothing known': [WayCost(0, 0, 0, 0)],
            }
            for way, costs in ways.items():
                mean = [sum(column) / len(costs) for column in zip(*costs, strict=True)]
                sys.stdout.write(
                    f'{fleet.instances:4} instances, loss {loss:.1f}: {way:22} {mean[0] / 1000:8.2f} kB/s '
                    f'known {mean[1]:.4f} wrong {mean[2]:.4f} cpu {mean[3]:6.2f} ms/s\n'
                )


if __name__ == '__main__':
    main()
