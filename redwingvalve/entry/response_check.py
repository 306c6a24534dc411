"""Checks that a response belongs to its request and is complete.

Endpoints may respond late, mix up responses of different requests, or respond
only in part. Without this check a caller could receive the text of another
caller, or take a truncated answer for a complete one. Every attempt is sent
under an id that no other attempt ever had. The endpoint repeats it in the
header and in each chunk, and a stream is complete only once its [DONE] was
received; a response that passes belongs to this attempt and is complete.
"""

import json
import re
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.core import invariants, outcomes
from redwingvalve.http1 import held_bodies, response_limits

DONE_TEXT = b'[DONE]'
DONE_EVENT = b'data: [DONE]\n\n'
DATA_FIELD = b'data:'
EVENT_END = b'\n\n'
ID_SEPARATOR = '~'
ID_FIRST_PATTERN = re.compile(rb'data: *\{ *"id" *: *')


class ResponseMismatchError(Exception):
    """The endpoint sent the response of another request."""


class IncompleteResponseError(Exception):
    """The response is truncated, invalid or reports an error."""


@attrs.frozen
class ResponseIdentity:
    """The id that the endpoint must repeat, and the id the caller sees."""

    endpoint_id: str
    caller_id: str


def make_endpoint_id(caller_id: str, entry: str, send_number: int) -> str:
    """Return an id that no other attempt of any entry has.

    The caller's own id is not enough: two callers may choose the same one, and
    a retry may receive the late response of the first attempt. The caller's id
    is kept before the separator, so that it can be found in the endpoints'
    ledgers.
    """
    return f'{caller_id}{ID_SEPARATOR}{entry}-{send_number}'


def check_headers(
    headers: collections_abc.Iterable[tuple[str, str]],
    identity: ResponseIdentity,
    switches: invariants.SafeguardSwitches,
) -> None:
    """Raise WrongAnswerError unless the header repeats the endpoint id."""
    if not switches.enabled(invariants.Safeguard.ANSWER_IDENTITY):
        return
    repeated_id = dict(headers).get(outcomes.REQUEST_ID_HEADER, '')
    if repeated_id != identity.endpoint_id:
        raise ResponseMismatchError(
            f'response header has the id {repeated_id!r} instead of '
            f'{identity.endpoint_id!r}'
        )


class StreamValidator:
    """Splits a stream into events, checks each and inserts the caller's id.

    All chunks of one response have the same prefix, up to and including the
    id. The first is parsed; later ones are compared with that prefix byte for
    byte, and parsed only if they differ. Parsing costs more than all the rest.
    """

    def __init__(
        self,
        identity: ResponseIdentity,
        switches: invariants.SafeguardSwitches,
    ) -> None:
        """Expect the response of identity."""
        self.done = False
        self._identity = identity
        self._check_identity = switches.enabled(
            invariants.Safeguard.ANSWER_IDENTITY
        )
        # Bytes of an unfinished event, neither copied nor searched again for
        # each chunk.
        self._pending = bytearray()
        # A carriage return whose line feed may follow.
        self._held_back = b''
        self._expected_prefix = b''
        self._replacement_prefix = b''

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events completed by chunk, with their blank lines."""
        if self._is_single_token_event(chunk):
            return [
                self._replacement_prefix + chunk[len(self._expected_prefix) :]
            ]
        events = self._split(chunk)
        if not events:
            return events
        return [
            rewritten
            for event in events
            if (rewritten := self._rewrite_event(event))
        ]

    def pending_bytes(self) -> int:
        """Return how much of the next event has arrived."""
        return len(self._pending)

    def drop_pending(self) -> None:
        """Forget what has arrived of the next event."""
        self._pending = bytearray()

    def _split(self, chunk: bytes) -> list[bytes]:
        received = self._held_back + chunk
        self._held_back = b''
        if received[-1:] == b'\r':
            self._held_back = b'\r'
            received = received[:-1]
        # Without a line feed no event ends, and no line end is to be replaced.
        events: list[bytes] = []
        if b'\n' in received:
            events = self._complete(received.replace(b'\r\n', b'\n'))
        else:
            self._pending += received
        if len(self._pending) > response_limits.MAX_EVENT_BYTES:
            raise held_bodies.over_limit(
                response_limits.Limit.EVENT, response_limits.MAX_EVENT_BYTES
            )
        return events

    def _complete(self, received: bytes) -> list[bytes]:
        """Return the events that end in bytes with a line feed."""
        searched_bytes = max(0, len(self._pending) - 1)
        self._pending += received
        if self._pending.find(EVENT_END, searched_bytes) < 0:
            return []
        events = bytes(self._pending).split(EVENT_END)
        self._pending = bytearray(events.pop())
        return events

    def _is_single_token_event(self, chunk: bytes) -> bool:
        """Return whether chunk is exactly one token event; nearly all are."""
        if not self._expected_prefix or self._pending or self._held_back:
            return False
        if b'\r' in chunk:
            return False
        is_single = chunk.find(EVENT_END) == len(chunk) - len(EVENT_END)
        return is_single and chunk.startswith(self._expected_prefix)

    def _rewrite_event(self, event: bytes) -> bytes:
        expected_prefix = self._expected_prefix
        if expected_prefix and event.startswith(expected_prefix):
            rest = event[len(expected_prefix) :]
            return b'%b%b\n\n' % (self._replacement_prefix, rest)
        return self._parse_event(event)

    def _parse_event(self, event: bytes) -> bytes:
        if not event.startswith(DATA_FIELD):
            return self._handle_other_field(event)
        text = event[len(DATA_FIELD) :].strip()
        if text == DONE_TEXT:
            self.done = True
            return b''
        parsed = _parse_chunk(text)
        response_id = str(parsed.get('id', ''))
        kind, _, request_id = response_id.partition('-')
        if self._check_identity and request_id != self._identity.endpoint_id:
            raise ResponseMismatchError(
                f'chunk has the id {request_id!r} instead of '
                f'{self._identity.endpoint_id!r}'
            )
        self._learn_prefix(event, response_id)
        parsed['id'] = f'{kind}-{self._identity.caller_id}'
        return b'data: %b\n\n' % json.dumps(parsed).encode()

    def _handle_other_field(self, event: bytes) -> bytes:
        if event.startswith(b'event: error'):
            raise IncompleteResponseError('the endpoint reported an error')
        # Comments are keep-alives for this hop and aren't forwarded.
        return b''

    def _learn_prefix(self, event: bytes, response_id: str) -> None:
        marker = json.dumps(response_id).encode()
        head, marker_found, _ = event.partition(marker)
        # Only if the id is the first field: then no other id precedes it.
        if not marker_found or not ID_FIRST_PATTERN.fullmatch(head):
            return
        kind = response_id.partition('-')[0]
        caller_visible_id = json.dumps(
            f'{kind}-{self._identity.caller_id}'
        ).encode()
        self._expected_prefix = head + marker
        self._replacement_prefix = head + caller_visible_id


def check_json_body(
    body: bytes,
    identity: ResponseIdentity,
    switches: invariants.SafeguardSwitches,
) -> dict[str, typing.Any]:
    """Return the parsed response with the caller's id inserted."""
    parsed = _parse_chunk(body)
    kind, _, request_id = str(parsed.get('id', '')).partition('-')
    checked = switches.enabled(invariants.Safeguard.ANSWER_IDENTITY)
    if checked and request_id != identity.endpoint_id:
        raise ResponseMismatchError(
            f'body has the id {request_id!r} instead of '
            f'{identity.endpoint_id!r}'
        )
    parsed['id'] = f'{kind}-{identity.caller_id}'
    return parsed


def _parse_chunk(text: bytes) -> dict[str, typing.Any]:
    try:
        parsed = json.loads(text)
    except ValueError as error:
        raise IncompleteResponseError(f'invalid JSON: {error}') from error
    if not isinstance(parsed, dict):
        raise IncompleteResponseError('not a JSON object')
    if 'error' in parsed:
        raise IncompleteResponseError('the endpoint reported an error')
    return parsed
