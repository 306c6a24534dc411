"""Handles the signals of a process, from its first line to its end.

Load pattern: the platform stops and reconfigures processes in series, so that
any signal may arrive in any phase, also a second time. A signal without a
handler ends the process with the requests in progress; so the handlers stay
until nothing but the interpreter's own end is left, and then signals are
ignored.

Imports nothing else of this package: handlers are installed before the rest
is imported.
"""

import os
import signal
import time
import types
import typing

STOPPING = (signal.SIGTERM, signal.SIGINT)
HANDLED = (*STOPPING, signal.SIGHUP)
Subscriber: typing.TypeAlias = typing.Callable[[signal.Signals], None]


class ProcessSignals:
    """Receives the signals of the process and passes them to a subscriber."""

    def __init__(self) -> None:
        """Handle nothing until install() is called."""
        # Whether a process that was told to stop ends at once, with status 0.
        self._ends_at_once = False
        # When the process was first told to stop, by the monotonic clock.
        self.stopped_s: float | None = None
        self._subscriber: Subscriber | None = None
        # Received while nobody was subscribed.
        self._pending: list[signal.Signals] = []

    def install(self, *, ends_before_subscriber: bool = False) -> None:
        """Handle signals from now on.

        With ends_before_subscriber a signal to stop that comes before the
        first subscriber ends the process: nothing has been opened, and imports
        may take longer than a stop.
        """
        self._ends_at_once = ends_before_subscriber
        for number in HANDLED:
            signal.signal(number, self._handle)

    def ignore(self) -> None:
        """Ignore signals until the process has ended."""
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Pass signals on, those first that have already been received.

        The subscriber is called between any two instructions.
        """
        self._ends_at_once = False
        self._subscriber = subscriber
        pending = self._pending
        self._pending = []
        for number in pending:
            subscriber(number)

    def unsubscribe(self) -> None:
        """Pass no more signals on."""
        self._subscriber = None

    def _handle(self, number: int, frame: types.FrameType | None) -> None:
        received = signal.Signals(number)
        if received in STOPPING and self._ends_at_once:
            os._exit(0)
        if received in STOPPING and self.stopped_s is None:
            self.stopped_s = time.monotonic()
        if self._subscriber is None:
            self._pending.append(received)
        else:
            self._subscriber(received)
