"""In-process fake of an endpoint that is slower than its platform states."""

import asyncio
import collections
import json
import time
import typing

import attrs

from redwingvalve.http1 import messages, server
from redwingvalve.platform.standins import endpoint

_REPORT = b'/redwingvalve/report'
# Changes that a report may still be older than.
_MAX_CHANGES = 50
_Past: typing.TypeAlias = collections.deque[tuple[float, endpoint.Document]]


@attrs.frozen
class Delays:
    """How slow an endpoint is, in seconds."""

    # From the order to open until a head serves.
    open_s: float = 0.3
    # Age of what a report says.
    report_s: float = 0.2
    # From a change until the entry says so.
    entry_s: float = 0.0


class SlowEndpoint(endpoint.FakeEndpoint):
    """An endpoint with delays of its own that may leave without notice."""

    def __init__(self, *args: typing.Any, delays: Delays) -> None:
        """Create an endpoint; args as for FakeEndpoint."""
        super().__init__(*args)
        self.delays = delays
        self.has_left = False
        self.has_ended = False
        # What the entry said, and since when, by the monotonic clock.
        self._past: _Past = collections.deque(maxlen=_MAX_CHANGES)

    def write_entry(self) -> None:
        """Update the entry once it has been due for some time."""
        self._past.append((time.monotonic(), self._entry()))
        write = super().write_entry
        loop = asyncio.get_running_loop()
        loop.call_later(self.delays.entry_s, self._write_late, write)

    def serve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        """Answer with an old report, and everything else as it is now."""
        expected = request.header(b'x-expect-instance')
        is_other = expected not in {None, self.endpoint_id.encode()}
        if request.target != _REPORT or is_other:
            super().serve(request, responder)
            return
        kind = (b'content-type', b'application/json')
        body = json.dumps(self._reported()).encode()
        responder.send_response(200, [kind], body)

    def leave_without_notice(self, serves_on_s: float) -> None:
        """Remove the entry, serve on for a while and end."""
        self.has_left = True
        self._store.remove('servers', self.endpoint_id)
        asyncio.get_running_loop().call_later(serves_on_s, self._end)

    def _reported(self) -> endpoint.Document:
        until_s = time.monotonic() - self.delays.report_s
        known = [entry for at_s, entry in self._past if at_s <= until_s]
        return known[-1] if known else self._past[0][1]

    def _write_late(self, write: typing.Callable[[], None]) -> None:
        if not self.has_left:
            write()

    def _schedule_state(
        self,
        delay_s: float,
        group: endpoint.Document,
        state: str,
        model: str = '',
    ) -> None:
        if state == 'open':
            delay_s = self.delays.open_s
        super()._schedule_state(delay_s, group, state, model)

    def _end(self) -> None:
        self.has_ended = True
        self.crash()
