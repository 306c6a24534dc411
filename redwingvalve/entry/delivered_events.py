"""Records the events delivered to a caller, so that a stream can resume.

Load pattern: faulty replicas send events of their requests without end. The
records of all streams together have a limit; beyond it the longest is dropped,
which is that of a stream without end rather than that of an ordinary one.
"""

import json
import typing

import attrs

from redwingvalve.entry import response_check

DATA_FIELD = b'data:'
# Of the memory of a process, for the records of all streams.
MEMORY_SHARE: typing.Final = 0.125
_BYTES_PER_MB = 1_048_576


@attrs.define(eq=False)
class RecordRoom:
    """The records of all streams of a process, with a common limit."""

    max_bytes: float
    held_bytes: int = 0
    _recorded: dict['DeliveredEvents', None] = attrs.field(factory=dict)

    def grow(self, record: 'DeliveredEvents', size_bytes: int) -> None:
        """Count bytes of a record; drop the longest ones without room."""
        self._recorded[record] = None
        self.held_bytes += size_bytes
        while self.held_bytes > self.max_bytes:
            max(self._recorded, key=DeliveredEvents.recorded_bytes).drop()

    def forget(self, record: 'DeliveredEvents') -> None:
        """Count a record no more."""
        if record in self._recorded:
            self._recorded.pop(record)
            self.held_bytes -= record.recorded_bytes()


def make_room(memory_mb: float) -> RecordRoom:
    """Return the room of a process that may use so much memory."""
    return RecordRoom(MEMORY_SHARE * memory_mb * _BYTES_PER_MB)


@attrs.define(eq=False)
class DeliveredEvents:
    """The events written to the caller by all attempts.

    They are stored as bytes and parsed only if a stream breaks: parsing each
    token would cost more than relaying it. recorded is false for requests that
    are never resumed, and once the room is needed for others; their events are
    only counted.
    """

    recorded: bool
    room: RecordRoom
    count: int = 0
    _events: bytearray = attrs.field(factory=bytearray)

    def add(self, events: list[bytes]) -> None:
        """Add delivered events."""
        self.count += len(events)
        if self.recorded:
            added = b''.join(events)
            self._events += added
            self.room.grow(self, len(added))

    def recorded_bytes(self) -> int:
        """Return the length of the record."""
        return len(self._events)

    def drop(self) -> None:
        """Record no longer; the stream can't be resumed any more."""
        self.recorded = False
        self.close()

    def close(self) -> None:
        """Give the record up."""
        self.room.forget(self)
        self._events = bytearray()

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
