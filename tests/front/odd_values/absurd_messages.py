"""Messages between instances that decode, with each value at the edge of its range, drawn from their types."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from msgspec import inspect, msgpack

from sesamepoint.front.engines.engine_sends import SendUpdate
from sesamepoint.front.peering.message_types import PEER_MESSAGES

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

MAX_INT = 2**63 - 1
FLOATS: tuple[float, ...] = (0, 1.0, -1.0, 1e-300, 1e300, -1e300)
MAX_ITEMS = 3


class AbsurdMessages:
    """Draws messages of all types."""

    def __init__(self, rng: Random, names: tuple[str, ...]) -> None:
        """Draw from ``rng``; texts are ``names`` among others, so that messages concern runners that exist."""
        self._rng = rng
        self._names = names
        self._drawers: dict[type, Callable[[Any], object]] = {
            inspect.IntType: self._draw_int,
            inspect.FloatType: self._draw_float,
            inspect.StrType: self._draw_text,
            inspect.BytesType: lambda kind: b'x' * min(kind.max_length or 20, 20),
            inspect.BoolType: lambda _: bool(rng.getrandbits(1)),
            inspect.NoneType: lambda _: None,
            inspect.EnumType: lambda kind: rng.choice(list(kind.cls)),
            inspect.LiteralType: lambda kind: rng.choice(kind.values),
            inspect.UnionType: lambda kind: self._draw(rng.choice(kind.types)),
            inspect.TupleType: lambda kind: [self._draw(one) for one in kind.item_types],
            inspect.VarTupleType: self._draw_items,
            inspect.NamedTupleType: lambda kind: [self._draw(field.type) for field in kind.fields],
            inspect.StructType: lambda kind: [kind.tag, *(self._draw(field.type) for field in kind.fields)],
        }

    def draw(self, sender: str) -> bytes:
        """Return an encoded message of ``sender``."""
        message_type = self._rng.choice((SendUpdate, *PEER_MESSAGES))
        drawn: Any = self._draw(inspect.type_info(message_type))
        drawn[1] = sender
        return msgpack.encode(drawn)

    def _draw(self, kind: Any) -> object:
        return self._drawers[type(kind)](kind)

    def _draw_int(self, kind: Any) -> int:
        lowest = -MAX_INT if kind.ge is None else kind.ge
        highest = MAX_INT if kind.le is None else kind.le
        if kind.lt is not None:
            highest = kind.lt - 1
        if kind.gt is not None:
            lowest = kind.gt + 1
        return int(self._rng.choice((lowest, highest, min(max(0, lowest), highest), min(lowest + 1, highest))))

    def _draw_float(self, kind: Any) -> float:
        bounds = [bound for bound in (kind.ge, kind.le) if bound is not None]
        allowed = [one for one in FLOATS if (kind.ge is None or one >= kind.ge) and (kind.le is None or one <= kind.le)]
        return float(self._rng.choice([*bounds, *allowed]))

    def _draw_text(self, kind: Any) -> str:
        texts = ('', 'x' * 200, '\u00e9\r\n', *self._names, *self._names)
        least, most = kind.min_length or 0, math.inf if kind.max_length is None else kind.max_length
        fitting = [text for text in texts if least <= len(text) <= most]
        return self._rng.choice(fitting or ['x' * least])

    def _draw_items(self, kind: Any) -> list[object]:
        most = MAX_ITEMS if kind.max_length is None else min(kind.max_length, MAX_ITEMS)
        return [self._draw(kind.item_type) for _ in range(self._rng.randint(kind.min_length or 0, most))]


__all__ = ('AbsurdMessages',)
