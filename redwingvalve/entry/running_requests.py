"""The requests in progress of one entry, which a stop may have to give up."""

import contextlib
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.entry import planned_stop, response_writer

# Longest time for a caller to take the error of a request that is given up.
GIVE_UP_TIMEOUT_S = 0.3


@attrs.define(eq=False)
class _RunningRequest:
    """A request in progress."""

    writer: response_writer.ResponseWriter
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    async def give_up(self) -> None:
        """Answer the request now, unless it has been answered, and end it."""
        if self.writer.finished:
            return
        with anyio.move_on_after(GIVE_UP_TIMEOUT_S):
            await self.writer.send_error(
                planned_stop.given_up(self.writer.outcome)
            )
        self.scope.cancel()


class RunningRequests:
    """The requests in progress."""

    def __init__(self) -> None:
        """Track no requests yet."""
        self._requests: set[_RunningRequest] = set()

    @contextlib.contextmanager
    def track(
        self, writer: response_writer.ResponseWriter
    ) -> collections_abc.Iterator[None]:
        """Track a request inside the block, which ends early if given up."""
        running = _RunningRequest(writer)
        self._requests.add(running)
        try:
            with running.scope:
                yield
        finally:
            self._requests.discard(running)

    async def give_up_all(self) -> None:
        """Answer all requests now, truly if they can have run."""
        async with anyio.create_task_group() as group:
            for running in tuple(self._requests):
                group.start_soon(running.give_up)
