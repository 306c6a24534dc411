"""Exit statuses of the command; documented in docs/OPERATING.md."""

import enum


class ExitStatus(enum.IntEnum):
    """The exit status that the command returns to the shell."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 2
    FINDINGS = 3
    REFUSED = 4
    UNREACHABLE = 5
    BREACH = 6
    INTERRUPTED = 130
