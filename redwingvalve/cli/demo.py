"""The demo command: a complete fleet in one process."""

import argparse
import functools
import pathlib

import anyio

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status
from redwingvalve.demo import walkthrough
from redwingvalve.observability import logs


def run_demo(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Run every role on a simulated platform: plan, confirm, serve, account."""
    logs.configure(arguments.log_level, surroundings.stderr, 'demo')
    return anyio.run(
        functools.partial(
            walkthrough.run_walkthrough,
            surroundings,
            pathlib.Path(arguments.declaration),
        )
    )


DEMO = options.Command(
    name='demo',
    help='run every role and a simulated platform in one process',
    example='redwingvalve demo',
    run=run_demo,
    options=(
        options.Option(
            dest='declaration',
            flags=('--declaration',),
            default=str(walkthrough.DECLARATION),
            help='the declaration to plan and confirm',
        ),
        options.Option(
            dest='log_level',
            flags=('--log-level',),
            default='ERROR',
            choices=('DEBUG', 'INFO', 'WARNING', 'ERROR'),
            help='lowest level of the logs written to stderr',
        ),
    ),
)
