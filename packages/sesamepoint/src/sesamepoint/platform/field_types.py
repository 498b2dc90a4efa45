"""Constrained field types that several of the platform's documents share."""

from __future__ import annotations

from typing import Annotated

import msgspec

NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]

__all__ = ('NonEmptyText', 'NonNegativeFloat', 'NonNegativeInt', 'PositiveInt')
