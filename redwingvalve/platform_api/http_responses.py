"""What the platform's HTTP clients share: statuses and unreadable answers."""

import cattrs
import httpx

STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_NOT_FOUND = 404
STATUS_TOO_MANY = 429
STATUS_BAD_REQUEST = 400
STATUS_SERVER_ERROR = 500
DEFAULT_RETRY_AFTER_S = 1.0

# What reading an answer may raise when it is missing or not the one expected,
# such as the error page of a gateway between.
UNREADABLE = (
    httpx.HTTPError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    cattrs.BaseValidationError,
)


def retry_after_s(answer: httpx.Response) -> float:
    """Return the Retry-After header in seconds, or a second."""
    try:
        return max(0.0, float(answer.headers['retry-after']))
    except (KeyError, ValueError):
        return DEFAULT_RETRY_AFTER_S
