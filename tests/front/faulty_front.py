"""A front process without one safeguard: it ignores the bytes after the last whole event.

Run by the soak test only: python -m tests.front.faulty_front front --settings FILE
"""

from __future__ import annotations

import sys
from unittest.mock import patch

from sesamepoint import cli
from sesamepoint_core.body_end.body_facts import BodyFacts
from sesamepoint_core.body_end.decision import BodyEnd, decide_end
from sesamepoint.front.requests import attempt


def _left_over_is_ignored(facts: BodyFacts) -> BodyEnd:
    return decide_end(facts._replace(left_over_bytes=0))


def main() -> int:
    """Run the command line and return the exit status."""
    with patch.object(attempt, 'decide_end', _left_over_is_ignored):
        return cli.main()


if __name__ == '__main__':
    sys.exit(main())
