"""Enforces the fleet-wide rate limits of client accounts.

The shares are computed in the limits package; this module supplies the
configuration and the reports of other entries. Every known member counts as
an entry, dead ones included: in a partition the others look dead but still use
their shares. That way the sum stays within the limit for the two hours that
members are remembered.
"""

import math

import attrs

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock, outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import dependencies
from redwingvalve.limits import account_limits, reports
from redwingvalve.membership import members
from redwingvalve.news import bus

UPDATE_INTERVAL_S = 0.5
# Longer than the update interval; a report is valid for 3 s.
PUBLISH_INTERVAL_S = 1.0
ENTRY_ROLE = 'entry'
TOKENS_KEY = 'tokens'
REQUESTS_KEY = 'requests'


@attrs.frozen
class _PublishedReport:
    """When a report was last published, and whether it was empty."""

    at_s: float = -math.inf
    empty: bool = True


class AccountLimiter:
    """Checks accounts against this entry's share, without remote calls."""

    def __init__(
        self,
        source: snapshot.ConfigurationSource,
        present: members.Members,
        news: bus.NewsBus,
        time_source: clock.Clock,
    ) -> None:
        """Divide the limits of the accounts of source among the entries."""
        local_name = present.local_member().name
        self._source = source
        self._members = present
        self._news = news
        self._clock = time_source
        self._version = -1
        self._published: dict[str, _PublishedReport] = {}
        self._limits = {
            key: account_limits.make_account_limits(local_name)
            for key in (TOKENS_KEY, REQUESTS_KEY)
        }
        self._update()

    async def run(self) -> None:
        """Apply configuration changes and reports until cancelled."""
        while True:
            self._update()
            await self._clock.sleep(UPDATE_INTERVAL_S)

    def check_request(
        self, account: schema.ClientAccount
    ) -> outcomes.ErrorResponse | None:
        """Count one request, or return the refusal if over the limit."""
        return self._check(REQUESTS_KEY, account, 1.0)

    def check_tokens(
        self, account: schema.ClientAccount, estimated_tokens: float
    ) -> outcomes.ErrorResponse | None:
        """Count estimated tokens, or return the refusal if over the limit."""
        return self._check(TOKENS_KEY, account, estimated_tokens)

    def adjust_tokens(
        self, account: schema.ClientAccount, change_tokens: float
    ) -> None:
        """Charge tokens used beyond the estimate, or refund unused ones."""
        self._limits[TOKENS_KEY].correct(account.name, change_tokens)

    def _check(
        self, key: str, account: schema.ClientAccount, amount: float
    ) -> outcomes.ErrorResponse | None:
        now_s = self._clock.monotonic_s()
        wait_s = self._limits[key].ask(account.name, amount, now_s)
        if wait_s <= 0:
            return None
        return outcomes.ErrorResponse(
            status=429,
            code='account-limit',
            message=f'account {account.name} exceeds its {key} per second',
            outcome=outcomes.Outcome.NOT_RUN,
            retry_after_s=wait_s,
        )

    def _update(self) -> None:
        self._follow_configuration()
        entries = tuple(
            sorted(
                member.name
                for member in self._members.known()
                if member.role == ENTRY_ROLE
            )
        )
        now_s = self._clock.monotonic_s()
        items = self._news.read(reports.SHARES)
        local_name = self._members.local_member().name
        for key, limits in self._limits.items():
            bodies = [
                (item.owner, item.body, item.age_s)
                for item in items
                if item.key == key and item.owner != local_name
            ]
            self._publish(key, limits.update(entries, bodies, now_s), now_s)

    def _publish(self, key: str, body: bytes, now_s: float) -> None:
        """Publish what this entry lends and lacks, unless both are empty.

        Lent shares are deducted at each update, whether published or not, so
        publishing less often can only leave a part of the limit unused.
        """
        last = self._published.get(key, _PublishedReport())
        if not body and last.empty:
            return
        if now_s - last.at_s < PUBLISH_INTERVAL_S:
            return
        self._published[key] = _PublishedReport(now_s, not body)
        self._news.publish(reports.SHARES, key, body)

    def _follow_configuration(self) -> None:
        current = self._source.current()
        if current.version == self._version:
            return
        self._version = current.version
        self._limits[TOKENS_KEY].replace_limits(
            {
                account.name: account.tokens_per_s
                for account in current.client_accounts
            }
        )
        self._limits[REQUESTS_KEY].replace_limits(
            {
                account.name: account.requests_per_s
                for account in current.client_accounts
            }
        )


def make_account_limiter(
    entry_dependencies: dependencies.EntryDependencies,
) -> AccountLimiter:
    """Return the limiter of one entry; its run must be started as a task."""
    return AccountLimiter(
        entry_dependencies.source,
        entry_dependencies.members,
        entry_dependencies.news,
        entry_dependencies.clock,
    )
