"""Runs a node in this process until a signal stops it."""

import signal
import sys
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.core import exit_status
from redwingvalve.node import daemon, early_sockets, options
from redwingvalve.observability import bounded_logs, logs, node_metrics
from redwingvalve.platform import settings

LOG = logs.make_logger('node')


async def serve(node: daemon.Node) -> None:
    """Run a node until a signal stops it."""
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_wait_for_signal, stop)
        await node.run(stop)
        group.cancel_scope.cancel()


async def _wait_for_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number is not signal.SIGHUP:
                stop.set()
                return
            # Configuration that may change at run time comes from the store.
            LOG.info('SIGHUP ignored: settings are read only at startup')


def run(
    node_settings: settings.NodeSettings,
    early: early_sockets.EarlySockets,
    arguments: collections_abc.Sequence[str] = (),
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
    anyio.run(serve, node, backend_options={'use_uvloop': True})
    return exit_status.ExitStatus.SUCCESS
