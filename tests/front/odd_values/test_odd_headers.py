"""Odd values in headers of callers: each gets an answer, and the next request on a new connection is served."""

from __future__ import annotations

from types import MappingProxyType
from unittest import TestCase

from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import HOST, configuration, fleet, new_prompt_request
from tests.front.odd_values.odd_documents import huge
from tests.front.test_bad_input import send_raw
from tests.virtual_time import in_virtual_time

HEAD = f'POST /tag/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\nSesamepoint-Request-Id: q1\r\n'
PROMPT = MappingProxyType(
    {'Sesamepoint-Model': 'm', 'Sesamepoint-Token-Count': '300,3', 'Sesamepoint-Prompt-Prefix': 'aa:200,bb:100'}
)
NUMBERS = ('nan', 'inf', '-inf', '1e308', '-1', '0', '1_0', '\u0661', huge(30), huge(400), huge(5000), '')
REFUSED_DEADLINES = ('nan', '-nan', 'NaN')


def _odd_headers() -> list[tuple[str, str]]:
    """Return headers with one odd number each."""
    headers = [('Sesamepoint-Deadline-Ms', number) for number in NUMBERS]
    for number in NUMBERS:
        headers += [('Sesamepoint-Token-Count', f'{number},3'), ('Sesamepoint-Token-Count', f'300,{number}')]
        headers += [('Sesamepoint-Prompt-Prefix', f'aa:{number},bb:100'), ('Sesamepoint-Length-Hint', number)]
    return headers


def _status(answer: bytes) -> int:
    """Return the status of a raw answer; 0 if there is none."""
    return int(answer.split(b' ', 2)[1]) if answer.startswith(b'HTTP/1.1 ') else 0


class OddHeadersTest(TestCase):
    """Headers of callers with numbers that no caller means."""

    @in_virtual_time
    async def test_answer_to_any_number(self) -> None:
        """Guards against a connection that ends without an answer since a header holds a number beyond a float."""
        async with open_bench(configuration(), fleet()) as bench:
            for name, text in _odd_headers():
                lines = ''.join(f'{key}: {field}\r\n' for key, field in {**PROMPT, name: text}.items())
                answer = await send_raw(bench, f'{HEAD}{lines}\r\n')
                self.assertTrue(_status(answer), f'{name}: {len(text)}:{text[:8]}')
            answered = await bench.new_caller('front-1').send(new_prompt_request('/tag/a'))
            self.assertEqual(answered.status, 200)

    @in_virtual_time
    async def test_deadline_not_a_number(self) -> None:
        """Guards against a deadline that compares as neither passed nor left."""
        async with open_bench(configuration(), fleet()) as bench:
            for text in REFUSED_DEADLINES:
                answer = await send_raw(bench, f'{HEAD}Sesamepoint-Deadline-Ms: {text}\r\n\r\n')
                self.assertEqual(_status(answer), 400)

    @in_virtual_time
    async def test_prompt_without_tokens(self) -> None:
        """Guards against a prompt of no tokens whose connection ends, since the log divides by its prefill time."""
        async with open_bench(configuration(), fleet()) as bench:
            answer = await send_raw(bench, f'{HEAD}Sesamepoint-Token-Count: 0,3\r\n\r\n')
            self.assertEqual(_status(answer), 200)
