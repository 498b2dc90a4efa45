"""Performance model of the stand-in engine."""

from __future__ import annotations

import zlib
from types import MappingProxyType
from typing import Final, NamedTuple

# Fixed cost of a forward pass: reading the weights, 70 GB at 2.8 TB/s.
BASE_STEP_S: Final = 0.025
# Prefill is compute-bound: at most 6,000 tokens/s.
PREFILL_TOKEN_S: Final = 1 / 6_000
# Time to read the KV cache of one answer in the batch, with about 8,000 tokens
# of context.
DECODE_ANSWER_S: Final = 0.0006
# Time to load the kernels and the memory layout of another role.
ROLE_CHANGE_S: Final = 8.0
# Capacity for cached prefixes, in addition to the running answers.
PREFIX_CACHE_TOKENS: Final = 65_536
# The engine updates the counters of its load report a few times a second.
REPORT_LAG_S: Final = 0.3


class RoleProfile(NamedTuple):
    """Prompt tokens per step and concurrent answers of a role."""

    chunk_tokens: int
    max_running: int


# A larger chunk spreads the fixed cost over more tokens, but delays every answer
# in the batch: 366 ms between tokens at 2,048, 46 ms at 128.
PROFILES: Final = MappingProxyType(
    {
        'prefill': RoleProfile(2048, 8),
        'mixed': RoleProfile(512, 32),
        'decode': RoleProfile(128, 64),
    }
)
# Reported role during a role change.
HALF_SWITCHED: Final = 'half-switched'


def step_s(prefill_tokens: int, running: int) -> float:
    """Return the duration of one forward pass, in seconds."""
    return BASE_STEP_S + prefill_tokens * PREFILL_TOKEN_S + running * DECODE_ANSWER_S


def prefill_rate(role: str, running: int) -> float:
    """Return the prefill rate with ``running`` answers in the batch, in tokens/s."""
    chunk = PROFILES[role].chunk_tokens if role in PROFILES else 0
    return chunk / step_s(chunk, running)


def answer_text(seed: int, start: int, count: int) -> str:
    """Return ``count`` words of the answer that belongs to ``seed``, one per token."""
    return ''.join(f'{seed % 997:03d}.{number} ' for number in range(start, start + count))


def answer_seed(prompt: bytes) -> int:
    """Return the seed of the answer to ``prompt``."""
    return zlib.crc32(prompt)


__all__ = (
    'BASE_STEP_S',
    'HALF_SWITCHED',
    'PREFIX_CACHE_TOKENS',
    'PROFILES',
    'REPORT_LAG_S',
    'ROLE_CHANGE_S',
    'answer_seed',
    'answer_text',
    'prefill_rate',
    'step_s',
)
