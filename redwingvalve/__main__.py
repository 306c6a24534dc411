"""Lets the package run as a program."""

import sys

from redwingvalve.cli import main


def run() -> None:
    """Run the command and leave with its exit status."""
    sys.exit(main.main())


if __name__ == '__main__':
    run()
