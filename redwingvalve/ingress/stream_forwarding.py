"""Forwards the events of a stream to its caller, each once and in order."""

import time

from redwingvalve.http1 import answer_room, client, messages, server
from redwingvalve.ingress import events, stall_detection, timing, upstream


class StreamForwarder:
    """One caller's stream, across all upstream requests that serve it."""

    def __init__(
        self,
        stall_detector: stall_detection.StallDetector,
        responder: server.Responder,
        last_event: int | None,
        times: timing.RequestTiming,
    ) -> None:
        """Continue after last_event, which the caller already has."""
        self.last_event = last_event
        self._times = times
        self._stall_detector = stall_detector
        self._responder = responder
        self._exchange: client.Exchange | None = None
        # The run that has delivered an event without a number.
        self._unnumbered_run: upstream.UpstreamStream | None = None
        # After which a run has ended that may have been cut off there.
        self._possible_end: int | None = None
        self._monitored_stream: stall_detection.MonitoredStream | None = None
        responder.on_writable = self._resume

    def attach(
        self,
        exchange: client.Exchange | None,
        monitored_stream: stall_detection.MonitoredStream | None,
    ) -> None:
        """Start to receive the events of an exchange."""
        self._exchange = exchange
        self._monitored_stream = monitored_stream
        if monitored_stream is not None:
            self._stall_detector.add(monitored_stream)
        # The caller may have read, or filled its buffer, since the last one.
        if self._responder.is_write_paused:
            self._pause()
        elif exchange is not None:
            exchange.resume(answer_room.PauseReason.READER)

    def detach(self) -> None:
        """Stop receiving events until the next attach()."""
        self._exchange = None
        if self._monitored_stream is not None:
            self._stall_detector.remove(self._monitored_stream)
            self._monitored_stream = None

    def forward(
        self, event: events.Event, upstream_request: upstream.UpstreamStream
    ) -> None:
        """Forward an event unless the caller already has it."""
        now_s = time.monotonic()
        self._times.record_event(now_s)
        if self._monitored_stream is not None:
            self._stall_detector.record_event(self._monitored_stream, now_s)
        if not self._continues(upstream_request):
            upstream_request.break_off()
            return
        if self._is_duplicate(event):
            return
        upstream_request.last_event = self.last_event
        if event.number is None:
            self._unnumbered_run = upstream_request
        if not self._responder.is_started:
            assert upstream_request.head is not None
            self._responder.start(
                upstream_request.head.status,
                messages.end_to_end(upstream_request.head.headers),
            )
        self._responder.write(event.raw)
        if self._responder.is_write_paused:
            self._pause()

    def record_possible_end(self, last_event: int | None) -> None:
        """Record that a run, maybe cut off, has ended after last_event."""
        self._possible_end = last_event

    @property
    def may_have_ended(self) -> bool:
        """Return whether a further run may find that nothing follows."""
        return self.last_event is not None and (
            self._possible_end == self.last_event
        )

    def _continues(self, run: upstream.UpstreamStream) -> bool:
        """Return whether a run goes on where the caller's stream has ended.

        After an event without a number no other run can.
        """
        if self._unnumbered_run not in {None, run}:
            return False
        return run.last_event == self.last_event

    def _is_duplicate(self, event: events.Event) -> bool:
        number = event.number
        if number is None:
            return False
        if self.last_event is not None and number <= self.last_event:
            return True
        self.last_event = number
        return False

    def _pause(self) -> None:
        if self._exchange is not None:
            self._exchange.pause(answer_room.PauseReason.READER)
        if self._monitored_stream is not None:
            self._monitored_stream.is_paused = True

    def _resume(self) -> None:
        if self._exchange is not None:
            self._exchange.resume(answer_room.PauseReason.READER)
        if self._monitored_stream is not None:
            self._monitored_stream.is_paused = False
            self._stall_detector.record_event(
                self._monitored_stream, time.monotonic()
            )
