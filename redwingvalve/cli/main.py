"""Entry point: parses arguments and runs one command."""

import argparse
import sys
from collections import abc as collections_abc

import argcomplete

from redwingvalve.cli import commands, options
from redwingvalve.core import environment, exit_status


def make_parser() -> argparse.ArgumentParser:
    """Return the parser with every command."""
    parser = argparse.ArgumentParser(
        prog='redwingvalve',
        description='Serves language models that span several VMs.',
        epilog='exit statuses are listed in docs/OPERATING.md',
    )
    subparsers = parser.add_subparsers(metavar='COMMAND', required=True)
    for command in commands.ALL:
        options.add_command(subparsers, command)
    return parser


def main(
    arguments: collections_abc.Sequence[str] | None = None,
    surroundings: environment.Environment | None = None,
) -> exit_status.ExitStatus:
    """Run one command and return its exit status."""
    surroundings = surroundings or environment.make_environment()
    parser = make_parser()
    argcomplete.autocomplete(parser)
    try:
        parsed = parser.parse_args(arguments)
    except SystemExit as stop:
        return exit_status.ExitStatus(int(stop.code or 0))
    try:
        return parsed.run(parsed, surroundings)
    except KeyboardInterrupt:
        return exit_status.ExitStatus.INTERRUPTED
    except BrokenPipeError:
        # The reader of the output, such as head, has exited: discard the rest
        # of the output.
        sys.stderr.close()
        return exit_status.ExitStatus.SUCCESS
