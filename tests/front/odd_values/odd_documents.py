"""Documents with odd values: JSON that no writer of this system makes, as text since encoders refuse most of it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from tests.front.builders import plain_runner

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

DEPTHS = (1000, 100_000)
DIGITS = (20, 30, 400, 5000)
ODD_NUMBERS = ('0', '-1', '4294967296', '9007199254740993', '18446744073709551616', '1e308', '1e999', '-0.5')
_LONE_SURROGATE = r'"\ud800"'
_HEADER_INJECTION = r'"\r\nx: y"'
_PLACEHOLDER = '"odd value"'


def nested(depth: int, bracket: str = '[') -> str:
    """Return lists or objects in each other, as many as ``depth``."""
    opening, closing = ('[', ']') if bracket == '[' else ('{"a":', '}')
    return f'{opening * depth}0{closing * depth}'


def huge(digits: int) -> str:
    """Return a whole number of so many digits."""
    return '9' * digits


def with_value(document: Mapping[str, Any], field: str, text: str) -> bytes:
    """Return ``document`` as JSON, with ``text`` as the value of ``field``."""
    return json.dumps({**document, field: 'odd value'}).replace(_PLACEHOLDER, text).encode()


def odd_texts() -> Iterator[str]:
    """Yield odd values, as JSON."""
    for depth in DEPTHS:
        yield nested(depth)
        yield nested(depth, '{')
    for digits in DIGITS:
        yield huge(digits)
    yield from ODD_NUMBERS
    yield from ('null', '[]', '{}', '""', _LONE_SURROGATE, _HEADER_INJECTION, '"127.0.0.1:99999"', '"127.0.0.1:0"')


def odd_registrations() -> dict[str, bytes]:
    """Return registrations of a plain runner with one odd value each, by a description."""
    sound = plain_runner(9).registration
    fields = ('unknown', *sound, 'born')
    return {
        f'{field} {len(text)}:{text[:12]}': with_value(sound, field, text) for field in fields for text in odd_texts()
    }


__all__ = ('huge', 'nested', 'odd_registrations', 'odd_texts', 'with_value')
