"""The process environment of a command.

It is passed in, so that tests can run commands in their own process.
"""

import os
import sys
from collections import abc as collections_abc
from typing import TextIO

import attrs

from redwingvalve.core import clock, stop_signals


@attrs.define
class Environment:
    """The streams, environment variables and clock that a command may use."""

    stdout: TextIO
    stderr: TextIO
    stdin: TextIO
    variables: collections_abc.Mapping[str, str]
    clock: clock.Clock
    stdout_is_terminal: bool = False
    signals: stop_signals.ProcessSignals = attrs.field(
        factory=stop_signals.ProcessSignals
    )


def make_environment(
    signals: stop_signals.ProcessSignals | None = None,
) -> Environment:
    """Return the environment of this process."""
    return Environment(
        stdout=sys.stdout,
        stderr=sys.stderr,
        stdin=sys.stdin,
        variables=os.environ,
        clock=clock.make_system_clock(),
        stdout_is_terminal=sys.stdout.isatty(),
        signals=signals or stop_signals.ProcessSignals(),
    )
