"""Records for the operator on the state of an instance."""

from __future__ import annotations

import msgspec


class _Refusal(msgspec.Struct, rename={'refused': 'refused_version', 'in_force': 'version'}):
    refused: int
    in_force: int
    cause: str


def encode_refusal(refused: int, in_force: int, cause: str) -> bytes:
    """Encode that an instance refuses a version, which one it has in force (0: none), and why."""
    return msgspec.json.encode(_Refusal(refused, in_force, cause))


__all__ = ('encode_refusal',)
