"""Log handler that never blocks the process and limits its output.

Load pattern: callers send ten times the usual load, every request is refused,
and the reader of the log pipe falls behind. A blocking write would then stall
the process that serves requests. Lines about successful requests are limited
to MAX_ROUTINE_LINES_PER_S; other lines are dropped only when the pipe and the
buffer are full. Dropped lines are counted, and the counts are logged.
"""

import collections
import json
import logging
import os
import time
import typing

from redwingvalve.observability import logs

# A line takes about 30 microseconds and 300 bytes: at this rate, routine lines
# use about 0.5% of a core.
MAX_ROUTINE_LINES_PER_S = 100
MAX_BUFFERED_LINES = 2000
REPORT_INTERVAL_S = 5.0
# Log collectors truncate longer lines.
MAX_LINE_BYTES = 8000
# Length to which fields of a too long line are truncated.
SHORTENED_FIELD_CHARS = 400
# Attribute of log records about requests that succeeded.
ROUTINE_ATTRIBUTE = 'is_routine'


class NonBlockingHandler(logging.Handler):
    """Writes to a file descriptor in non-blocking mode."""

    def __init__(self, descriptor: int) -> None:
        """Put the descriptor into non-blocking mode."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.routine_dropped = 0
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._second = 0
        self._routine_written = 0
        self._reported_s = time.monotonic()

    def emit(self, record: logging.LogRecord) -> None:
        """Write, buffer or drop a record; dropped records are counted."""
        if (
            record.__dict__.pop(ROUTINE_ATTRIBUTE, False)
            and not self._may_write()
        ):
            self.routine_dropped += 1
            return
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._buffer.append(f'{_shorten(self.format(record))}\n'.encode())
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the pipe is full."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def take_drop_counts(self) -> tuple[int, int] | None:
        """Return and reset the counts of dropped routine and other lines.

        None if no line was dropped, or if the counts were reset less than
        REPORT_INTERVAL_S ago.
        """
        now_s = time.monotonic()
        if now_s - self._reported_s < REPORT_INTERVAL_S:
            return None
        self._reported_s = now_s
        counts = (self.routine_dropped, self.dropped)
        self.routine_dropped = 0
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
    """Send all logs of this process to a file descriptor."""
    handler = NonBlockingHandler(descriptor)
    logs.attach(handler, level, node)
    return handler


def _shorten(line: str) -> str:
    """Truncate the longest fields until the line fits MAX_LINE_BYTES."""
    if len(line) < MAX_LINE_BYTES:
        return line
    try:
        fields = json.loads(line)
    except ValueError:
        return line[: MAX_LINE_BYTES - 1]
    texts = {name: json.dumps(field) for name, field in fields.items()}
    shortened: list[str] = []
    length = len(_with_shortened(fields, shortened))
    by_length = sorted((len(text), name) for name, text in texts.items())
    for _, longest in reversed(by_length):
        if length < MAX_LINE_BYTES - 1:
            break
        fields[longest] = texts[longest][:SHORTENED_FIELD_CHARS]
        length += len(json.dumps(fields[longest])) - len(texts[longest])
        shortened.append(longest)
        length += len(json.dumps(longest)) + len(', ')
    return _with_shortened(fields, shortened)[: MAX_LINE_BYTES - 1]


def _with_shortened(fields: dict[str, typing.Any], names: list[str]) -> str:
    return json.dumps({**fields, 'shortened': names})
