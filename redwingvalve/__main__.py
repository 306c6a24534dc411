"""Entry point for `python -m redwingvalve`."""

import importlib
import sys

from redwingvalve.core import stop_signals

# Commands that run until a signal stops them.
DAEMONS = ('entry', 'control')


def run() -> None:
    """Run the command and exit with its status."""
    signals = stop_signals.ProcessSignals()
    is_daemon = sys.argv[1:2] and sys.argv[1] in DAEMONS
    if is_daemon:
        signals.install(ends_before_subscriber=True)
    # Imported after the handlers are installed: a signal during an import
    # would end the process.
    environment = importlib.import_module('redwingvalve.core.environment')
    main = importlib.import_module('redwingvalve.cli.main')
    try:
        status = main.main(surroundings=environment.make_environment(signals))
    finally:
        if is_daemon:
            signals.ignore()
    if is_daemon:
        signals.end(int(status))
    sys.exit(status)


if __name__ == '__main__':
    run()
