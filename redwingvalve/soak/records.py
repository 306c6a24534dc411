"""The records of callers: every attempt of every request."""

import attrs

from redwingvalve.core import outcomes
from redwingvalve.soak import workload

AT_ONCE_S = 0.5


@attrs.define
class Attempt:
    """One attempt; ended_s is None until there is a final response.

    whole: the response was received to its end; broken: the connection to the
    entry failed; excused: a fault explains the failure; overdue: neither a
    response nor a failure came by the deadline.
    """

    entry: str
    started_s: float
    ended_s: float | None = None
    status: int = 0
    outcome: str = ''
    code: str = ''
    text: str = ''
    whole: bool = False
    broken: bool = False
    excused: bool = False
    overdue: bool = False
    retry_after_s: float = 0.0
    error: str = ''
    first_token_s: float = 0.0

    @property
    def cut(self) -> bool:
        """Tell whether an entry without a fault aborted the request.

        An idle connection may be closed just as a request is sent; such an
        attempt fails at once and is no violation.
        """
        if not self.broken or self.excused or self.overdue:
            return False
        return bool(self.status) or self.lasted_s > AT_ONCE_S

    @property
    def lasted_s(self) -> float:
        """Return the duration of the attempt; 0.0 while it is in progress."""
        return (self.ended_s or self.started_s) - self.started_s

    @property
    def surely_not_run(self) -> bool:
        """Tell whether the system reported that this attempt was not run."""
        return self.outcome == outcomes.Outcome.NOT_RUN


@attrs.define
class Record:
    """One request with all its attempts in chronological order."""

    request: workload.Request
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def answered(self) -> bool:
        """Tell whether an attempt received the complete response."""
        return any(attempt.whole for attempt in self.attempts)
