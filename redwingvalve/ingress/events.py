"""Splits a stream of server-sent events into events with their ids."""

import attrs


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
