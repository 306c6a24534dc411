"""What callers saw: every attempt of every request."""

import attrs

from redwingvalve.core import outcomes
from redwingvalve.soak import work


@attrs.define
class Attempt:
    """One send; ended_s is None while no final answer has come.

    whole says that the end of the answer was seen; broken that the connection
    to the entry failed; overdue that neither came by the deadline.
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
    overdue: bool = False
    retry_after_s: float = 0.0
    first_token_s: float = 0.0

    @property
    def surely_not_run(self) -> bool:
        """Tell whether the system said that this attempt was not run."""
        return self.outcome == outcomes.Outcome.NOT_RUN


@attrs.define
class Record:
    """One request with all its attempts, in the order of their time."""

    work: work.Work
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def answered(self) -> bool:
        """Tell whether an attempt ended with the whole answer."""
        return any(attempt.whole for attempt in self.attempts)
