"""Types of texts and numbers in documents from other processes, each with its unit and the range that its use bears.

Python's integers have no bound and floats have: a number with 400 digits decodes, and fails where it is divided.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

# Each request in flight at a runner takes a connection, and an instance can open one for each of its ports.
MAX_SLOTS = 65_535
# More than any engine's memory holds.
MAX_TOKENS = 1_000_000_000
# Counters of other systems have 64 bits, signed ones among them.
MAX_COUNTER = 0x7FFFFFFFFFFFFFFF
# A year.
MAX_MILLISECONDS = 31_536_000_000
# No log has more records than this: a thousand per second take 30 years.
MAX_OFFSET = 1_000_000_000_000
# Longest name that is sent on in a header.
MAX_NAME_CHARS = 255

NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
# Sent in a header as it is: visible ASCII. A line end in it would begin another header.
HeaderName = Annotated[str, msgspec.Meta(pattern='^[!-~]+$', max_length=MAX_NAME_CHARS)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
Offset = Annotated[int, msgspec.Meta(ge=0, lt=MAX_OFFSET)]

__all__ = (
    'MAX_MILLISECONDS',
    'MAX_SLOTS',
    'MAX_TOKENS',
    'Counter',
    'HeaderName',
    'Milliseconds',
    'NonEmptyText',
    'NonNegativeFloat',
    'NonNegativeInt',
    'Offset',
    'PositiveInt',
    'Slots',
    'Tokens',
)
