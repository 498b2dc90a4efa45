"""A request that ends each engine that runs it, asked again at any instance.

Seen: four engines at a time ended within half a second, again and again over a minute, and for two to three
seconds after each time no request with a prompt was served. Under one request fifteen engines ended; five to eight of
these sends came when three engines had long ended under it.
How: an engine ends 0.1 s after it begins to run the request, with all that it runs beside it. The instance sends
the request once more, to a second engine. The caller comes back, to another instance, which knows nothing of it.
Cause: instances remembered which engines fail, but not under which request; a request's history ended with its answer.
Proof: the same content at each engine that ended, whatever instance sent it and in whatever form, a tenth of a second
after each send; engines that only read prompts, and did not get it to run, stayed up all the time.
"""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_standins.platform.bed import running_bed
from tests.front.builders import configuration, engine
from tests.front.harmful import SENT_LATER, all_end_on_it, ask_all, harmful_prompt, sent_later
from tests.virtual import virtual

FRONTS = 4
ENGINES = 6
# Engines are back when the caller comes again.
PAUSE_S = 4.0
TIMES = 8


class HarmfulRequestTest(TestCase):
    """What reaches engines of a request that ends them."""

    @virtual
    async def test_asked_again_at_each_instance(self) -> None:
        """A caller asks again and again, each time at the next instance.

        All instances know what befell the engines at the others: they send the
        request at most three times more.
        """
        engines = all_end_on_it(engine(number, 'decode') for number in range(1, ENGINES + 1))
        async with running_bed(configuration(), engines, fronts=FRONTS) as bed:
            for number in range(TIMES):
                await bed.caller(f'front-{number % FRONTS + 1}').ask(harmful_prompt())
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(sent_later(bed), SENT_LATER)

    @virtual
    async def test_asked_at_the_same_moment(self) -> None:
        """The request comes to all instances at the same moment, and so again when the engines are back."""
        engines = all_end_on_it(engine(number, 'decode') for number in range(1, ENGINES + 1))
        async with running_bed(configuration(), engines, fronts=FRONTS) as bed:
            for _ in range(TIMES // 2):
                await ask_all(bed, bed.fronts, harmful_prompt())
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(sent_later(bed), SENT_LATER)
