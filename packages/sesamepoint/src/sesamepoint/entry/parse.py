"""Parsing and validation of callers' HTTP requests."""

from __future__ import annotations

import hashlib
import math
from types import MappingProxyType
from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec

from sesamepoint_core.admit import input_limits
from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.units import MS_PER_S
from sesamepoint.entry.request import CallerRequest
from sesamepoint.link.messages import Job

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint.entry.fleets import Fleets

PRIORITIES = MappingProxyType({'main': True, 'small': False})
REPEATABLE_VALUES = MappingProxyType({'true': True, 'false': False})
SERVICES_PATH = '/services/'
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE'))


class BadRequestError(SesamepointError):
    """Raised for an invalid request; it is not sent to any upstream."""

    def __init__(self, code: str, found: str, remedy: str) -> None:
        """Store the machine-readable code along with the message."""
        super().__init__(found, remedy)
        self.code = code


class RawRequest(NamedTuple):
    """HTTP request before validation; header names are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class CompletionBody(msgspec.Struct):
    """Fields of an OpenAI-style completion request that are used here."""

    model: str
    prompt: str
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=input_limits.MAX_OUTPUT_TOKENS)] = (
        input_limits.DEFAULT_OUTPUT_TOKENS
    )
    stream: bool = False


def parse_completion(raw: RawRequest, fleets: Fleets) -> CallerRequest:
    """Parse and validate a completion request.

    Raises
    ------
    BadRequestError
        For the first fault found, with a code and a remedy.
    """
    body = _completion_body(raw.body)
    fleet = fleets.fleet_of_model(body.model)
    if fleet is None:
        raise BadRequestError('unknown_model', f'no fleet serves the model {body.model!r}', 'name a configured model')
    prompt_tokens = math.ceil(len(body.prompt) / input_limits.CHARS_PER_TOKEN)
    if prompt_tokens > input_limits.MAX_PROMPT_TOKENS:
        raise BadRequestError(
            'prompt_too_long',
            f'the prompt has about {prompt_tokens} tokens',
            f'send at most {input_limits.MAX_PROMPT_TOKENS}',
        )
    urgent = _parse_choice(raw.headers, 'x-priority', PRIORITIES, default=True)
    job = Job(
        'engine', raw.method, raw.path, raw.body, prompt_tokens, body.max_tokens, urgent, *_prompt_prefix(body.prompt)
    )
    return _make_request(raw, fleet, job, streamed=body.stream)


def parse_plain(raw: RawRequest, fleets: Fleets) -> CallerRequest:
    """Parse and validate a call to a plain service: ``/services/FLEET/PATH``.

    Raises
    ------
    BadRequestError
        For the first fault found, with a code and a remedy.
    """
    name, slash, path = raw.path.removeprefix(SERVICES_PATH).partition('/')
    fleet = fleets.fleet(name)
    if fleet is None or fleet['kind'] != 'plain':
        raise BadRequestError('unknown_service', f'there is no plain service {name!r}', 'name a configured fleet')
    urgent = _parse_choice(raw.headers, 'x-priority', PRIORITIES, default=False)
    job = Job('plain', raw.method, slash + path, raw.body, 0, 0, urgent, '', 0)
    return _make_request(raw, name, job, streamed=False)


def _completion_body(body: bytes) -> CompletionBody:
    try:
        return decode_json(body, CompletionBody)
    except UndecodableError as exc:
        if isinstance(exc.__cause__, msgspec.ValidationError):
            raise BadRequestError('bad_field', exc.problem, 'mend that field') from exc
        raise BadRequestError('not_json', f'the body is not JSON: {exc.problem}', 'send a JSON object') from exc


def _make_request(raw: RawRequest, fleet: str, job: Job, *, streamed: bool) -> CallerRequest:
    key = raw.headers.get('idempotency-key', '')
    if len(key) > input_limits.MAX_KEY_CHARS:
        raise BadRequestError('key_too_long', f'the idempotency key has {len(key)} characters', 'use at most 128')
    safe = job.kind == 'engine' or job.method in IDEMPOTENT_METHODS
    repeatable = _parse_choice(raw.headers, 'x-repeatable', REPEATABLE_VALUES, default=safe)
    account = raw.headers.get('x-account', 'anonymous')
    return CallerRequest(fleet, job, _parse_timeout_s(raw.headers), repeatable, key, account, streamed)


def _parse_timeout_s(headers: Mapping[str, str]) -> float:
    text = headers.get('x-timeout-ms')
    if text is None:
        return input_limits.DEFAULT_TIMEOUT_S
    try:
        timeout_s = int(text) / MS_PER_S
    except ValueError as exc:
        raise BadRequestError('bad_timeout', f'x-timeout-ms is {text!r}', 'send whole milliseconds') from exc
    if timeout_s <= 0:
        raise BadRequestError('deadline_past', f'x-timeout-ms is {text}', 'send the time that is left, above 0')
    return min(timeout_s, input_limits.MAX_TIMEOUT_S)


def _parse_choice(headers: Mapping[str, str], name: str, choices: Mapping[str, bool], *, default: bool) -> bool:
    text = headers.get(name)
    if text is None:
        return default
    if text not in choices:
        raise BadRequestError('bad_header', f'{name} is {text!r}', f'send one of: {", ".join(choices)}')
    return choices[text]


def _prompt_prefix(prompt: str) -> tuple[str, int]:
    if len(prompt) < input_limits.PREFIX_CHARS:
        return '', 0
    head = prompt[: input_limits.PREFIX_CHARS].encode(errors='replace')
    return hashlib.blake2b(head, digest_size=8).hexdigest(), input_limits.PREFIX_CHARS // input_limits.CHARS_PER_TOKEN


__all__ = ('SERVICES_PATH', 'BadRequestError', 'RawRequest', 'parse_completion', 'parse_plain')
