"""Taking the one error out of a nursery's exception group."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def single_error() -> Iterator[None]:
    """Raise the first error in a group by itself.

    Nurseries wrap whatever their tasks raise. Those who handle typed errors
    care for the first cause, not for how many nurseries it passed.
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
