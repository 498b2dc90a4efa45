"""Constrained field types that several of the platform's documents share."""

from __future__ import annotations

from typing import Annotated

import msgspec

Text = Annotated[str, msgspec.Meta(min_length=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Measure = Annotated[float, msgspec.Meta(ge=0)]

__all__ = ('Count', 'Measure', 'Positive', 'Text')
