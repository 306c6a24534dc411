"""The share of one entry in the limit of one account.

Load pattern: the callers of an account use one entry in the morning and another
at noon, and entries lose contact, also in one direction or in pairs. Without
shares, each request would need a call to a common counter; with fixed shares,
an account whose callers all use one of seven entries gets a seventh of its
limit.

Each entry owns an equal share of the limit and lends what its callers don't
need to named entries that need more. A grant is a lease:

- The borrower uses it while the report that contained it is at most
  report_max_age_s old.
- The lender counts it as lent until settle_s after it last published it.
- settle_s is longer than report_max_age_s, so a grant is never used twice,
  whichever messages a partition lets through.

Every part of the limit is thus usable at one entry at a time, and the sum stays
within the limit. It can exceed it only by the burst of the buckets (burst_s of
the limit), or if clock rates differ by more than the third between the two
times. entries must be the configured list: with live views, each side of a
partition would divide the whole limit.
"""

import collections
import math
import typing
import zlib
from collections import abc as collections_abc

import attrs

from redwingvalve.core import invariants

ROUNDING_TOLERANCE = 1e-6


@attrs.frozen
class ShareSettings:
    """Settings for operators; see docs/operating/who-is-served.md."""

    report_max_age_s: float = 3.0
    settle_s: float = 4.0
    floor_share: float = 0.2
    headroom: float = 1.25
    burst_s: float = 1.0
    max_borrowers: int = 8


@attrs.frozen
class ShareReport:
    """Demand and grants that an entry publishes."""

    entry: str
    demand_per_s: float
    grants_per_s: collections_abc.Mapping[str, float]
    age_s: float = 0.0


@attrs.frozen
class ShareInputs:
    """Inputs of a share; entries includes this entry."""

    limit_per_s: float
    entries: tuple[str, ...]
    reports: tuple[ShareReport, ...]
    demand_per_s: float

    def equal_share_per_s(self) -> float:
        """Return the share that each entry owns."""
        return self.limit_per_s / max(len(self.entries), 1)


class PublishedGrants(typing.NamedTuple):
    """Grants that a lender published, and when."""

    at_s: float
    grants_per_s: dict[str, float]


class BorrowedGrant(typing.NamedTuple):
    """A grant, and when its borrower must stop using it."""

    ends_at_s: float
    granted_per_s: float


class AccountShare:
    """Moves shares of a limit to the entries with demand by grants."""

    def __init__(
        self, entry: str, settings: ShareSettings | None = None
    ) -> None:
        """Start at 0 until grants from before a restart have expired."""
        self._entry = entry
        self._settings = settings or ShareSettings()
        self._started_at_s = math.inf
        self._published: collections.deque[PublishedGrants] = (
            collections.deque()
        )
        self._retained_per_s = 0.0
        self._borrowed: tuple[BorrowedGrant, ...] = ()
        self.grants_per_s: dict[str, float] = {}

    def usable_per_s(self, now_s: float) -> float:
        """Return the usable share; borrowed grants expire by time.

        After a pause, this process may have grants that were taken back
        long ago; by their expiry times they are not used again.
        """
        return self._retained_per_s + math.fsum(
            borrowed.granted_per_s
            for borrowed in self._borrowed
            if borrowed.ends_at_s >= now_s
        )

    def update(self, inputs: ShareInputs, now_s: float) -> None:
        """Apply the inputs; the caller then publishes grants_per_s."""
        self._started_at_s = min(self._started_at_s, now_s)
        fresh = [
            report
            for report in inputs.reports
            if report.entry in inputs.entries
            and report.entry != self._entry
            and report.age_s <= self._settings.report_max_age_s
        ]
        equal_share = inputs.equal_share_per_s()
        grants = self._compute_grants(inputs, fresh)
        self._limit_grants(grants, equal_share, now_s)
        self.grants_per_s = grants
        if grants:
            self._published.append(PublishedGrants(now_s, grants))
        retained = equal_share - self._outstanding()
        invariants.require(
            retained >= -ROUNDING_TOLERANCE * max(inputs.limit_per_s, 1.0),
            'shares-within-limit',
            f'{self._entry} lent more than its share: {retained}',
        )
        if now_s - self._started_at_s < self._settings.settle_s:
            retained = 0.0
        self._retained_per_s = max(retained, 0.0)
        self._borrowed = tuple(
            BorrowedGrant(
                now_s + self._settings.report_max_age_s - report.age_s,
                report.grants_per_s[self._entry],
            )
            for report in fresh
            if self._entry in report.grants_per_s
        )

    def must_publish(self, inputs: ShareInputs) -> bool:
        """Tell whether to publish: this entry lends, or needs more.

        With 360 entries and 100 accounts, a report of each entry on each
        account would be 430 KB a second to every entry; an account whose
        callers are spread over the entries needs none. Since a lender publishes
        nothing until it lends, the first grants are larger than needed, but
        never larger than the share of the lender.
        """
        if self.grants_per_s:
            return True
        equal_share = inputs.equal_share_per_s()
        return (
            self._required_per_s(inputs.demand_per_s, equal_share) > equal_share
        )

    def _required_per_s(self, demand_per_s: float, equal_share: float) -> float:
        floor = equal_share * self._settings.floor_share
        return max(demand_per_s * self._settings.headroom, floor)

    def _compute_grants(
        self, inputs: ShareInputs, fresh: list[ShareReport]
    ) -> dict[str, float]:
        equal_share = inputs.equal_share_per_s()
        surplus = equal_share - self._required_per_s(
            inputs.demand_per_s, equal_share
        )
        if surplus <= 0:
            return {}
        unmet: dict[str, float] = {}
        all_surplus = surplus
        for report in fresh:
            missing = (
                self._required_per_s(report.demand_per_s, equal_share)
                - equal_share
            )
            if missing > 0:
                unmet[report.entry] = missing
            else:
                all_surplus -= missing
        borrowers = self._select_borrowers(unmet)
        total = math.fsum(unmet[entry] for entry in borrowers)
        if total <= 0:
            return {}
        # All lenders lend the same fraction of their surplus, and no more than
        # all borrowers need, whether selected by this lender or by others.
        lent = surplus * min(1.0, math.fsum(unmet.values()) / all_surplus)
        return {entry: lent * unmet[entry] / total for entry in borrowers}

    def _select_borrowers(
        self, unmet: collections_abc.Mapping[str, float]
    ) -> collections_abc.Sequence[str]:
        """Return the borrowers that this entry lends to.

        If all lenders selected the borrowers with the largest need, 64 of 72
        borrowers of a region would get nothing; each lender selects others.
        """
        return sorted(unmet, key=self._rank)[: self._settings.max_borrowers]

    def _rank(self, entry: str) -> int:
        return zlib.crc32(f'{self._entry}/{entry}'.encode())

    def _limit_grants(
        self, grants: dict[str, float], equal_share: float, now_s: float
    ) -> None:
        """Reduce new grants to what outstanding ones leave."""
        oldest_s = now_s - self._settings.settle_s
        while self._published and self._published[0].at_s < oldest_s:
            self._published.popleft()
        remaining = equal_share - self._outstanding()
        outstanding = self._outstanding_by_entry()
        for entry, granted in tuple(grants.items()):
            held = outstanding.get(entry, 0.0)
            more = min(max(granted - held, 0.0), max(remaining, 0.0))
            grants[entry] = min(granted, held + more)
            remaining -= more

    def _outstanding(self) -> float:
        return math.fsum(self._outstanding_by_entry().values())

    def _outstanding_by_entry(self) -> dict[str, float]:
        outstanding: dict[str, float] = {}
        for published in self._published:
            for entry, granted in published.grants_per_s.items():
                known = outstanding.get(entry, 0.0)
                outstanding[entry] = max(known, granted)
        return outstanding
