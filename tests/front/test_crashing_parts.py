"""A part of a prompt that ends each runner which begins to write an answer on it, in requests that are all new.

A caller's request with such a part ends its runner after some 0.1 s, with all requests beside it; it is sent once
more and ends a second one. Ends were remembered by the content of the whole request, and no content came twice, so
each new request with the part ended the engines that had just come back, and sound requests found none.
"""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_standins.virtual_time import run_virtual
from tests.front.crashing_parts import play

# A trial of the part comes ten seconds after its verdict; six seconds later sound requests are counted again.
HARMFUL_S = 20.0


class CrashingPartTest(TestCase):
    """The users' bounds while requests with a harmful part arrive."""

    def test_new_requests_with_one_part(self) -> None:
        """Guards against requests that end runner after runner by a part of their prompts, each with a new content."""
        self.assertEqual(run_virtual(play, 1, HARMFUL_S, seed=1).violations(), [])
