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

    # Its entry, its answer to an order, or a report that can't be older.
    STATED = 'stated'
    # Another process answers at its address.
    REPLACED = 'replaced'
    # Its report, which may be older than its opening: it may still be open.
    CLAIMED = 'claimed'
    # Its entry is gone and no node gets an answer: it may still be open.
    UNREACHED = 'unreached'
    # It had the time that an endpoint takes to leave: it may still be open.
    TIME_PASSED = 'time-passed'


_PROOFS: typing.Final = frozenset((Evidence.STATED, Evidence.REPLACED))


def is_proof(evidence: Evidence | None) -> bool:
    """Return whether a head certainly doesn't serve its replica any more."""
    return evidence in _PROOFS
