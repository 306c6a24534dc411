"""Tells whether a replica can have cut off an answer that its head sent.

Load pattern: a member of a replica is lost or leaves, or the replica is closed
at once, amid answers without a length or chunks. The head cuts them off and
answers reports as before: only what it reports of its replica tells.
"""

from redwingvalve.fleet import endpoints
from redwingvalve.ingress import answer_ends
from redwingvalve.platform import endpoint_orders

Standing = answer_ends.Standing
State = endpoints.MemberState
# A head that closes finishes its answers first.
_SERVING = frozenset((State.OPEN, State.CLOSING))


def judge(
    key: tuple[str, int],
    *,
    listed: endpoints.Membership | None,
    report: endpoint_orders.Report | None,
    was_closing: bool,
    has_broken: bool = False,
) -> Standing:
    """Return how a replica stands after an answer, by its head's report.

    key holds its name, empty for a plain endpoint, and its epoch; listed is
    what the head's entry says; was_closing that it was seen to finish answers,
    has_broken that it was seen broken, and may be told to close since.
    """
    if not key[0]:
        return Standing.SERVES
    # The entry may be older than the report, or newer: only its end is final.
    if has_broken or _state(key, listed) is State.BROKEN:
        return Standing.CUT_OFF
    if report is None:
        return Standing.UNTOLD
    state = _state(key, report.membership)
    if state in _SERVING:
        return Standing.SERVES
    if was_closing and state is not State.BROKEN:
        return Standing.SERVES
    return Standing.CUT_OFF


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
