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
    has_finished = _has_finished(past, report.membership)
    if has_finished and state is not State.BROKEN:
        return Standing.SERVES
    return Standing.CUT_OFF


def _has_finished(past: Past, current: endpoints.Membership | None) -> bool:
    """Return whether a head that doesn't serve a replica has finished it.

    One that finishes is ready; one that is told to leave is in no replica.
    """
    if past is Past.CLOSING:
        return current is not None
    return past is Past.FINISHED


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
