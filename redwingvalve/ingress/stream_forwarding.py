"""Passes the events of a stream on to its caller, each once and in order."""

import time

from redwingvalve.http1 import client, messages, server
from redwingvalve.ingress import events, stall_detection, timing, upstream


class EventPassing:
    """One caller's stream, over all sends that it takes."""

    def __init__(
        self,
        watch: stall_detection.StallDetector,
        responder: server.Responder,
        last_event: int | None,
        times: timing.RequestTiming,
    ) -> None:
        """Go on after last_event, which the caller has already."""
        self.last_event = last_event
        self._times = times
        self._watch = watch
        self._responder = responder
        self._connection: client.Connection | None = None
        self._pulse: stall_detection.MonitoredStream | None = None
        responder.on_drained = self._read_on

    def begin(
        self,
        connection: client.Connection | None,
        pulse: stall_detection.MonitoredStream | None,
    ) -> None:
        """Take the events of a connection."""
        self._connection = connection
        self._pulse = pulse
        if pulse is not None:
            self._watch.add(pulse)

    def end(self) -> None:
        """Take no more events until the next begin."""
        self._connection = None
        if self._pulse is not None:
            self._watch.remove(self._pulse)
            self._pulse = None

    def take(self, event: events.Event, send: upstream.StreamSend) -> None:
        """Hand an event on unless the caller has it already."""
        now_s = time.monotonic()
        self._times.note_event(now_s)
        if self._pulse is not None:
            self._watch.record_event(self._pulse, now_s)
        if self._is_repeated(event):
            return
        if not self._responder.is_started:
            assert send.head is not None
            self._responder.start(
                send.head.status, messages.end_to_end(send.head.headers)
            )
        self._responder.write(event.raw)
        if self._responder.is_full:
            self._hold()

    def _is_repeated(self, event: events.Event) -> bool:
        number = event.number
        if number is None:
            return False
        if self.last_event is not None and number <= self.last_event:
            return True
        self.last_event = number
        return False

    def _hold(self) -> None:
        if self._connection is not None:
            self._connection.pause()
        if self._pulse is not None:
            self._pulse.is_held = True

    def _read_on(self) -> None:
        if self._connection is not None:
            self._connection.resume()
        if self._pulse is not None:
            self._pulse.is_held = False
            self._watch.record_event(self._pulse, time.monotonic())
