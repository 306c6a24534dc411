"""Records the events delivered to a caller, so that a stream can resume."""

import json
import typing

import attrs

from redwingvalve.entry import response_check

DATA_FIELD = b'data:'


@attrs.define
class DeliveredEvents:
    """The events written to the caller by all attempts.

    They are stored as bytes and parsed only if a stream breaks: parsing each
    token would cost more than relaying it. recorded is false for requests that
    are never resumed; their events are only counted.
    """

    recorded: bool
    count: int = 0
    _events: bytearray = attrs.field(factory=bytearray)

    def add(self, events: list[bytes]) -> None:
        """Add delivered events."""
        self.count += len(events)
        if self.recorded:
            for event in events:
                self._events += event

    def parse(self) -> 'DeliveredText':
        """Return the delivered tokens and whether the answer was finished."""
        tokens: list[str] = []
        ended = False
        for event in bytes(self._events).split(response_check.EVENT_END):
            if not event:
                continue
            choice = _choice(json.loads(event[len(DATA_FIELD) :]))
            text = choice.get('text') or choice.get('delta', {}).get('content')
            if text:
                tokens.append(text)
            ended = ended or choice.get('finish_reason') is not None
        return DeliveredText(tuple(tokens), ended)


@attrs.frozen
class DeliveredText:
    """Tokens in order; ended means that a finish reason was delivered."""

    tokens: tuple[str, ...]
    ended: bool


def _choice(parsed: dict[str, typing.Any]) -> dict[str, typing.Any]:
    choices = parsed.get('choices') or [{}]
    return choices[0]


def is_resumable(fields: dict[str, typing.Any]) -> bool:
    """Return whether a stream is plain text; others can't be resumed."""
    if fields.get('n', 1) != 1:
        return False
    return not any(name in fields for name in ('tools', 'logprobs', 'echo'))
