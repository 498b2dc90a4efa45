"""Fuzzing within the budget of CI, and faulty variants that the checks must detect."""

from __future__ import annotations

from typing import Any
from unittest import TestCase, mock

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from sesamepoint_core.answer.assembly import Assembler
from sesamepoint.agent.agent import Agent
from sesamepoint.link.messages import AttemptOutcome, RunRequest
from tests.fuzz.machine import Machine, run_program

CI_EXAMPLES = 40
STEPS_PER_PROGRAM = 12
CI_SETTINGS = settings(
    max_examples=CI_EXAMPLES,
    stateful_step_count=STEPS_PER_PROGRAM,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class FuzzTest(TestCase):
    """All guarantees hold under single faults and pairs of faults."""

    def test_promises_under_faults(self) -> None:
        run_state_machine_as_test(Machine, settings=CI_SETTINGS)


class FaultyVariantTest(TestCase):
    """With one safeguard disabled, the checks must report the violated guarantee."""

    def test_resume_runs_again(self) -> None:
        # Failure: the agent is killed during an answer and its successor starts the
        # resumed attempt anew, so a request that may run only once runs twice.
        def refusal(agent: Agent, req: RunRequest) -> None:
            """Refuse nothing."""

        with mock.patch.object(Agent, '_refusal', refusal):
            broken = run_program((('send', 4), ('wait', 0), ('kill_agent', 0), ('kill_agent', 1), ('kill_agent', 2)), 1)
        self.assertIn('at most once: it ran 2 times', broken)

    def test_restarted_agent_denies_attempt(self) -> None:
        # Failure: a restarted agent reports an attempt of its predecessor as not started.
        def refusal(agent: Agent, req: RunRequest) -> tuple[AttemptOutcome, str] | None:
            return None if req.incarnation == agent.incarnation else (AttemptOutcome.not_started, 'denied')

        with mock.patch.object(Agent, '_refusal', refusal):
            broken = run_program((('send', 4), ('wait', 0), ('kill_agent', 0), ('kill_agent', 1), ('kill_agent', 2)), 1)
        self.assertTrue(broken)

    def test_chunks_without_numbers(self) -> None:
        # Failure: chunks are passed on without checking their numbers, so the caller
        # gets some of them twice after a resume.
        def push(assembler: Assembler, number: int, payload: bytes) -> list[bytes]:
            assembler.released += 1
            return [payload]

        program = (('send', 9), ('send', 9), ('wait', 1), ('mute', 0), ('mute', 1), ('mute', 2))
        with mock.patch.object(Assembler, 'push', push), mock.patch.object(Assembler, 'complete', new=True):
            with mock.patch('sesamepoint.entry.attempt.RunRequest', side_effect=_request_from_first_chunk):
                broken = run_program(program, 1)
        self.assertIn('whole answer: a caller got something else', broken)

    def test_keys_expire_too_soon(self) -> None:
        # Failure: idempotency keys expire after a second, so a repeated key runs again.
        program = (('send_key', 0), ('wait', 4), ('send_key', 0), ('wait', 4))
        with mock.patch('sesamepoint_core.keys.claims.KEY_LIFE_S', 1):
            broken = run_program(program, 1)
        self.assertIn('at most once: it ran 2 times', broken)

    def test_role_change_without_drain(self) -> None:
        # Failure: the engine is ordered to change its role while it generates answers.
        async def drained(agent: Agent) -> None:
            """Return without waiting for running answers."""

        with mock.patch.object(Agent, 'drained', drained):
            broken = run_program((('send', 4), ('send', 4), ('send', 4), ('order', 0), ('order', 1), ('order', 2)), 1)
        self.assertTrue([line for line in broken if line.startswith('no planned change')])


def _request_from_first_chunk(*fields: Any) -> RunRequest:
    return RunRequest(*fields)._replace(from_chunk=0)
