"""A front process without one safeguard, as VARIANT in the environment says.

Run by the soak test only: python -m tests.front.faulty_front front --settings FILE
"""

from __future__ import annotations

import os
import sys
from types import MappingProxyType
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import msgspec

from sesamepoint import cli
from sesamepoint_core import decoding
from sesamepoint_core.body_end.body_facts import BodyFacts
from sesamepoint_core.body_end.decision import BodyEnd, decide_end
from sesamepoint.front.requests import attempt
from tests.front.configurations.variants import CONFIGURATION_VARIANTS

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def _left_over_is_ignored(facts: BodyFacts) -> BodyEnd:
    return decide_end(facts._replace(left_over_bytes=0))


def _catch_too_little(decoder_of: Callable[[Any], Any], document: bytes, document_type: Any) -> Any:
    """Decode as a reader does that lists the errors of its library."""
    try:
        return decoder_of(document_type).decode(document)
    except msgspec.DecodeError as exc:
        raise decoding.UndecodableError(str(exc)) from exc


Patch = tuple[Any, str, Any]
VARIANTS: Mapping[str, tuple[Patch, ...]] = MappingProxyType(
    {
        # It ignores the bytes after the last whole event.
        'half-event': ((attempt, 'decide_end', _left_over_is_ignored),),
        **CONFIGURATION_VARIANTS,
        'catches-too-little': ((decoding, '_decoded', _catch_too_little), (decoding, '_check_depth', len)),
    }
)


def main() -> int:
    """Run the command line and return the exit status."""
    for owner, name, faulty in VARIANTS[os.environ['VARIANT']]:
        patch.object(owner, name, faulty).start()
    return cli.main()


if __name__ == '__main__':
    sys.exit(main())
