"""The errors returned to callers of model requests."""

from redwingvalve.core import outcomes
from redwingvalve.entry import attempt_failures, model_attempts

RETRY_AFTER_S = 1.0


def no_replica(
    progress: model_attempts.RequestProgress,
    failure: attempt_failures.AttemptFailure | None,
) -> outcomes.ErrorResponse:
    """Return the error if no replica is left to send to."""
    if failure is not None:
        return failed(failure, progress.writer.outcome)
    return outcomes.ErrorResponse(
        status=503,
        code='no-replica',
        message='no replica is available for this model',
        outcome=progress.writer.outcome,
        retry_after_s=RETRY_AFTER_S,
    )


def refused_by_endpoint(
    failure: attempt_failures.AttemptFailure,
    progress: model_attempts.RequestProgress,
) -> outcomes.ErrorResponse:
    """Return an endpoint's refusal with its own status."""
    return outcomes.ErrorResponse(
        status=failure.status,
        code='endpoint-refused',
        message=failure.message,
        outcome=progress.writer.outcome,
    )


def failed(
    failure: attempt_failures.AttemptFailure, outcome: outcomes.Outcome
) -> outcomes.ErrorResponse:
    """Return the error of a request whose last attempt failed."""
    return outcomes.ErrorResponse(
        status=502,
        code='endpoint-failed',
        message=failure.message,
        outcome=outcome,
        retry_after_s=RETRY_AFTER_S,
    )


def deadline_passed(outcome: outcomes.Outcome) -> outcomes.ErrorResponse:
    """Return the error of a request that was not complete by its deadline."""
    return outcomes.ErrorResponse(
        status=504,
        code='deadline-exceeded',
        message='the deadline passed before the response was complete',
        outcome=outcome,
    )
