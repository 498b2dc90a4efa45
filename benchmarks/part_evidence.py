"""Processor time of the look at the parts of a prompt, and bytes between instances at an end.

Run by hand: python -m benchmarks.part_evidence
"""

from __future__ import annotations

import sys
from timeit import timeit

import msgspec

from sesamepoint.front.peering.peer_messages import SuspectUpdate
from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
from sesamepoint_core.crash_attribution.evidence import PartAnswer, PartEnd, scope_of
from sesamepoint_core.crash_attribution.part_quarantine import PartVerdict
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint_core.serving.prompt import Part

LOOKS = 100_000
US_PER_S = 1e6
INSTANCES = (30, 350)
PACKET_HEADER_BYTES = 42
SCOPE = scope_of('verdict-llm', 'm', 'v1')


def _ends(number: int) -> tuple[PartEnd, ...]:
    return tuple(PartEnd(f'{index:08x}', 410, Incarnation('i-7f3a91c2', 0), SCOPE, True) for index in range(number))


def main() -> None:
    """Print the figures."""
    suspects = CrashSuspects()
    parts = (Part('5c1e07a2', 800), Part('91bd3f06', 410))
    for number in range(1000):
        suspects.parts.note_answered((Part(f'known{number}', 1),), SCOPE)
    look_s = timeit(lambda: (suspects.suspect_parts(parts), suspects.quarantined_parts(parts)), number=LOOKS)
    answer_s = timeit(lambda: suspects.parts.note_answered(parts, SCOPE), number=LOOKS)
    sys.stdout.write(f'look before a send {look_s / LOOKS * US_PER_S:.2f} us\n')
    sys.stdout.write(f'after a whole answer {answer_s / LOOKS * US_PER_S:.2f} us\n')
    messages = {
        'an end, one candidate, to all': SuspectUpdate('front-hall-thamel-1', part_ends=_ends(1)),
        'a part that was answered, from each peer that knows': SuspectUpdate(
            'front-hall-thamel-1', parts_answered=(PartAnswer('5c1e07a2', 800, SCOPE),)
        ),
        'a verdict, to all': SuspectUpdate(
            'front-hall-thamel-1', harmful_parts=(PartVerdict('00000000', ends=_ends(3)),)
        ),
    }
    for name, message in messages.items():
        size = len(msgspec.msgpack.encode(message)) + PACKET_HEADER_BYTES
        totals = ', '.join(f'{size * (count - 1)} B at {count} instances' for count in INSTANCES)
        sys.stdout.write(f'{name}: {size} B, {totals}\n')


if __name__ == '__main__':
    main()
