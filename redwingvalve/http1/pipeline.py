"""The requests of one connection that wait for their turn."""

import collections
import typing

from redwingvalve.http1 import messages

# Reading pauses while more requests, or bytes of their bodies, are waiting.
MAX_REQUESTS: typing.Final = 8
MAX_BYTES: typing.Final = 65_536


class Pipeline:
    """Requests in the order of their arrival; the last one may be refused."""

    def __init__(self) -> None:
        """Start without requests."""
        # Of a request that could not be parsed, behind those that wait.
        self.refused_status: int | None = None
        self._waiting: collections.deque[messages.Request] = collections.deque()
        self._waiting_bytes = 0

    def __len__(self) -> int:
        """Return the number of whole requests that wait."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Return whether no more should be read."""
        return len(self) > MAX_REQUESTS or self._waiting_bytes > MAX_BYTES

    @property
    def is_empty(self) -> bool:
        """Return whether nothing waits for an answer, not even a refusal."""
        return not self._waiting and self.refused_status is None

    def push(self, request: messages.Request) -> None:
        """Append a whole request."""
        self._waiting.append(request)
        self._waiting_bytes += len(request.body)

    def pop(self) -> messages.Request:
        """Remove and return the first request."""
        request = self._waiting.popleft()
        self._waiting_bytes -= len(request.body)
        return request

    def clear(self) -> None:
        """Drop all requests, and give back what they hold."""
        while self._waiting:
            self.pop().release()
