"""The requests of both users' callers, each with a digest of its own.

A prompt or body holds the work's name, so that the ledgers of endpoints tell
which runs belong to it however often and wherever it is sent.
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
    """What the callers of the brief ask for."""

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
    """Where the fleet under test serves what."""

    deployment: str
    service_prefix: str
    non_idempotent_path: str


@attrs.frozen
class Request:
    """One request as its caller means it, however often it is sent."""

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
        """Return the caller's own key; flags carry the time in front.

        Both forms that callers may choose are attacked: a key with a time is
        decided by entries that have just started, one without is not.
        """
        if self.kind == Kind.FLAG:
            return f'at-{self.made_s}-{self.name}'
        return f'key-{self.name}'

    @property
    def idempotent(self) -> bool:
        """Tell whether it may run twice."""
        return self.kind not in {Kind.QUOTE, Kind.FLAG}

    @property
    def streamed(self) -> bool:
        """Tell whether its answer comes as a stream."""
        return self.kind in {Kind.NARRATIVE, Kind.SCAN}


def make_request(
    name: str, kind: Kind, target: Target, marker: str = ''
) -> Request:
    """Return a request; a marker in its prompt makes it a poison request."""
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


def choose_kind(chance: random.Random) -> Kind:
    """Return a kind of request by its share."""
    return chance.choices(list(SHARES), list(SHARES.values()))[0]
