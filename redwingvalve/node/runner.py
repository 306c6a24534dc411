"""Runs a node in this process until a signal stops it."""

import sys
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.core import exit_status, stop_signals
from redwingvalve.node import (
    daemon,
    early_sockets,
    options,
)
from redwingvalve.observability import (
    bounded_logs,
    logs,
    node_metrics,
    signal_handler,
)
from redwingvalve.platform import settings

LOG = logs.make_logger('node')


async def serve(
    node: daemon.Node, signals: stop_signals.ProcessSignals
) -> None:
    """Run a node until a signal stops it."""
    handler = signal_handler.SignalHandler(anyio.Event())

    def begin(stopped_s: float) -> None:
        node.stopped_s = stopped_s

    grace_s = node.settings.bounds.grace_s
    with signal_handler.subscribed(signals, handler, grace_s, begin):
        await node.run(handler.stop)


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
    handler.flush()
    return exit_status.ExitStatus.SUCCESS
