"""The numbers of the stand-in engine and why they are what they are."""

from __future__ import annotations

import zlib
from types import MappingProxyType
from typing import Final, NamedTuple

# A forward pass has a cost that does not depend on its batch: reading the
# weights. 25 ms is that of a model of some 70 GB on 2.8 TB/s of memory.
BASE_STEP_S: Final = 0.025
# Prefill is bound by arithmetic: 6,000 tokens a second at best.
PREFILL_TOKEN_S: Final = 1 / 6_000
# Each answer in the batch reads its own KV cache: 0.6 ms for some 8,000
# tokens of context.
DECODE_ANSWER_S: Final = 0.0006
# Loading another role's kernels and memory layout takes seconds.
ROLE_CHANGE_S: Final = 8.0
# Room for cached prefixes, in tokens, beside the running answers.
PREFIX_CACHE_TOKENS: Final = 65_536
# A report is read from counters that the engine writes a few times a second.
REPORT_LAG_S: Final = 0.3


class Profile(NamedTuple):
    """What a role sets: prompt tokens per step, and answers at once."""

    chunk_tokens: int
    max_running: int


# A large chunk spends little on the fixed cost, but every answer in the
# batch waits for it: 366 ms between tokens at 2,048, 46 ms at 128.
PROFILES: Final = MappingProxyType(
    {
        'prefill': Profile(2048, 8),
        'mixed': Profile(512, 32),
        'decode': Profile(128, 64),
    }
)
HALF_SWITCHED: Final = 'half-switched'


def step_s(prefill_tokens: int, running: int) -> float:
    """Return the seconds of one forward pass."""
    return BASE_STEP_S + prefill_tokens * PREFILL_TOKEN_S + running * DECODE_ANSWER_S


def prefill_rate(role: str, running: int) -> float:
    """Return prompt tokens a second with ``running`` answers beside."""
    chunk = PROFILES[role].chunk_tokens if role in PROFILES else 0
    return chunk / step_s(chunk, running)


def answer_text(seed: int, start: int, count: int) -> str:
    """Return ``count`` words of the answer that ``seed`` determines."""
    return ''.join(f'{seed % 997:03d}.{number} ' for number in range(start, start + count))


def seed_of(prompt: bytes) -> int:
    """Return the seed that a prompt's answer is made from."""
    return zlib.crc32(prompt)


__all__ = (
    'BASE_STEP_S',
    'HALF_SWITCHED',
    'PREFIX_CACHE_TOKENS',
    'PROFILES',
    'REPORT_LAG_S',
    'ROLE_CHANGE_S',
    'answer_text',
    'prefill_rate',
    'seed_of',
    'step_s',
)
