"""Keeps the send at a silent endpoint until another endpoint has taken over.

Load pattern: a sound endpoint is silent for a second, and the one that the
request moves to refuses it, or breaks off before it has answered anything. The
first answer would have gone on.

Nothing is read for a parked send. It is ended by the first event that another
send delivers, or together with its request.
"""

import attrs

from redwingvalve.http1 import client
from redwingvalve.ingress import events, load_balancing, upstream
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('ingress')


@attrs.define(eq=False)
class ParkedSend:
    """A send whose outcome isn't awaited at present."""

    request: upstream.UpstreamRequest
    connection: client.Connection
    target: load_balancing.Target

    def resume(self) -> None:
        """Await the outcome again."""
        node_metrics.METRICS.count('redwingvalve_resumed_sends')
        LOG.info('send resumed', extra={'endpoint': self.target.endpoint_id})
        self.request.reopen()
        self.connection.resume()


@attrs.define(eq=False)
class ParkedSends:
    """The parked send of one request, one at most."""

    _parked: ParkedSend | None = None

    @property
    def can_resume(self) -> bool:
        """Return whether a send is parked whose connection is open."""
        return self._parked is not None and self._parked.connection.is_open

    def leave(self, send: ParkedSend, outcome: upstream.Outcome) -> None:
        """Park a send that was silent, end any other."""
        if outcome is not upstream.Outcome.STALLED:
            send.connection.abandon()
            return
        self.drop()
        send.connection.pause()
        self._parked = send

    def take(self) -> ParkedSend:
        """Return the parked send, which is parked no longer."""
        assert self._parked is not None
        parked = self._parked
        self._parked = None
        return parked

    def drop(self) -> None:
        """End the parked send."""
        parked = self._parked
        self._parked = None
        if parked is not None:
            parked.connection.abandon()


@attrs.define(eq=False)
class TakeoverSink:
    """Ends the parked send with the first event of another one."""

    _sink: upstream.EventSink
    _parked: ParkedSends

    def forward(
        self, event: events.Event, upstream_request: upstream.UpstreamStream
    ) -> None:
        """Pass an event on."""
        self._parked.drop()
        self._sink.forward(event, upstream_request)
