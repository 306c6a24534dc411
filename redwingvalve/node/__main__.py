"""Starts a node with the platform's settings."""

import sys

from redwingvalve.core import exit_status
from redwingvalve.node import daemon
from redwingvalve.observability import bounded_logs
from redwingvalve.platform import settings


def main() -> int:
    """Run until stopped; return the exit status."""
    path = settings.settings_path()
    try:
        node_settings = settings.read_settings(path)
    except settings.SettingsError as error:
        sys.stderr.write(f'redwingvalve: {error}\n')
        return exit_status.ExitStatus.FINDINGS
    handler = bounded_logs.configure(
        'INFO', sys.stdout.fileno(), node_settings.vm
    )
    daemon.run(node_settings, handler)
    return exit_status.ExitStatus.SUCCESS


if __name__ == '__main__':
    sys.exit(main())
