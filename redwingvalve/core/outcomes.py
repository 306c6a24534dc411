"""The outcome of a request, reported on every response.

The outcome tells a caller whether it may retry: after NOT_RUN it may, after
RAN it need not, after UNKNOWN only if the request is idempotent. It must
therefore never claim more than is known.
"""

import enum

import attrs

OUTCOME_HEADER = 'x-redwingvalve-outcome'
REQUEST_ID_HEADER = 'x-request-id'
DEADLINE_HEADER = 'x-redwingvalve-deadline-ms'
PRIORITY_HEADER = 'x-redwingvalve-priority'
IDEMPOTENT_HEADER = 'x-redwingvalve-idempotent'
REQUEST_KEY_HEADER = 'idempotency-key'


class Outcome(enum.StrEnum):
    """Whether a request ran on an endpoint."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@attrs.frozen
class ErrorResponse:
    """An error response to a caller; the format of its JSON is stable."""

    status: int
    code: str
    message: str
    outcome: Outcome
    request_id: str = ''
    retry_after_s: float | None = None

    def body(self) -> dict[str, object]:
        """Return the JSON body."""
        error: dict[str, object] = {
            'code': self.code,
            'message': self.message,
            'outcome': self.outcome.value,
            'request_id': self.request_id,
        }
        if self.retry_after_s is not None:
            error['retry_after_s'] = round(self.retry_after_s, 3)
        return {'error': error}
