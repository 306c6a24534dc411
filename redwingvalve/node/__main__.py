"""Starts a node with the settings that the platform provides."""

import importlib
import sys

from redwingvalve.core import exit_status
from redwingvalve.node import early_sockets
from redwingvalve.platform import settings


def main() -> int:
    """Run until stopped; return the exit status."""
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
    return runner.run(node_settings, early, sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
