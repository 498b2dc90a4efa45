"""Limits and defaults for the input of callers."""

from __future__ import annotations

from typing import Final

MAX_BODY_BYTES: Final = 1_048_576
MAX_PROMPT_TOKENS: Final = 32_768
MAX_OUTPUT_TOKENS: Final = 4_096
DEFAULT_OUTPUT_TOKENS: Final = 256
MAX_KEY_CHARS: Final = 128
MAX_TIMEOUT_S: Final = 600.0
DEFAULT_TIMEOUT_S: Final = 60.0
CHARS_PER_TOKEN: Final = 4
PREFIX_CHARS: Final = 4_096

__all__ = (
    'CHARS_PER_TOKEN',
    'DEFAULT_OUTPUT_TOKENS',
    'DEFAULT_TIMEOUT_S',
    'MAX_BODY_BYTES',
    'MAX_KEY_CHARS',
    'MAX_OUTPUT_TOKENS',
    'MAX_PROMPT_TOKENS',
    'MAX_TIMEOUT_S',
    'PREFIX_CHARS',
)
