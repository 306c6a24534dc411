"""What callers saw: every attempt of every request."""

import attrs

from redwingvalve.core import outcomes
from redwingvalve.soak import workload

AT_ONCE_S = 0.5


@attrs.define
class Attempt:
    """One send; ended_s is None while no final answer has come.

    whole says that the end of the answer was seen; broken that the connection
    to the entry failed, excused that a fault explains it; overdue that neither
    came by the deadline.
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
        """Tell whether an undisturbed entry broke off what it worked on.

        An idle connection may be closed just as a request is sent; that ends
        at once and is no breach.
        """
        if not self.broken or self.excused or self.overdue:
            return False
        return bool(self.status) or self.lasted_s > AT_ONCE_S

    @property
    def lasted_s(self) -> float:
        """Return how long the attempt took; 0.0 while it goes on."""
        return (self.ended_s or self.started_s) - self.started_s

    @property
    def surely_not_run(self) -> bool:
        """Tell whether the system said that this attempt was not run."""
        return self.outcome == outcomes.Outcome.NOT_RUN


@attrs.define
class Record:
    """One request with all its attempts, in the order of their time."""

    request: workload.Request
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def answered(self) -> bool:
        """Tell whether an attempt ended with the whole answer."""
        return any(attempt.whole for attempt in self.attempts)
