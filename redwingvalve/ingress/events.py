"""Splits a stream of server-sent events into events with their ids.

Load pattern: a faulty endpoint cuts an event into chunks of one byte, or fills
it with short lines. The work must stay linear in the bytes received: what is
held of an unfinished event is neither copied nor searched again for each chunk.
"""

import re
import typing

import attrs

from redwingvalve.http1 import response_limits

MAX_EVENT_BYTES: typing.Final = response_limits.MAX_EVENT_BYTES
# A blank line after another line, and the bytes that may precede its last one.
_EVENT_END = re.compile(rb'\n\r?\n')
_END_OVERLAP = 2
# A line with an id; the digits are limited because int() isn't linear.
_ID_LINE = re.compile(
    rb'id:(?<![^\r\n]id:)[ \t\v\f]*+([0-9]{1,20}+)[ \t\v\f]*+[\r\n]'
)


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
        self._rest = bytearray()

    @property
    def is_between_events(self) -> bool:
        """Return whether no event is partly received."""
        return not self._rest

    @property
    def held_bytes(self) -> int:
        """Return the length of what is received of an event."""
        return len(self._rest)

    @property
    def is_too_long(self) -> bool:
        """Return whether an event goes on without an end."""
        return len(self._rest) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that this chunk completes."""
        rest = self._rest
        start = 0
        if rest:
            start = max(len(rest) - _END_OVERLAP, 0)
            rest += chunk
            if not _EVENT_END.search(rest, start):
                return []
            chunk = bytes(rest)
            rest.clear()
        found = []
        begin = 0
        for end in _EVENT_END.finditer(chunk, start):
            found.append(_read_event(chunk[begin : end.end()]))
            begin = end.end()
        if begin < len(chunk):
            rest += chunk[begin:]
        return found


def _read_event(raw: bytes) -> Event:
    id_line = _ID_LINE.search(raw)
    return Event(raw, int(id_line.group(1)) if id_line else None)
