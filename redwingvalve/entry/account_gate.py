"""Fleet-wide limits of client accounts in front of the request path.

The decision stands in limits; this follows the configuration and the news. The
list of entries is every member that is not forgotten, dead ones included: in a
partition the others look dead and still use their shares, so that the sum stays
within the limit for the two hours that members are remembered.
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

UPDATE_EVERY_S = 0.5
# Less often than shares are worked out; a report counts for 3 s.
PUBLISH_EVERY_S = 1.0
ENTRY_ROLE = 'entry'
TOKENS_KEY = 'tokens'
REQUESTS_KEY = 'requests'


@attrs.frozen
class _Said:
    """When a report was published last, and whether it held nothing."""

    at_s: float = -math.inf
    empty: bool = True


class AccountGate:
    """Asks an account's share here; needs no call to anybody."""

    def __init__(
        self,
        source: snapshot.ConfigurationSource,
        present: members.Members,
        news: bus.NewsBus,
        time_source: clock.Clock,
    ) -> None:
        """Limit the accounts of source in shares among the entries."""
        me = present.local_member().name
        self._source = source
        self._members = present
        self._news = news
        self._clock = time_source
        self._version = -1
        self._said: dict[str, _Said] = {}
        self._limits = {
            key: account_limits.make_account_limits(me)
            for key in (TOKENS_KEY, REQUESTS_KEY)
        }
        self._update()

    async def run(self) -> None:
        """Follow configuration and news until cancelled."""
        while True:
            self._update()
            await self._clock.sleep(UPDATE_EVERY_S)

    def refuse_request(
        self, account: schema.ClientAccount
    ) -> outcomes.ErrorResponse | None:
        """Count one request, or return the refusal."""
        return self._ask(REQUESTS_KEY, account, 1.0)

    def refuse_tokens(
        self, account: schema.ClientAccount, estimated_tokens: float
    ) -> outcomes.ErrorResponse | None:
        """Count what a request may use, or return the refusal."""
        return self._ask(TOKENS_KEY, account, estimated_tokens)

    def correct_tokens(
        self, account: schema.ClientAccount, change_tokens: float
    ) -> None:
        """Charge what was used beyond the estimate, or give back."""
        self._limits[TOKENS_KEY].correct(account.name, change_tokens)

    def _ask(
        self, key: str, account: schema.ClientAccount, amount: float
    ) -> outcomes.ErrorResponse | None:
        now_s = self._clock.monotonic_s()
        wait_s = self._limits[key].ask(account.name, amount, now_s)
        if wait_s <= 0:
            return None
        return outcomes.ErrorResponse(
            status=429,
            code='account-limit',
            message=f'the account {account.name} is above its {key} a second',
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
        heard = self._news.read(reports.SHARES)
        me = self._members.local_member().name
        for key, limits in self._limits.items():
            bodies = [
                (item.owner, item.body, item.age_s)
                for item in heard
                if item.key == key and item.owner != me
            ]
            self._publish(key, limits.update(entries, bodies, now_s), now_s)

    def _publish(self, key: str, body: bytes, now_s: float) -> None:
        """Say what this entry lends and lacks; nothing while that is nothing.

        What is lent counts as lent from each update on, said or not, so that
        saying it less often can only leave a part of the limit unused.
        """
        said = self._said.get(key, _Said())
        if not body and said.empty:
            return
        if now_s - said.at_s < PUBLISH_EVERY_S:
            return
        self._said[key] = _Said(now_s, not body)
        self._news.publish(reports.SHARES, key, body)

    def _follow_configuration(self) -> None:
        current = self._source.current()
        if current.version == self._version:
            return
        self._version = current.version
        self._limits[TOKENS_KEY].replace_limits(
            {each.name: each.tokens_per_s for each in current.client_accounts}
        )
        self._limits[REQUESTS_KEY].replace_limits(
            {each.name: each.requests_per_s for each in current.client_accounts}
        )


def make_account_gate(
    entry_dependencies: dependencies.EntryDependencies,
) -> AccountGate:
    """Return the gate of one entry; run it beside the application."""
    return AccountGate(
        entry_dependencies.source,
        entry_dependencies.members,
        entry_dependencies.news,
        entry_dependencies.clock,
    )
