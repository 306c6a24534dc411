"""Entry point for `python -m redwingvalve`."""

import sys

from redwingvalve.cli import main


def run() -> None:
    """Run the command and exit with its status."""
    sys.exit(main.main())


if __name__ == '__main__':
    run()
