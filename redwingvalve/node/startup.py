"""Opens the sockets of a node, and only then imports and runs the rest."""

import importlib
import sys
from collections import abc as collections_abc

from redwingvalve.core import exit_status, stop_signals
from redwingvalve.node import early_sockets
from redwingvalve.platform import settings


def run(
    signals: stop_signals.ProcessSignals,
    arguments: collections_abc.Sequence[str],
) -> exit_status.ExitStatus:
    """Run a node until a signal stops it; return the exit status."""
    path = settings.settings_path()
    try:
        node_settings = settings.read_settings(path)
    except settings.SettingsError as error:
        sys.stderr.write(f'redwingvalve: {error}\n')
        return exit_status.ExitStatus.FINDINGS
    try:
        early = early_sockets.listen_early(node_settings)
    except OSError as error:
        sys.stderr.write(f'redwingvalve: {error}\n')
        return exit_status.ExitStatus.FAILURE
    # Imported after the sockets listen: connections that arrive during the
    # import wait instead of being refused.
    runner = importlib.import_module('redwingvalve.node.runner')
    status: exit_status.ExitStatus = runner.run(
        node_settings, early, arguments, signals
    )
    return status
