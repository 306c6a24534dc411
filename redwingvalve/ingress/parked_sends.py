"""Keeps the send at a silent endpoint until another endpoint has taken over.

Load pattern: a sound endpoint is silent for a second, and the one that the
request moves to refuses it, or breaks off before it has answered anything. The
first answer would have gone on.

Nothing is read for a send from the moment at which it is parked. It is ended by
the first event that another send delivers, or together with its request.
"""

import attrs

from redwingvalve.ingress import events, load_balancing, upstream
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('ingress')


@attrs.define(eq=False)
class ParkedSend:
    """A send whose outcome isn't awaited at present."""

    request: upstream.UpstreamRequest
    target: load_balancing.Target

    def resume(self) -> None:
        """Await the outcome again."""
        node_metrics.METRICS.count('redwingvalve_resumed_sends')
        LOG.info('send resumed', extra={'endpoint': self.target.endpoint_id})
        self.request.reopen()


@attrs.define(eq=False)
class ParkedSends:
    """The parked send of one request, one at most."""

    _parked: ParkedSend | None = None

    @property
    def can_resume(self) -> bool:
        """Return whether a send is parked whose answer may go on."""
        return self._parked is not None and self._parked.request.is_pending

    def park(self, send: ParkedSend) -> None:
        """End a send as silent, and keep it in place of an earlier one."""
        self.drop()
        send.request.park()
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
        if parked is not None and parked.request.exchange is not None:
            parked.request.exchange.abandon()


@attrs.define(eq=False)
class TakeoverSink:
    """Ends the parked send with the first event of another one."""

    _sink: upstream.EventSink
    _parked: ParkedSends

    def forward(
        self, event: events.Event, upstream_request: upstream.UpstreamStream
    ) -> None:
        """Pass an event on."""
        last_event = upstream_request.last_event
        self._sink.forward(event, upstream_request)
        # Not dropped by one that the caller already has.
        is_new = event.number is None or (
            upstream_request.last_event != last_event
        )
        if is_new and not upstream_request.ended.done():
            self._parked.drop()
