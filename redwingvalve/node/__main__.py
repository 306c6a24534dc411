"""Starts a node with the settings that the platform provides."""

import importlib
import sys
import typing

from redwingvalve.core import stop_signals


def main() -> typing.NoReturn:
    """Run until stopped, and end the process with the exit status."""
    signals = stop_signals.ProcessSignals()
    signals.install()
    # Imported after the handlers are installed: a signal during an import
    # would end the process.
    startup = importlib.import_module('redwingvalve.node.startup')
    try:
        status = startup.run(signals, sys.argv[1:])
    finally:
        signals.ignore()
    signals.end(int(status))


if __name__ == '__main__':
    main()
