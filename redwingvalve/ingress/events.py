"""Splits a stream of server-sent events into events with their ids."""

import typing

import attrs

# An event holds some tokens of an answer, or all of them. A longer one is none.
MAX_EVENT_BYTES: typing.Final = 1_048_576


@attrs.frozen
class Event:
    """One complete event, byte for byte."""

    raw: bytes
    # None if the event has no id, or one that is not a decimal number.
    number: int | None


class EventSplitter:
    """Buffers bytes until events are complete."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._rest = b''

    @property
    def is_between_events(self) -> bool:
        """Return whether no event is partly received."""
        return not self._rest

    @property
    def is_too_long(self) -> bool:
        """Return whether an event goes on without an end."""
        return len(self._rest) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that this chunk completes."""
        text = self._rest + chunk if self._rest else chunk
        separator = b'\r\n\r\n' if b'\r\n\r\n' in text else b'\n\n'
        pieces = text.split(separator)
        self._rest = pieces.pop()
        return [_read_event(piece + separator) for piece in pieces]


def _read_event(raw: bytes) -> Event:
    for line in raw.splitlines():
        name, _, content = line.partition(b':')
        if name == b'id' and content.strip().isdigit():
            return Event(raw, int(content.strip()))
    return Event(raw, None)
