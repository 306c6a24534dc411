"""Passes the signals of a process to its event loop, and logs them."""

import asyncio
import contextlib
import signal
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.core import stop_signals
from redwingvalve.observability import logs

LOG = logs.make_logger('process')


@attrs.define(eq=False)
class SignalHandler:
    """Stops the process at the first signal to do so, and logs all signals."""

    stop: anyio.Event

    def handle(self, number: signal.Signals) -> None:
        """Handle a signal, on the event loop."""
        if number not in stop_signals.STOPPING:
            # Configuration that may change at run time comes from the store.
            LOG.info(
                f'{number.name} ignored: settings are read only at startup'
            )
        elif self.stop.is_set():
            LOG.info(f'{number.name} ignored: the process is stopping')
        else:
            LOG.info(f'{number.name} received')
            self.stop.set()


def _ignore(stopped_s: float) -> None:
    """Do nothing at the begin of a stop."""


@contextlib.contextmanager
def subscribed(
    signals: stop_signals.ProcessSignals,
    handler: SignalHandler,
    grace_s: float,
    begin: collections_abc.Callable[[float], None] = _ignore,
) -> collections_abc.Iterator[None]:
    """Pass signals to handler, on the running event loop, inside the block.

    The process has grace_s from the first signal to stop to its end.
    begin is called at each signal after the first to stop, with the time of
    that by the monotonic clock, between any two instructions.
    """
    loop = asyncio.get_running_loop()

    def receive(number: signal.Signals) -> None:
        if signals.stopped_s is not None:
            begin(signals.stopped_s)
        loop.call_soon_threadsafe(handler.handle, number)

    signals.subscribe(receive, grace_s)
    try:
        yield
    finally:
        signals.unsubscribe()
