"""The surroundings of a command, passed in so that tests run in-process."""

import os
import sys
from collections import abc as collections_abc
from typing import TextIO

import attrs

from redwingvalve.core import clock


@attrs.define
class Environment:
    """Streams, variables and the clock that a command may use."""

    stdout: TextIO
    stderr: TextIO
    stdin: TextIO
    variables: collections_abc.Mapping[str, str]
    clock: clock.Clock
    stdout_is_terminal: bool = False


def make_environment() -> Environment:
    """Return the surroundings of this process."""
    return Environment(
        stdout=sys.stdout,
        stderr=sys.stderr,
        stdin=sys.stdin,
        variables=os.environ,
        clock=clock.make_system_clock(),
        stdout_is_terminal=sys.stdout.isatty(),
    )
