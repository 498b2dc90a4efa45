"""A runner that a request was sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sesamepoint_core.serving.poison_requests import Incarnation


class SentRunner(NamedTuple):
    """A runner that a request was sent to, and the version of its software."""

    incarnation: Incarnation
    software_version: str | None


__all__ = ('SentRunner',)
