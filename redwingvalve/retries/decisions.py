"""Decides what follows a failed attempt, and the outcome for the caller.

A request that certainly did not run may always be retried. One that may have
run may be retried only if it is idempotent. Otherwise the caller gets the
outcome as far as it is known.
"""

import enum

import attrs

from redwingvalve.core import invariants, outcomes
from redwingvalve.retries import budget


class NextStep(enum.StrEnum):
    """What to do with a request after a failure."""

    RETRY = 'retry'
    RESUME = 'resume'
    GIVE_UP = 'give-up'


class GiveUpReason(enum.StrEnum):
    """Why a request is not retried."""

    MAY_HAVE_RUN = 'may-have-run'
    DEADLINE = 'deadline'
    TOO_MANY_ATTEMPTS = 'too-many-attempts'
    NO_BUDGET = 'no-budget'


@attrs.frozen
class FailedAttempt:
    """A failed attempt and the state of its request.

    surely_not_run means that no byte reached the endpoint, or that the endpoint
    reported that it did not start the request. earlier_unknown is set if an
    earlier attempt of the same request may have run. budget_spent is set after
    try_reserve_retry has spent the budget.
    """

    idempotent: bool
    surely_not_run: bool
    attempts: int
    delivered_tokens: int = 0
    earlier_unknown: bool = False
    deadline_s: float = 0.0
    expected_time_s: float = 0.0
    budget_spent: bool = False


@attrs.frozen
class RetryDecision:
    """The next step; outcome is for the caller if it is GIVE_UP."""

    step: NextStep
    outcome: outcomes.Outcome
    reason: GiveUpReason | None = None


@attrs.frozen
class RetrySettings:
    """Settings for operators; see docs/operating/who-is-served.md."""

    max_attempts: int = 3
    hedge_after_usual: float = 3.0
    hedge_reserve: float = 5.0


class RetryPolicy:
    """Decides within a retry budget; its only state is the budget."""

    def __init__(
        self,
        retry_budget: budget.RetryBudget,
        settings: RetrySettings | None = None,
    ) -> None:
        """Use one budget for retries, resumptions and hedges."""
        self._budget = retry_budget
        self._settings = settings or RetrySettings()

    def after_failure(
        self, attempt: FailedAttempt, now_s: float
    ) -> RetryDecision:
        """Return the next step of a request whose attempt failed."""
        outcome = _outcome(attempt)
        if outcome != outcomes.Outcome.NOT_RUN and not attempt.idempotent:
            return _give_up(outcome, GiveUpReason.MAY_HAVE_RUN)
        if now_s + attempt.expected_time_s >= attempt.deadline_s:
            return _give_up(outcome, GiveUpReason.DEADLINE)
        if attempt.attempts >= self._settings.max_attempts:
            return _give_up(outcome, GiveUpReason.TOO_MANY_ATTEMPTS)
        if not attempt.budget_spent and not self._budget.try_spend(now_s):
            return _give_up(outcome, GiveUpReason.NO_BUDGET)
        invariants.require(
            attempt.idempotent or outcome == outcomes.Outcome.NOT_RUN,
            'retry-only-what-may-run-again',
            f'{attempt}',
        )
        step = NextStep.RESUME if attempt.delivered_tokens else NextStep.RETRY
        return RetryDecision(step, outcome)

    def try_reserve_retry(self, attempt: FailedAttempt, now_s: float) -> bool:
        """Spend the budget for a retry before the attempt is given up.

        It is better to wait for a stalled stream that can't resume elsewhere.
        If the budget were only checked and not spent, all streams of a hung
        replica would be given up by the same check, and those beyond the
        budget would end in errors.
        """
        outcome = _outcome(attempt)
        if outcome != outcomes.Outcome.NOT_RUN and not attempt.idempotent:
            return False
        return (
            now_s + attempt.expected_time_s < attempt.deadline_s
            and attempt.attempts < self._settings.max_attempts
            and self._budget.try_spend(now_s)
        )

    def may_hedge(
        self,
        *,
        idempotent: bool,
        waited_s: float,
        usual_s: float,
        now_s: float,
    ) -> bool:
        """Tell whether to send a second copy of a request without a response.

        Hedges leave a reserve of the budget to retries. They are sent only
        after a multiple of the usual delay, so that they respond to stragglers
        and not to overload, in which all requests are slow.
        """
        if not idempotent:
            return False
        if waited_s < self._settings.hedge_after_usual * usual_s:
            return False
        if self._budget.available(now_s) < self._settings.hedge_reserve + 1:
            return False
        return self._budget.try_spend(now_s)


def _outcome(attempt: FailedAttempt) -> outcomes.Outcome:
    if attempt.delivered_tokens:
        return outcomes.Outcome.RAN
    if attempt.surely_not_run and not attempt.earlier_unknown:
        return outcomes.Outcome.NOT_RUN
    return outcomes.Outcome.UNKNOWN


def _give_up(outcome: outcomes.Outcome, reason: GiveUpReason) -> RetryDecision:
    return RetryDecision(NextStep.GIVE_UP, outcome, reason)


def make_retry_policy(
    retry_budget: budget.RetryBudget | None = None,
    settings: RetrySettings | None = None,
) -> RetryPolicy:
    """Return the policy for one deployment at an entry."""
    return RetryPolicy(retry_budget or budget.make_retry_budget(), settings)
