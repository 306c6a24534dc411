"""What the outcome of a send means for its slot and its endpoint."""

import attrs

from redwingvalve.ingress import (
    answer_ends,
    crash_keys,
    load_balancing,
    poison,
    reservations,
    upstream,
)

# Another send may follow.
FAILED = frozenset(
    (
        upstream.Outcome.NOT_RUN,
        upstream.Outcome.FAILURE,
        upstream.Outcome.BROKEN,
    )
)
_SLOT_IS_FREE = frozenset(
    (
        upstream.Outcome.COMPLETE,
        upstream.Outcome.FAILURE,
        upstream.Outcome.CALLER_GONE,
        upstream.Outcome.EXPIRED,
        upstream.Outcome.EVACUATED,
    )
)
_INCONCLUSIVE = frozenset(
    (
        None,
        upstream.Outcome.CALLER_GONE,
        upstream.Outcome.EXPIRED,
        upstream.Outcome.EVACUATED,
        # An endpoint that answers later than another one has not failed.
        upstream.Outcome.SUPERSEDED,
        # Nor has one whose answer this node has dropped.
        upstream.Outcome.GAP,
    )
)


@attrs.frozen
class SendResult:
    """How one send ended, and where."""

    outcome: upstream.Outcome
    target: load_balancing.Target
    # None if nothing was sent.
    request: upstream.UpstreamRequest | None


def release_state(
    outcome: upstream.Outcome | None,
) -> reservations.ReleaseState:
    """Return the state of the slot of a send."""
    if outcome in _SLOT_IS_FREE:
        return reservations.ReleaseState.FREE
    if outcome is upstream.Outcome.NOT_RUN:
        return reservations.ReleaseState.REFUSED
    # The endpoint may have crashed, or not noticed that the send was ended.
    return reservations.ReleaseState.UNCERTAIN


def endpoint_result(
    outcome: upstream.Outcome | None,
) -> reservations.EndpointResult:
    """Return what a send says about its endpoint."""
    if outcome is upstream.Outcome.COMPLETE:
        return reservations.EndpointResult.SUCCESS
    if outcome in _INCONCLUSIVE:
        return reservations.EndpointResult.UNKNOWN
    return reservations.EndpointResult.FAILURE


def record_answer(
    tracker: poison.PoisonRequestTracker,
    keys: crash_keys.RequestKeys,
    answer: upstream.UpstreamRequest,
    target: load_balancing.Target,
) -> None:
    """Record that an endpoint has survived a request, if its answer tells."""
    if answer.end is answer_ends.AnswerEnd.OPEN:
        tracker.record_open_end(keys, target.incarnation, answer.sent_s)
    elif answer.end is answer_ends.AnswerEnd.MARKED:
        tracker.record_answer(keys.fingerprint, keys.parts, answer.sent_s)


def blames_member(sent: SendResult) -> bool:
    """Return whether a head refused because of another member."""
    target, request = sent.target, sent.request
    if not target.replica or request is None or request.statement is None:
        return False
    at_fault = request.statement.at_fault
    return at_fault not in {'', f'{target.host}:{target.port}'}
