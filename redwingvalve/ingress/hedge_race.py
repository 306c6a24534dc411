"""Decides which of two sends of a request is answered first.

Load pattern: both sends of a hedged stream deliver their first event within a
moment. The caller gets the events of one endpoint only: the first event
decides, and what the other send still delivers is dropped.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.http1 import client
from redwingvalve.ingress import (
    events,
    stall_detection,
    stream_forwarding,
    upstream,
)
from redwingvalve.observability import node_metrics


@attrs.define(eq=False)
class Lane:
    """The events of one of two sends; those of the leading one are forwarded.

    Takes the place of the forwarder for one sender.
    """

    _race: 'Race'
    _exchange: client.Exchange | None = None
    _monitored: stall_detection.MonitoredStream | None = None

    @property
    def last_event(self) -> int | None:
        """Return the last event that the caller has."""
        return self._race.forwarder.last_event

    @property
    def may_have_ended(self) -> bool:
        """Return whether a further run may find that nothing follows."""
        return self._race.forwarder.may_have_ended

    def record_possible_end(self, last_event: int | None) -> None:
        """Record that a run, maybe cut off, has ended after last_event."""
        self._race.forwarder.record_possible_end(last_event)

    def attach(
        self,
        exchange: client.Exchange | None,
        monitored: stall_detection.MonitoredStream | None,
    ) -> None:
        """Start to receive the events of an exchange."""
        self._exchange = exchange
        self._monitored = monitored
        if self._race.leader is self:
            self._race.forwarder.attach(exchange, monitored)
        elif monitored is not None:
            self._race.stall_detector.add(monitored)

    def detach(self) -> None:
        """Stop receiving events."""
        if self._race.leader is self:
            self._race.forwarder.detach()
        elif self._monitored is not None:
            self._race.stall_detector.remove(self._monitored)
        self._exchange = None
        self._monitored = None

    def lead(self) -> None:
        """Take the place of the leading lane."""
        if self._race.leader is self:
            return
        self._race.leader.fall_behind()
        if self._monitored is not None:
            self._race.stall_detector.remove(self._monitored)
        self._race.leader = self
        self._race.forwarder.attach(self._exchange, self._monitored)

    def fall_behind(self) -> None:
        """Give the caller's stream to another lane."""
        self._race.forwarder.detach()
        self._exchange = None
        self._monitored = None

    def forward(
        self, event: events.Event, upstream_request: upstream.UpstreamStream
    ) -> None:
        """Forward an event, unless the other send was answered first."""
        if self._race.claim(self):
            self._race.forwarder.forward(event, upstream_request)
            return
        node_metrics.METRICS.count('redwingvalve_events_of_lost_races')
        upstream_request.break_off()


def _ignore_winner(lane: Lane) -> None:
    """Do nothing, as nobody waits for the winner."""


@attrs.define(eq=False)
class Race:
    """Decides which of two sends is answered first."""

    forwarder: stream_forwarding.StreamForwarder
    stall_detector: stall_detection.StallDetector
    # Called with the winner.
    on_won: collections_abc.Callable[[Lane], None] = _ignore_winner
    first: Lane = attrs.field(init=False)
    leader: Lane = attrs.field(init=False)
    winner: Lane | None = None

    def __attrs_post_init__(self) -> None:
        """Let the lane of the first send lead."""
        self.first = Lane(self)
        self.leader = self.first

    def claim(self, lane: Lane) -> bool:
        """Return whether a lane has won; the first one to ask has."""
        if self.winner is None:
            self.winner = lane
            lane.lead()
            self.on_won(lane)
        return self.winner is lane

    def restart(self) -> None:
        """Begin another send, at the first lane."""
        self.leader = self.first
        self.winner = None
