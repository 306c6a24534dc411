"""The limits of all accounts at one entry.

ask() is called for each request and uses only local state; update() is called
about every half second with the reports of the other entries.
"""

import collections
import math
from collections import abc as collections_abc

import attrs

from redwingvalve.limits import bucket, reports, shares


@attrs.define(eq=False)
class _LimitedAccount:
    """The limit of one account at this entry."""

    limit_per_s: float
    share: shares.AccountShare
    bucket: bucket.TokenBucket
    demand: bucket.DemandMeter = attrs.field(factory=bucket.DemandMeter)


class AccountLimits:
    """Shares, buckets and demand of the accounts that have a limit."""

    def __init__(
        self, entry: str, settings: shares.ShareSettings | None = None
    ) -> None:
        """Start without limits."""
        self._entry = entry
        self._settings = settings or shares.ShareSettings()
        self._limited: dict[str, _LimitedAccount] = {}

    def replace_limits(
        self, limits_per_s: collections_abc.Mapping[str, float]
    ) -> None:
        """Replace the limits; 0 means that an account has none."""
        limited: dict[str, _LimitedAccount] = {}
        for account, limit_per_s in limits_per_s.items():
            if limit_per_s <= 0:
                continue
            known = self._limited.get(account) or self._make(limit_per_s)
            known.limit_per_s = limit_per_s
            limited[account] = known
        self._limited = limited

    def ask(self, account: str, amount: float, now_s: float) -> float:
        """Take amount and return 0, or return the seconds until a retry."""
        limited = self._limited.get(account)
        if limited is None:
            return 0.0
        limited.demand.record(amount, now_s)
        wait_s = limited.bucket.take(
            amount, limited.share.usable_per_s(now_s), now_s
        )
        return min(wait_s, self._settings.settle_s * 2)

    def correct(self, account: str, amount: float) -> None:
        """Charge the difference between used and estimated amount."""
        limited = self._limited.get(account)
        if limited is not None:
            limited.bucket.correct(amount)

    def update(
        self,
        entries: tuple[str, ...],
        bodies: collections_abc.Iterable[tuple[str, bytes, float]],
        now_s: float,
    ) -> bytes:
        """Apply the reports of other entries and return the local report.

        bodies are (entry, body, age_s) as read from the news board; entries
        is the configured list, including this entry.
        """
        received = _by_account(entries, bodies)
        published: dict[str, shares.ShareReport] = {}
        for account, limited in self._limited.items():
            demand = limited.demand.rate_per_s(now_s)
            inputs = shares.ShareInputs(
                limited.limit_per_s,
                entries,
                tuple(received.get(reports.hash_name(account), ())),
                demand,
            )
            limited.share.update(inputs, now_s)
            limited.bucket.fill(limited.share.usable_per_s(now_s), now_s)
            if limited.share.must_publish(inputs):
                published[account] = self._report(limited, demand)
        return reports.encode(published)

    def usable_per_s(self, account: str, now_s: float) -> float:
        """Return the share of an account here; infinite without a limit."""
        limited = self._limited.get(account)
        return (
            math.inf if limited is None else limited.share.usable_per_s(now_s)
        )

    def _report(
        self, limited: _LimitedAccount, demand_per_s: float
    ) -> shares.ShareReport:
        # Grants are sent as single-precision floats, which may be rounded up,
        # while the lender adds them in double precision. They are reduced by
        # more than the rounding error.
        grants_per_s = {
            entry: granted * (1 - shares.ROUNDING_TOLERANCE)
            for entry, granted in limited.share.grants_per_s.items()
        }
        return shares.ShareReport(self._entry, demand_per_s, grants_per_s)

    def _make(self, limit_per_s: float) -> _LimitedAccount:
        return _LimitedAccount(
            limit_per_s,
            shares.AccountShare(self._entry, self._settings),
            bucket.TokenBucket(self._settings.burst_s),
        )


def _by_account(
    entries: tuple[str, ...],
    bodies: collections_abc.Iterable[tuple[str, bytes, float]],
) -> dict[int, list[shares.ShareReport]]:
    """Return the reports of other entries by account hash."""
    names = {reports.hash_name(name): name for name in entries}
    received: dict[int, list[shares.ShareReport]] = collections.defaultdict(
        list
    )
    for entry, body, age_s in bodies:
        decoded = reports.decode(body, entry, age_s, names)
        for number, report in decoded.items():
            received[number].append(report)
    return received


def make_account_limits(
    entry: str, settings: shares.ShareSettings | None = None
) -> AccountLimits:
    """Return the limits of one entry; requests and tokens have one each."""
    return AccountLimits(entry, settings)
