"""Handles the signals of a process, from its first line to its end.

Load pattern: the platform stops and reconfigures processes in series, so that
any signal may arrive in any phase, also a second time. A signal without a
handler ends the process with the requests in progress; so the handlers stay
until nothing but the interpreter's own end is left, and then signals are
ignored. A process that doesn't get to its end in time, because a step takes
seconds or a call can't be cancelled, is ended shortly before it is killed.

Imports nothing else of this package: handlers are installed before the rest
is imported.
"""

import _thread
import os
import signal
import sys
import time
import types
import typing

STOPPING = (signal.SIGTERM, signal.SIGINT)
HANDLED = (*STOPPING, signal.SIGHUP)
# A process that is stopped while it starts has no requests yet.
START_GRACE_S = 2.0
# Left for the end of the process before it would be killed.
EXIT_MARGIN_S = 0.35
_GUARD_INTERVAL_S = 0.05
_LOG_TIMEOUT_S = 0.02
_STDERR = 2
_END_MESSAGE = b'redwingvalve: ended before its grace has passed\n'
Subscriber: typing.TypeAlias = typing.Callable[[signal.Signals], None]


class ProcessSignals:
    """Receives the signals of the process and passes them to a subscriber."""

    def __init__(self) -> None:
        """Handle nothing until install() is called."""
        # Whether a process that was told to stop ends at once, with status 0.
        self._ends_at_once = False
        # When the process was first told to stop, by the monotonic clock.
        self.stopped_s: float | None = None
        self._grace_s = START_GRACE_S
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

    def end(self, status: int) -> typing.NoReturn:
        """End the process; nothing of it may still be needed.

        The interpreter's own end frees all objects, which may take longer than
        what is left of the grace, and stops the thread that ends the process
        in time.
        """
        self.ignore()
        for stream in (sys.stdout, sys.stderr):
            stream.flush()
        os._exit(status)

    def subscribe(self, subscriber: Subscriber, grace_s: float) -> None:
        """Pass signals on, those first that have already been received.

        The subscriber is called between any two instructions. The process
        ends itself at the latest EXIT_MARGIN_S before the grace has passed
        since it was told to stop.
        """
        self._ends_at_once = False
        self._grace_s = grace_s
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
            # The threading module takes locks that may be held just now.
            _thread.start_new_thread(self._end_late, (self.stopped_s,))
        if self._subscriber is None:
            self._pending.append(received)
        else:
            self._subscriber(received)

    def _end_late(self, stopped_s: float) -> None:
        """End the process once its grace has almost passed."""
        while time.monotonic() < stopped_s + self._grace_s - EXIT_MARGIN_S:
            time.sleep(_GUARD_INTERVAL_S)
        # The process may hang because nobody reads its log.
        _thread.start_new_thread(os.write, (_STDERR, _END_MESSAGE))
        time.sleep(_LOG_TIMEOUT_S)
        os._exit(0)
