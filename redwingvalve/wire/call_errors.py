"""Why a call to a peer failed."""

import enum

import attrs


class CallErrorKind(enum.StrEnum):
    """What the caller saw; REFUSED means that the host itself answers."""

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
