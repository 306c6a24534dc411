"""Runs a node in this process until a signal stops it."""

import asyncio
import signal
import sys
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.core import exit_status
from redwingvalve.node import (
    daemon,
    early_sockets,
    options,
    stop_signals,
)
from redwingvalve.observability import bounded_logs, logs, node_metrics
from redwingvalve.platform import settings

LOG = logs.make_logger('node')


@attrs.define(eq=False)
class SignalHandler:
    """Stops the node at the first signal to do so, and logs all signals."""

    stop: anyio.Event

    def handle(self, number: signal.Signals) -> None:
        """Handle a signal, on the event loop."""
        if number not in stop_signals.STOPPING:
            # Configuration that may change at run time comes from the store.
            LOG.info(
                f'{number.name} ignored: settings are read only at startup'
            )
        elif self.stop.is_set():
            LOG.info(f'{number.name} ignored: the node is stopping')
        else:
            LOG.info(f'{number.name} received')
            self.stop.set()


async def serve(
    node: daemon.Node, signals: stop_signals.ProcessSignals
) -> None:
    """Run a node until a signal stops it."""
    handler = SignalHandler(anyio.Event())
    loop = asyncio.get_running_loop()

    def receive(number: signal.Signals) -> None:
        node.stopped_s = signals.stopped_s
        loop.call_soon_threadsafe(handler.handle, number)

    signals.subscribe(receive, node.settings.bounds.grace_s)
    try:
        await node.run(handler.stop)
    finally:
        signals.unsubscribe()


def run(
    node_settings: settings.NodeSettings,
    early: early_sockets.EarlySockets,
    arguments: collections_abc.Sequence[str],
    signals: stop_signals.ProcessSignals,
) -> exit_status.ExitStatus:
    """Run a node until it is told to stop; return the exit status."""
    try:
        chosen = options.parse(arguments)
    except options.OptionError as error:
        sys.stderr.write(f'redwingvalve: {error}\n')
        return exit_status.ExitStatus.USAGE
    handler = bounded_logs.configure(
        'INFO', sys.stdout.fileno(), node_settings.vm
    )
    node = daemon.make_node(node_settings, early)
    node.gauges.register(node_metrics.METRICS)
    node_metrics.METRICS.gauge(
        'redwingvalve_cold_endpoints', node.allocation.cold_endpoints.samples
    )
    node.log_handler = handler
    node.state.hedge_shares = chosen.hedge_shares
    LOG.info('options', extra=attrs.asdict(chosen))
    anyio.run(serve, node, signals, backend_options={'use_uvloop': True})
    return exit_status.ExitStatus.SUCCESS
