"""Size of a request, and its place among the sizes of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# A token of the answer takes an engine about as long as this many tokens of the prompt.
ANSWER_TOKEN_WEIGHT = 10
# Shares of the sizes that are larger than those of the part.
LARGEST_SHARE = 0.1
LARGE_SHARE = 0.3
LARGEST_TENTH = 'largest_tenth'
FIFTH_BELOW = 'fifth_below'
OTHER_SIZES = 'others'


def request_size(tokens: int, answer_tokens: int) -> int:
    """Return the size of a request, in tokens of a prompt.

    Parameters
    ----------
    tokens
        Tokens of the prompt.
    answer_tokens
        Length of the longest answer that the caller accepts.
    """
    return tokens + ANSWER_TOKEN_WEIGHT * answer_tokens


def part_of_sizes(size: int, sizes: Collection[int]) -> str:
    """Return the part that ``size`` belongs to: the largest tenth of ``sizes``, the fifth below it, or the others."""
    larger = sum(other > size for other in sizes)
    if larger < LARGEST_SHARE * len(sizes):
        return LARGEST_TENTH
    return FIFTH_BELOW if larger < LARGE_SHARE * len(sizes) else OTHER_SIZES


__all__ = ('FIFTH_BELOW', 'LARGEST_TENTH', 'OTHER_SIZES', 'part_of_sizes', 'request_size')
