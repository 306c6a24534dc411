"""Starts a node with the settings that the platform provides."""

import importlib
import sys

from redwingvalve.core import stop_signals


def main() -> int:
    """Run until stopped; return the exit status."""
    signals = stop_signals.ProcessSignals()
    signals.install()
    # Imported after the handlers are installed: a signal during an import
    # would end the process.
    startup = importlib.import_module('redwingvalve.node.startup')
    try:
        return int(startup.run(signals, sys.argv[1:]))
    finally:
        signals.ignore()


if __name__ == '__main__':
    sys.exit(main())
