"""Failures of attempts to send a model request, and what each one proves."""

import attrs

from redwingvalve.core import invariants, outcomes
from redwingvalve.entry import upstream
from redwingvalve.http1 import held_bodies

FIRST_SERVER_ERROR = 500


@attrs.frozen
class AttemptFailure:
    """An attempt without a complete response; outcome is of this attempt only.

    retriable means that another replica may succeed; status is the endpoint's
    status if it responded. connection_lost means that the connection broke, as
    it does if an endpoint crashes while it runs the request. stalled means that
    the stream stalled although its connection was open.
    """

    outcome: outcomes.Outcome
    message: str
    retriable: bool = True
    status: int = 0
    endpoint_fault: bool = False
    connection_lost: bool = False
    stalled: bool = False


def for_lost_connection(
    error: upstream.UpstreamError, switches: invariants.SafeguardSwitches
) -> AttemptFailure:
    """Return the failure of an attempt whose connection ended."""
    # Only a connection that was never established proves that nothing ran.
    # After the first byte the endpoint may have run the whole request and
    # crashed.
    not_run = error.not_sent
    if not switches.enabled(invariants.Safeguard.TRUTHFUL_NOT_RUN):
        not_run = True
    return AttemptFailure(
        outcomes.Outcome.NOT_RUN if not_run else outcomes.Outcome.UNKNOWN,
        str(error),
        endpoint_fault=True,
        connection_lost=not error.not_sent,
    )


def for_stall() -> AttemptFailure:
    """Return the failure of an attempt whose stream stalled."""
    # No endpoint_fault: the replica hangs but is alive, and routing already
    # sends less work to it.
    return AttemptFailure(
        outcomes.Outcome.UNKNOWN, 'the stream stalled', stalled=True
    )


async def read_refusal(
    response: upstream.UpstreamResponse, max_bytes: int
) -> AttemptFailure:
    """Return the failure for a response that isn't a success.

    Raises OverLimitError for a body of more than max_bytes.
    """
    body = held_bodies.HeldBody(max_bytes)
    async for chunk in response.chunks:
        body.count(chunk)
    stated = dict(response.headers).get(outcomes.OUTCOME_HEADER, '')
    not_run = stated == outcomes.Outcome.NOT_RUN
    ran = stated == outcomes.Outcome.RAN
    outcome = outcomes.Outcome.UNKNOWN
    if not_run or ran:
        outcome = outcomes.Outcome(stated)
    return AttemptFailure(
        outcome=outcome,
        message=f'the endpoint responded with status {response.status}, '
        f'{body.size_bytes} bytes',
        retriable=not_run or response.status >= FIRST_SERVER_ERROR,
        status=response.status,
    )
