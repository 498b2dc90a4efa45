"""Unwrapping of the exception groups that nurseries raise."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def single_error() -> Iterator[None]:
    """Raise the first error of an exception group instead of the group.

    Nurseries wrap the errors of their tasks in groups, one for each nursery on
    the way; code that handles errors by type needs the error itself.
    """
    try:
        yield
    except BaseExceptionGroup as exc:
        raise _first(exc) from exc


def _first(exc: BaseException) -> BaseException:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


__all__ = ('single_error',)
