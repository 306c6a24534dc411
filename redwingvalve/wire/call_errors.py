"""Errors of calls to peers."""

import enum

import attrs


class CallErrorKind(enum.StrEnum):
    """How a call failed; REFUSED means that the host is up but not the port."""

    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'
    BROKEN = 'broken'
    REMOTE = 'remote'


@attrs.frozen
class CallError:
    """A failed call; surely_not_received says that no byte was sent."""

    kind: CallErrorKind
    message: str
    surely_not_received: bool = False
