"""One entry's share of one account's limit.

Load pattern: an account's callers come to one entry in the morning and to
another at noon, and entries lose each other, also in one direction or in pairs.
Without shares each request would need a call to a common counter; with fixed
shares an account gets a seventh of its limit when its callers all come to one
entry.

Each entry owns the equal part of the limit and lends what its own callers don't
ask for, by name, to entries that need more. A grant is a lease:

- The borrower uses it while the report that carried it is at most
  report_max_age_s old.
- The lender counts it as gone until settle_s after it last published it.
- settle_s is longer than report_max_age_s, so a grant is never used twice,
  whatever messages a partition lets through.

Every part is thus in one hand at a time and the sum stays within the limit. It
can pass it only by what the buckets may save up (burst_s of the limit), and by
clock rates that differ by more than the third between the two times. entries
must be the configured list: live views that split would each share the whole.
"""

import collections
import math
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.core import invariants

ROUNDING_SHARE = 1e-6


@attrs.frozen
class ShareSettings:
    """Figures an operator may set; docs/operating/who-is-served.md."""

    report_max_age_s: float = 3.0
    settle_s: float = 4.0
    floor_share: float = 0.2
    headroom: float = 1.25
    burst_s: float = 1.0
    max_borrowers: int = 8


@attrs.frozen
class ShareReport:
    """What an entry publishes: what its callers ask and what it lends."""

    entry: str
    demand_per_s: float
    grants_per_s: collections_abc.Mapping[str, float]
    age_s: float = 0.0


@attrs.frozen
class Situation:
    """All that a share depends on; entries includes this entry."""

    limit_per_s: float
    entries: tuple[str, ...]
    reports: tuple[ShareReport, ...]
    demand_per_s: float

    def equal_part_per_s(self) -> float:
        """Return what each entry owns."""
        return self.limit_per_s / max(len(self.entries), 1)


class Published(typing.NamedTuple):
    """The grants that a lender published at a time."""

    at_s: float
    grants_per_s: dict[str, float]


class Borrowed(typing.NamedTuple):
    """A grant and when its borrower has to stop using it."""

    ends_at_s: float
    granted_per_s: float


class AccountShare:
    """Follows demand by grants between entries."""

    def __init__(
        self, entry: str, settings: ShareSettings | None = None
    ) -> None:
        """Start with nothing; what was lent before a restart must run out."""
        self._entry = entry
        self._settings = settings or ShareSettings()
        self._started_at_s = math.inf
        self._lent: collections.deque[Published] = collections.deque()
        self._own_part_per_s = 0.0
        self._borrowed: tuple[Borrowed, ...] = ()
        self.grants_per_s: dict[str, float] = {}

    def usable_per_s(self, now_s: float) -> float:
        """Return the share; grants end on their own, also after a pause.

        A process that was paused wakes up with grants that have long been
        taken back: each carries its end, so it is not used once more.
        """
        return self._own_part_per_s + math.fsum(
            borrowed.granted_per_s
            for borrowed in self._borrowed
            if borrowed.ends_at_s >= now_s
        )

    def update(self, situation: Situation, now_s: float) -> None:
        """Take the situation in; publish grants_per_s afterwards."""
        self._started_at_s = min(self._started_at_s, now_s)
        fresh = [
            report
            for report in situation.reports
            if report.entry in situation.entries
            and report.entry != self._entry
            and report.age_s <= self._settings.report_max_age_s
        ]
        equal_part = situation.equal_part_per_s()
        wanted = self._wanted_grants(situation, fresh)
        self._fit(wanted, equal_part, now_s)
        self.grants_per_s = wanted
        if wanted:
            self._lent.append(Published(now_s, wanted))
        own_part = equal_part - self._outstanding()
        invariants.require(
            own_part >= -ROUNDING_SHARE * max(situation.limit_per_s, 1.0),
            'shares-within-limit',
            f'{self._entry} lent more than its part: {own_part}',
        )
        if now_s - self._started_at_s < self._settings.settle_s:
            own_part = 0.0
        self._own_part_per_s = max(own_part, 0.0)
        self._borrowed = tuple(
            Borrowed(
                now_s + self._settings.report_max_age_s - report.age_s,
                report.grants_per_s[self._entry],
            )
            for report in fresh
            if self._entry in report.grants_per_s
        )

    def worth_saying(self, situation: Situation) -> bool:
        """Tell whether others have to know of this share: it lends or lacks.

        At 360 entries and 100 accounts a report from each on each account is
        430 KB a second to everybody; an account whose callers are spread over
        the entries needs none. A lender that keeps silent until it lends makes
        the first loans larger than needed, never larger than its own part.
        """
        if self.grants_per_s:
            return True
        equal_part = situation.equal_part_per_s()
        return self._need(situation.demand_per_s, equal_part) > equal_part

    def _need(self, demand_per_s: float, equal_part: float) -> float:
        floor = equal_part * self._settings.floor_share
        return max(demand_per_s * self._settings.headroom, floor)

    def _wanted_grants(
        self, situation: Situation, fresh: list[ShareReport]
    ) -> dict[str, float]:
        equal_part = situation.equal_part_per_s()
        surplus = equal_part - self._need(situation.demand_per_s, equal_part)
        if surplus <= 0:
            return {}
        unmet: dict[str, float] = {}
        all_surplus = surplus
        for report in fresh:
            missing = self._need(report.demand_per_s, equal_part) - equal_part
            if missing > 0:
                unmet[report.entry] = missing
            else:
                all_surplus -= missing
        largest = sorted(unmet, key=unmet.__getitem__, reverse=True)
        largest = largest[: self._settings.max_borrowers]
        total = math.fsum(unmet[entry] for entry in largest)
        if total <= 0:
            return {}
        # All lenders give the same part of their surplus, and no more than
        # is asked for.
        lent = surplus * min(1.0, total / all_surplus)
        return {entry: lent * unmet[entry] / total for entry in largest}

    def _fit(
        self, wanted: dict[str, float], equal_part: float, now_s: float
    ) -> None:
        """Keep new grants within what older ones leave."""
        oldest_s = now_s - self._settings.settle_s
        while self._lent and self._lent[0].at_s < oldest_s:
            self._lent.popleft()
        room = equal_part - self._outstanding()
        outstanding = self._outstanding_by_entry()
        for entry, granted in tuple(wanted.items()):
            held = outstanding.get(entry, 0.0)
            more = min(max(granted - held, 0.0), max(room, 0.0))
            wanted[entry] = min(granted, held + more)
            room -= more

    def _outstanding(self) -> float:
        return math.fsum(self._outstanding_by_entry().values())

    def _outstanding_by_entry(self) -> dict[str, float]:
        outstanding: dict[str, float] = {}
        for published in self._lent:
            for entry, granted in published.grants_per_s.items():
                known = outstanding.get(entry, 0.0)
                outstanding[entry] = max(known, granted)
        return outstanding
