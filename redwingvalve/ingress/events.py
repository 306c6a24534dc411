"""Splits a stream of server-sent events into whole events with their ids."""

import attrs


@attrs.frozen
class Event:
    """One whole event, byte for byte."""

    raw: bytes
    # None where the event states no id, or one that is no whole number.
    number: int | None


class EventSplitter:
    """Collects bytes until events are whole."""

    def __init__(self) -> None:
        """Start between two events."""
        self._rest = b''

    @property
    def is_between_events(self) -> bool:
        """Return whether no event is half received."""
        return not self._rest

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that are whole with this chunk."""
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
