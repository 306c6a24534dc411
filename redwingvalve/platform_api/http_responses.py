"""HTTP statuses and errors shared by the clients of the platform."""

import cattrs
import httpx

STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_NOT_FOUND = 404
STATUS_TOO_MANY = 429
STATUS_BAD_REQUEST = 400
STATUS_SERVER_ERROR = 500
DEFAULT_RETRY_AFTER_S = 1.0

# Exceptions raised while a response is received and decoded, including those
# for unexpected content such as the error page of a gateway.
INVALID_RESPONSE_ERRORS = (
    httpx.HTTPError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    cattrs.BaseValidationError,
)


def retry_after_s(response: httpx.Response) -> float:
    """Return the Retry-After header in seconds; without one, a second."""
    try:
        return max(0.0, float(response.headers['retry-after']))
    except (KeyError, ValueError):
        return DEFAULT_RETRY_AFTER_S
