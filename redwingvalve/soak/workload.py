"""Requests of simulated clients, each with a unique digest.

A prompt or body contains the name of the request, so that the ledgers of the
endpoints show all its runs, wherever and however often it is sent.
"""

import enum
import json
import random
import time
import types
import typing

import attrs

from redwingvalve.standins import generated_text, plain_service

CHAT_PATH = '/v1/chat/completions'
PREFIX_LENGTH = 600


class Kind(enum.StrEnum):
    """The kinds of requests."""

    QUOTE = 'quote'
    FLAG = 'flag'
    NARRATIVE = 'narrative'
    SCAN = 'scan'
    FETCH = 'fetch'


SHARES = types.MappingProxyType(
    {
        Kind.QUOTE: 3,
        Kind.FLAG: 3,
        Kind.NARRATIVE: 4,
        Kind.SCAN: 1,
        Kind.FETCH: 5,
    }
)
TOKENS = types.MappingProxyType(
    {Kind.QUOTE: 12, Kind.NARRATIVE: 30, Kind.SCAN: 150}
)


@attrs.frozen
class Target:
    """The deployment and paths of the fleet under test."""

    deployment: str
    service_prefix: str
    non_idempotent_path: str


@attrs.frozen
class Request:
    """One logical request, regardless of the number of attempts."""

    name: str
    kind: Kind
    method: str
    path: str
    body: bytes
    digest: str
    prompt: str = ''
    max_tokens: int = 0
    poison: bool = False
    made_s: int = attrs.field(factory=lambda: int(time.time()), eq=False)

    @property
    def request_key(self) -> str:
        """Return the request key; keys of flags start with a time.

        Both forms of keys are tested: entries that have just started decide a
        key with a time, but not one without.
        """
        if self.kind == Kind.FLAG:
            return f'at-{self.made_s}-{self.name}'
        return f'key-{self.name}'

    @property
    def idempotent(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.kind not in {Kind.QUOTE, Kind.FLAG}

    @property
    def streamed(self) -> bool:
        """Tell whether the response is streamed."""
        return self.kind in {Kind.NARRATIVE, Kind.SCAN}


def make_request(
    name: str, kind: Kind, target: Target, marker: str = ''
) -> Request:
    """Return a request; with a marker in the prompt, a poison request."""
    if kind is Kind.FLAG:
        body = json.dumps({'flag': name}).encode()
        path = target.non_idempotent_path
        digest = plain_service.call_digest(path, body)
        return Request(name, kind, 'POST', path, body, digest)
    if kind is Kind.FETCH:
        path = f'{target.service_prefix}parts/{name}'
        digest = plain_service.call_digest(path, b'')
        return Request(name, kind, 'GET', path, b'', digest)
    return _make_model_work(name, kind, target, marker)


def _make_model_work(
    name: str, kind: Kind, target: Target, marker: str
) -> Request:
    shared = f'{kind.value} instructions. '.ljust(PREFIX_LENGTH, 'x')
    body: dict[str, typing.Any] = {
        'model': target.deployment,
        'messages': [
            {'role': 'system', 'content': shared},
            {'role': 'user', 'content': f'{marker} work {name}'},
        ],
        'max_tokens': TOKENS[kind],
        'stream': kind is not Kind.QUOTE,
    }
    prompt = generated_text.prompt_text(body)
    return Request(
        name,
        kind,
        'POST',
        CHAT_PATH,
        json.dumps(body).encode(),
        generated_text.prompt_digest(prompt),
        prompt,
        TOKENS[kind],
        bool(marker),
    )


def choose_kind(rng: random.Random) -> Kind:
    """Choose a kind of request, weighted by share."""
    return rng.choices(list(SHARES), list(SHARES.values()))[0]
