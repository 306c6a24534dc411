"""Tells whether a replica can have cut off an answer that its head sent.

Load pattern: a member of a replica is lost or leaves, or the replica is closed
at once, amid answers without a length or chunks. The head cuts them off and
answers reports as before: only what it reports of its replica tells.
"""

from redwingvalve.fleet import closing_marks, endpoints
from redwingvalve.ingress import answer_ends
from redwingvalve.platform import endpoint_orders

Standing = answer_ends.Standing
Past = closing_marks.Past
State = endpoints.MemberState
# A head that closes finishes its answers first.
_SERVING = frozenset((State.OPEN, State.CLOSING))


def judge(
    key: tuple[str, int],
    *,
    listed: endpoints.Membership | None,
    report: endpoint_orders.Report | None,
    past: Past,
) -> Standing:
    """Return how a replica stands after an answer, by its head's report.

    key holds its name, empty for a plain endpoint, and its epoch; listed is
    what the head's entry says; past is what was seen of the replica.
    """
    if not key[0]:
        return Standing.SERVES
    # The entry may be older than the report, or newer: only its end is final.
    if past is Past.CUT_OFF or _state(key, listed) is State.BROKEN:
        return Standing.CUT_OFF
    if report is None:
        return Standing.UNTOLD
    state = _state(key, report.membership)
    if state in _SERVING:
        return Standing.SERVES
    # A head that is stopped as it closes leaves, and one that has finished is
    # ready, before either joins another replica.
    has_finished = past is Past.FINISHED or (
        past is Past.CLOSING and state is State.READY
    )
    if has_finished and state is not State.BROKEN:
        return Standing.SERVES
    return Standing.CUT_OFF


def is_entry_older(
    key: tuple[str, int],
    listed: endpoints.Membership | None,
    report: endpoint_orders.Report | None,
) -> bool:
    """Return whether a report tells of an end that the entry will tell of."""
    if report is None or _state(key, report.membership) in _SERVING:
        return False
    return _state(key, listed) in _SERVING


def may_be_outdated(
    key: tuple[str, int], report: endpoint_orders.Report | None
) -> bool:
    """Return whether a later report may tell that a replica cut an answer off.

    Reports are some hundred milliseconds old.
    """
    return report is not None and _state(key, report.membership) in _SERVING


def _state(
    key: tuple[str, int], membership: endpoints.Membership | None
) -> State | None:
    """Return the state of a replica, None if the membership is of another."""
    if membership is None or membership.key != key:
        return None
    return membership.state
