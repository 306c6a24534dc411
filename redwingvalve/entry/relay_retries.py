"""Applies the retry policies of deployments to failed attempts."""

import collections

import attrs

from redwingvalve.core import clock, outcomes
from redwingvalve.entry import attempt_failures, model_attempts
from redwingvalve.retries import budget, decisions


@attrs.define
class _DeploymentRetries:
    """The retry budget of one deployment and the policy that uses it."""

    retry_budget: budget.RetryBudget = attrs.field(
        factory=budget.make_retry_budget
    )
    policy: decisions.RetryPolicy = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the policy with this deployment's budget."""
        self.policy = decisions.make_retry_policy(self.retry_budget)


class RelayRetries:
    """The retry budgets and policies of one entry, per deployment."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Start with full budgets."""
        self._clock = time_source
        self._retries: dict[str, _DeploymentRetries] = collections.defaultdict(
            _DeploymentRetries
        )

    def succeeded(self, deployment: str) -> None:
        """Record a complete response, which adds a fraction of a retry."""
        self._retries[deployment].retry_budget.succeeded()

    def has_retry(self, deployment: str) -> bool:
        """Return whether the budget allows a retry now."""
        now_s = self._clock.monotonic_s()
        return self._retries[deployment].retry_budget.available(now_s) >= 1

    def prepay(self, progress: model_attempts.RequestProgress) -> bool:
        """Charge the attempt that replaces a stalled one, if allowed."""
        retries = self._retries[progress.request.deployment.name]
        progress.retry_prepaid = retries.policy.try_reserve_retry(
            _failed_attempt(progress, repeatable=True, not_run=False),
            self._clock.monotonic_s(),
        )
        return progress.retry_prepaid

    def decide(
        self,
        progress: model_attempts.RequestProgress,
        failure: attempt_failures.AttemptFailure,
    ) -> decisions.RetryDecision:
        """Return the next step after a failed attempt."""
        retries = self._retries[progress.request.deployment.name]
        decision = retries.policy.after_failure(
            _failed_attempt(
                progress,
                repeatable=may_repeat(progress),
                not_run=failure.outcome == outcomes.Outcome.NOT_RUN,
            ),
            self._clock.monotonic_s(),
        )
        progress.retry_prepaid = False
        return decision


def may_repeat(progress: model_attempts.RequestProgress) -> bool:
    """Return whether another attempt may provide the rest of the answer."""
    return progress.request.idempotent and (
        progress.delivered.recorded or not progress.delivered.count
    )


def _failed_attempt(
    progress: model_attempts.RequestProgress, *, repeatable: bool, not_run: bool
) -> decisions.FailedAttempt:
    head = progress.request.head
    return decisions.FailedAttempt(
        idempotent=repeatable,
        surely_not_run=not_run,
        attempts=progress.attempts,
        delivered_tokens=progress.delivered.count,
        earlier_unknown=progress.writer.outcome != outcomes.Outcome.NOT_RUN,
        deadline_s=head.arrived_s + head.deadline_s,
        budget_spent=progress.retry_prepaid,
    )
