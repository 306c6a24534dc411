"""What shows that a head no longer serves its replica.

Load pattern: a head that is cut off from the store and from some or all nodes
looks like one that has died: its entry is gone and probes stay unanswered. Only
the head itself, or another process at its address, proves that it has stopped.
Members that join another replica without such proof may leave a head that is
open and serves requests.
"""

import enum
import typing


class Evidence(enum.Enum):
    """Why a head counts as stopped."""

    # Its entry, or a report that can't be of before it served.
    STATED = 'stated'
    # Its answer to an order to leave.
    LEFT = 'left'
    # Another process answers at its address.
    REPLACED = 'replaced'
    # Its report, which may be older than its opening: it may still be open.
    CLAIMED = 'claimed'
    # Its entry is gone and no node gets an answer: it may still be open.
    UNREACHED = 'unreached'
    # It had the time that an endpoint takes to leave: it may still be open.
    TIME_PASSED = 'time-passed'


# A head that has closed may be opened again; one that has left can't.
_FINAL: typing.Final = frozenset((Evidence.LEFT, Evidence.REPLACED))
_PROOFS: typing.Final = _FINAL | {Evidence.STATED}


def is_proof(evidence: Evidence | None) -> bool:
    """Return whether a head certainly doesn't serve its replica any more."""
    return evidence in _PROOFS


def is_final(evidence: Evidence | None) -> bool:
    """Return whether a head will certainly never serve its replica again.

    An entry that says otherwise is older.
    """
    return evidence in _FINAL
