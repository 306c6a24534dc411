"""JSON log lines that never block the process and never flood its reader.

Load pattern: callers press ten times the usual, every request is refused, and
the pipe's reader falls behind. A blocking write would then stop the process
that answers. Lines about requests that were answered plainly are bounded by
ROUTINE_PER_S; lines about anything else are left out only when the pipe and
the buffer are full. What was left out is counted and told in a line.
"""

import collections
import json
import logging
import os
import time

from redwingvalve.observability import logs

# A line takes some 30 microseconds and 300 bytes: at this rate the routine
# takes half a hundredth of a core.
MAX_ROUTINE_LINES_PER_S = 100
MAX_BUFFERED_LINES = 2000
TELL_EVERY_S = 5.0
# Readers cut longer lines.
MAX_LINE_BYTES = 8000
# What is left of a field that makes its line too long.
SHORTENED_CHARS = 400
# Attribute of a record that says nothing went wrong.
ROUTINE_ATTRIBUTE = 'is_routine'


class NonBlockingHandler(logging.Handler):
    """Writes to a file descriptor without waiting for it."""

    def __init__(self, descriptor: int) -> None:
        """Write to descriptor, which is set not to block."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.routine_omitted = 0
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._second = 0
        self._routine_written = 0
        self._told_s = time.monotonic()

    def emit(self, record: logging.LogRecord) -> None:
        """Take a record; it may be counted only."""
        if (
            record.__dict__.pop(ROUTINE_ATTRIBUTE, False)
            and not self._may_write()
        ):
            self.routine_omitted += 1
            return
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._buffer.append(f'{_bounded(self.format(record))}\n'.encode())
        self.flush()

    def flush(self) -> None:
        """Write what the pipe takes."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone; there is nobody to tell.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def take_drop_counts(self) -> tuple[int, int] | None:
        """Return lines omitted and dropped since the last call, if any.

        None if there were none, or if the last call was a moment ago.
        """
        now_s = time.monotonic()
        if now_s - self._told_s < TELL_EVERY_S:
            return None
        self._told_s = now_s
        counts = (self.routine_omitted, self.dropped)
        self.routine_omitted = 0
        self.dropped = 0
        return counts if any(counts) else None

    def _may_write(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._routine_written = 0
        self._routine_written += 1
        return self._routine_written <= MAX_ROUTINE_LINES_PER_S


def configure(level: str, descriptor: int, node: str) -> NonBlockingHandler:
    """Send all logs of this process to a descriptor."""
    handler = NonBlockingHandler(descriptor)
    logs.attach(handler, level, node)
    return handler


def _bounded(line: str) -> str:
    """Return a line with its longest fields shortened until it fits."""
    if len(line) < MAX_LINE_BYTES:
        return line
    try:
        fields = json.loads(line)
    except ValueError:
        return line[: MAX_LINE_BYTES - 1]
    shortened: list[str] = []
    while len(line) >= MAX_LINE_BYTES - 1:
        texts = {name: json.dumps(one) for name, one in fields.items()}
        _, longest = max((len(text), name) for name, text in texts.items())
        if longest in shortened:
            return line[: MAX_LINE_BYTES - 1]
        shortened.append(longest)
        fields[longest] = texts[longest][:SHORTENED_CHARS]
        line = json.dumps({**fields, 'shortened': shortened})
    return line
