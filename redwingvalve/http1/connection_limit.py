"""Limits the open connections of callers.

Load pattern: callers that don't behave open connections by the thousand and
send nothing, or too little, until the process has no descriptors left for
others, its own links included. At the limit a new connection takes the place of
the one that has been without a whole request for longest, if that is a while.
"""

import abc
import math
import time
import typing
from collections import abc as collections_abc

from redwingvalve.observability import node_metrics

# A connection without a request for less time than this isn't closed for
# another one.
MIN_FREE_S: typing.Final = 1.0


class Closable(abc.ABC):
    """A connection that can be closed for another one."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Reset the connection."""


class ConnectionLimit:
    """The connections of one kind of callers."""

    def __init__(
        self,
        max_connections: float = math.inf,
        clock: collections_abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Allow max_connections at once; clock returns seconds."""
        self.count = 0
        self._max_connections = max_connections
        self._clock = clock
        # Those without a request that is being served, and since when.
        self._free_since_s: dict[Closable, float] = {}

    def opened(self, connection: Closable) -> None:
        """Count a new connection; close it or another one at the limit."""
        self.count += 1
        self.request_ended(connection)
        if self.count <= self._max_connections:
            return
        node_metrics.METRICS.count('redwingvalve_connections_over_limit')
        self._choose(connection).abort()

    def closed(self, connection: Closable) -> None:
        """Count a connection no longer."""
        self.count -= 1
        self._free_since_s.pop(connection, None)

    def request_started(self, connection: Closable) -> None:
        """Keep a connection until its request is answered."""
        self._free_since_s.pop(connection, None)

    def request_ended(self, connection: Closable) -> None:
        """Let a connection be closed for another one."""
        # Without a limit none is kept, as some outlive their loop.
        if self._max_connections < math.inf:
            self._free_since_s.pop(connection, None)
            self._free_since_s[connection] = self._clock()

    def _choose(self, newest: Closable) -> Closable:
        oldest, since_s = next(iter(self._free_since_s.items()))
        return oldest if self._clock() - since_s >= MIN_FREE_S else newest


def make_limit(max_connections: int) -> ConnectionLimit:
    """Return a limit of so many connections, at least one."""
    return ConnectionLimit(max(1, max_connections))
