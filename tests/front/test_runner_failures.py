"""Runner failures and the answers that callers get."""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint.front.http_handler import HttpHandler
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from sesamepoint_standins.platform.runner_state import Run
from tests.front.builders import configuration, engine, fleet, new_prompt_request, new_request, plain_runner
from tests.virtual_time import in_virtual_time


def runs_of(bench: PlatformBench, request_id: str) -> list[Run]:
    """Return the runs of one request at all runners, except prefill-only runs."""
    return [
        run
        for runner in bench.runners.values()
        for run in runner.runs
        if run.request_id == request_id and not run.prefill
    ]


async def _never_detect_disconnect(*_: object) -> None:
    await trio.sleep_forever()


class PlainRunnerFailureTest(TestCase):
    """Runners of plain services."""

    @in_virtual_time
    async def test_reset_not_repeatable(self) -> None:
        """Guards against a second run of a non-idempotent request after a connection reset.

        Whether it ran is unknown. The caller gets 502, which claims neither,
        and no second runner gets the request.
        """
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)]) as bench:
            for runner in bench.runners.values():
                runner.faults.breaks_before_answer = True
            req = new_request('/card/a')
            self.assertEqual((await bench.new_caller('front-1').send(req)).status, 502)
            self.assertEqual(len(runs_of(bench, req.request_id)), 1)

    @in_virtual_time
    async def test_reset_repeatable(self) -> None:
        """The first runner resets the connection; the second answers in its place."""
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)]) as bench:
            bench.runners['i-web1'].faults.breaks_before_answer = True
            bench.runners['i-web1'].zone = 'z1'
            for _ in range(4):
                req = new_request('/thumb/a')
                self.assertEqual((await bench.new_caller('front-1').send(req)).body, req.expected_body)

    @in_virtual_time
    async def test_reject_not_repeatable(self) -> None:
        """All runners reject the request and report that they did not run it.

        The caller gets 503, which says that it has not run, and a retry-after time.
        """
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)]) as bench:
            for runner in bench.runners.values():
                runner.faults.rejects = True
            req = new_request('/card/a')
            seen = await bench.new_caller('front-1').send(req)
            self.assertEqual(seen.status, 503)
            self.assertIsNotNone(seen.retry_after_s)
            self.assertEqual(runs_of(bench, req.request_id), [])

    @in_virtual_time
    async def test_reset_then_reject(self) -> None:
        """Guards against a 503 that wrongly claims that the request has not run.

        The first runner resets the connection and may have run the request;
        the second rejects it. The rejection holds for the second runner only.
        """
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)]) as bench:
            bench.runners['i-web1'].faults.breaks_before_answer = True
            bench.runners['i-web2'].faults.rejects = True
            statuses = {(await bench.new_caller('front-1').send(new_request('/thumb/a'))).status for _ in range(4)}
            self.assertEqual(statuses, {502})

    @in_virtual_time
    async def test_refusal_status_after_run(self) -> None:
        """Guards against a second run of a non-idempotent request, sent again by its caller after a 503.

        The runner runs the request and answers with a status of a refusal, without the header that
        reports that nothing ran. The caller gets 502, which claims neither.
        """
        for status in (408, 429, 503):
            async with open_bench(configuration(), [plain_runner(1)]) as bench:
                faults = bench.runners['i-web1'].faults
                faults.fails = True
                faults.failure_status = status
                req = new_request('/card/a')
                seen = await bench.new_caller('front-1').send(req)
                self.assertEqual((seen.status, seen.has_signature), (502, False))
                self.assertEqual(len(runs_of(bench, req.request_id)), 1)

    @in_virtual_time
    async def test_unsigned_success(self) -> None:
        """A successful answer that no runner signed is not passed on."""
        async with open_bench(configuration(), [plain_runner(1)]) as bench:
            bench.runners['i-web1'].faults.unsigned = True
            seen = await bench.new_caller('front-1').send(new_request('/card/a'))
            self.assertEqual((seen.status, seen.has_signature), (502, False))

    @in_virtual_time
    async def test_second_answer_dropped(self) -> None:
        """Guards against an answer that is delivered to the next request on a kept-alive connection.

        The runner sends a second answer after each complete one. Each caller
        gets the complete answer to its own request.
        """
        async with open_bench(configuration(), [plain_runner(1)]) as bench:
            bench.runners['i-web1'].faults.answers_twice = True
            caller = bench.new_caller('front-1')
            for _ in range(5):
                req = new_request('/card/a')
                self.assertEqual((await caller.send(req)).body, req.expected_body)

    @in_virtual_time
    async def test_hang_repeatable(self) -> None:
        """One runner accepts requests and never answers; the other serves them, late."""
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)]) as bench:
            bench.runners['i-web1'].faults.hangs = True
            for _ in range(4):
                req = new_request('/thumb/a')
                self.assertEqual((await bench.new_caller('front-1').send(req)).body, req.expected_body)

    @in_virtual_time
    async def test_hang_answered_at_timeout(self) -> None:
        """No runner answers: the caller gets 504 at the route's time-out, not later."""
        async with open_bench(configuration(), [plain_runner(1)]) as bench:
            bench.runners['i-web1'].faults.hangs = True
            seen = await bench.new_caller('front-1').send(new_request('/card/a', deadline_s=9.0))
            self.assertEqual(seen.status, 504)
            self.assertAlmostEqual(seen.took_s, 1.0, delta=0.1)

    @in_virtual_time
    async def test_address_reused(self) -> None:
        """Guards against a request that runs at another service, which took over a runner's address.

        The request names the incarnation that it is meant for, so the other
        service answers 421 and does not run it.
        """
        async with open_bench(configuration(), [plain_runner(1)]) as bench:
            other = plain_runner(1, service='other')
            bench.network.listen(other.address, other.serve)
            seen = await bench.new_caller('front-1').send(new_request('/card/a'))
            self.assertEqual(seen.status, 503)
            self.assertEqual(other.runs, [])

    @in_virtual_time
    async def test_retries_bounded(self) -> None:
        """Guards against retries that double the load while every runner fails every request.

        The retry budget allows its reserve once, and then a fifth of the requests.
        """
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)]) as bench:
            for runner in bench.runners.values():
                runner.faults.fails = True
            for _ in range(300):
                await bench.new_caller('front-1').send(new_request('/thumb/a'))
            arrivals = len([run for standin in bench.runners.values() for run in standin.runs])
            self.assertLessEqual(arrivals, 300 + 50 + 300 * 0.2 + 1)
            self.assertGreater(arrivals, 300 + 30)


class StreamFailureTest(TestCase):
    """Engines that fail in the middle of an answer."""

    @in_virtual_time
    async def test_stream_resumed(self) -> None:
        """Guards against lost, repeated or cut events when an engine breaks off a resumable stream within an event.

        The caller gets each event once and complete; another engine sends the rest.
        """
        async with open_bench(configuration(), [engine(1, 'decode'), engine(2, 'decode')]) as bench:
            for runner in bench.runners.values():
                runner.faults.breaks_at_event = 3
            req = new_prompt_request('/tag/a', output=4)
            seen = await bench.new_caller('front-1').send(req)
            self.assertEqual((seen.status, seen.body, seen.complete), (200, req.expected_body, True))

    @in_virtual_time
    async def test_stream_not_resumable(self) -> None:
        """Guards against a broken stream that looks complete, and against a second run of it.

        An engine breaks off a stream that must not be resumed. The connection
        ends without the end marker, and no other engine runs the request.
        """
        async with open_bench(configuration(), [engine(1, 'decode'), engine(2, 'decode')]) as bench:
            for runner in bench.runners.values():
                runner.faults.breaks_at_event = 3
            req = new_prompt_request('/verdict/a', output=4)
            seen = await bench.new_caller('front-1').send(req)
            self.assertEqual((seen.status, seen.complete), (200, False))
            self.assertTrue(req.expected_body.startswith(seen.body))
            self.assertEqual(len(runs_of(bench, req.request_id)), 1)

    @in_virtual_time
    async def test_retry_runs_whole(self) -> None:
        """Guards against a second remote prefill when an answer breaks off after the first one.

        Another remote prefill would be a send beyond the retry budget. The
        second engine prefills the prompt itself.
        """
        async with open_bench(configuration(), fleet()) as bench:
            bench.runners['i-llm2'].faults.breaks_at_event = 2
            req = new_prompt_request('/tag/a', tokens=9000)
            self.assertEqual((await bench.new_caller('front-1').send(req)).body, req.expected_body)
            arrivals = [run.prefill for standin in bench.runners.values() for run in standin.runs]
            self.assertEqual(sorted(arrivals), [False, False, True])

    @in_virtual_time
    async def test_prefill_engine_unreachable(self) -> None:
        """The prefill engine accepts no connections; other engines prefill and answer."""
        async with open_bench(configuration(), fleet()) as bench:
            bench.network.close(bench.runners['i-llm1'].address)
            req = new_prompt_request('/verdict/a', tokens=6000)
            self.assertEqual((await bench.new_caller('front-1').send(req)).body, req.expected_body)


class CallerDisconnectTest(TestCase):
    """Callers that disconnect before their answer."""

    @in_virtual_time
    async def test_disconnect_ends_run(self) -> None:
        """Guards against a run that goes on at the runner after its caller has disconnected."""
        async with open_bench(configuration(), [engine(1, 'decode')]) as bench:
            left_at = trio.current_time() + 0.3
            await bench.new_caller('front-1').send(new_prompt_request('/tag/a', output=500, deadline_s=0.3))
            await trio.sleep(0.5)
            run = bench.runners['i-llm1'].runs[0]
            self.assertFalse(run.complete)
            self.assertLess((run.ended_at or 0) - left_at, 0.1)

    @in_virtual_time
    async def test_disconnect_before_watcher_runs(self) -> None:
        """Guards against requests that are sent for callers that have disconnected, while the process is busy.

        The task that watches a connection may run late: requests were sent for
        callers whose close had arrived half a second before. So each send
        checks the caller's connection itself.
        """
        with patch.object(HttpHandler, '_cancel_on_disconnect', _never_detect_disconnect):
            await self._disconnect_while_queued()

    @in_virtual_time
    async def test_disconnect_while_queued(self) -> None:
        """Guards against queued requests that are sent after their callers have disconnected."""
        await self._disconnect_while_queued()

    async def _disconnect_while_queued(self) -> None:
        async with open_bench(configuration(), [engine(1, 'decode')]) as bench:
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    shared = (f'x{number}', 10)
                    req = new_prompt_request('/verdict/a', 4000, shared, deadline_s=9.0, first_limit_s=0.06)
                    nursery.start_soon(bench.new_caller('front-1').send, req)
            arrived = len(bench.runners['i-llm1'].runs)
            await trio.sleep(5)
            self.assertEqual(len(bench.runners['i-llm1'].runs), arrived)
            self.assertLess(arrived, 20)
