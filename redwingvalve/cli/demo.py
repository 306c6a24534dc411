"""The demo command: the main job in one process."""

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
    """Run every role and the stand-ins, plan, confirm, serve and account."""
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
    help='show the main job: every role and the stand-ins in one process',
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
            help='which logs go to the error stream',
        ),
    ),
)
