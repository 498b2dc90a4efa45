"""Remote prefills for which this process has no connection left."""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import Mock, patch

import trio

from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, new_prompt_request
from tests.virtual_time import in_virtual_time

REQUESTS = 6


class LocalPrefillFailureTest(TestCase):
    """Prompts that go to a prefill engine first, while no further connection may be opened."""

    @in_virtual_time
    async def test_engine_not_blamed(self) -> None:
        """Guards against ejecting an engine, and counting its answers as lost, for a limit of this process."""
        async with open_bench(configuration(), fleet()) as bench:
            front = bench.fronts['front-1']
            engine = front.fleet.members['i-llm1']
            # One connection of each runner at a time.
            for _ in range(REQUESTS):
                front.fleet.close_idle(REQUESTS)
            no_connection = patch.object(front.room.connections, 'admit_outgoing', return_value=False)
            note_failure = Mock()
            with no_connection, patch.object(engine.health, 'note_failure', note_failure):
                for _ in range(REQUESTS):
                    answer = await bench.new_caller('front-1').send(new_prompt_request('/verdict/a', 3000))
                    self.assertEqual(answer.status, 503)
            note_failure.assert_not_called()
            self.assertEqual(engine.losses.share(trio.current_time()), 0)
