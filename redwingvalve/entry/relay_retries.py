"""Asks the retry policy of a deployment what follows a failed send."""

import collections

import attrs

from redwingvalve.core import clock, outcomes
from redwingvalve.entry import sends
from redwingvalve.retries import budget, decisions


@attrs.define
class _Retries:
    """The retry budget of one deployment and the policy that spends it."""

    spending: budget.RetryBudget = attrs.field(factory=budget.make_retry_budget)
    policy: decisions.RetryPolicy = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Spend from the own budget."""
        self.policy = decisions.make_retry_policy(self.spending)


class RelayRetries:
    """The retries of one entry, each deployment with a budget of its own."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Start with full reserves."""
        self._clock = time_source
        self._retries: dict[str, _Retries] = collections.defaultdict(_Retries)

    def succeeded(self, deployment: str) -> None:
        """Count a whole answer, which earns a share of a retry."""
        self._retries[deployment].spending.succeeded()

    def any_left(self, deployment: str) -> bool:
        """Tell whether the budget holds a retry now."""
        now_s = self._clock.monotonic_s()
        return self._retries[deployment].spending.available(now_s) >= 1

    def pay_ahead(self, journey: sends.Journey) -> bool:
        """Pay for the send that follows a stalled one, if it may be paid."""
        retries = self._retries[journey.request.deployment.name]
        journey.paid = retries.policy.try_reserve_retry(
            _failed_attempt(journey, repeatable=True, not_run=False),
            self._clock.monotonic_s(),
        )
        return journey.paid

    def decide(
        self, journey: sends.Journey, failure: sends.SendFailure
    ) -> decisions.RetryDecision:
        """Return what follows a failed send."""
        retries = self._retries[journey.request.deployment.name]
        decision = retries.policy.after_failure(
            _failed_attempt(
                journey,
                repeatable=may_repeat(journey),
                not_run=failure.outcome == outcomes.Outcome.NOT_RUN,
            ),
            self._clock.monotonic_s(),
        )
        journey.paid = False
        return decision


def may_repeat(journey: sends.Journey) -> bool:
    """Tell whether the rest of the answer may come from another send."""
    return journey.request.idempotent and (
        journey.delivered.kept or not journey.delivered.count
    )


def _failed_attempt(
    journey: sends.Journey, *, repeatable: bool, not_run: bool
) -> decisions.FailedAttempt:
    head = journey.request.head
    return decisions.FailedAttempt(
        idempotent=repeatable,
        surely_not_run=not_run,
        attempts=journey.sends,
        delivered_tokens=journey.delivered.count,
        earlier_unknown=journey.responds.outcome != outcomes.Outcome.NOT_RUN,
        deadline_s=head.arrived_s + head.deadline_s,
        budget_spent=journey.paid,
    )
