"""One entry's share of one account's limit.

Load pattern: an account's callers come to one entry in the morning and to
another at noon, and entries lose each other. Without shares each request would
need a call to a common counter; with fixed shares an account gets a seventh of
its limit when its callers all come to one entry.

Rules, which keep the sum of all shares within the limit:

- A share shrinks at once and grows late: growth is published as a claim, which
  the others count at once, and is used only after settle_s.
- More than the equal share is a loan of the others' unused part. It lasts only
  while their reports are fresh; a silent entry is counted with its equal share.
- settle_s is longer than report_max_age_s, so that an entry that wants its part
  back has waited until every loan made on its old report has run out, also
  where a partition kept its new report from arriving.

The sum can pass the limit only by what a bucket may save up (burst_s), and by
clock rates that differ by more than the quarter between the two times. entries
must be the configured list: live views that split would each share the whole.
"""

import collections
import math
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


@attrs.frozen
class ShareReport:
    """What an entry publishes: what its callers ask and what it holds."""

    entry: str
    demand_per_s: float
    held_per_s: float
    age_s: float = 0.0


@attrs.frozen
class Situation:
    """All that a share depends on; entries includes this entry."""

    limit_per_s: float
    entries: tuple[str, ...]
    reports: tuple[ShareReport, ...]
    demand_per_s: float


class AccountShare:
    """Follows demand by loans between entries."""

    def __init__(
        self, entry: str, settings: ShareSettings | None = None
    ) -> None:
        """Start with nothing; the equal share comes after settle_s."""
        self._entry = entry
        self._settings = settings or ShareSettings()
        self.usable_per_s = 0.0
        self.held_per_s = 0.0
        self._held: collections.deque[tuple[float, float]] = collections.deque(
            [(-math.inf, 0.0)]
        )

    def update(self, situation: Situation, now_s: float) -> None:
        """Take the situation in; publish held_per_s afterwards."""
        others = self._others(situation)
        taken = sum(report.held_per_s for report in others.values())
        free = max(situation.limit_per_s - taken, 0.0)
        target = min(self._target(situation, others), free)
        self.held_per_s = target
        # What was held all through settle_s is what every entry has counted
        # by now; the least of it may be used.
        self._held.append((now_s, target))
        while self._held[1][0] <= now_s - self._settings.settle_s:
            self._held.popleft()
        self.usable_per_s = min(held for _, held in self._held)
        invariants.require(
            self.usable_per_s
            <= free + ROUNDING_SHARE * max(situation.limit_per_s, 1.0),
            'shares-within-limit',
            f'{self._entry} uses {self.usable_per_s} of {free} free',
        )

    def _others(self, situation: Situation) -> dict[str, ShareReport]:
        equal = situation.limit_per_s / max(len(situation.entries), 1)
        others = {
            entry: ShareReport(entry, equal, equal, age_s=-1.0)
            for entry in situation.entries
            if entry != self._entry
        }
        for report in situation.reports:
            if report.entry == self._entry:
                continue
            if report.age_s <= self._settings.report_max_age_s:
                others[report.entry] = report
        return others

    def _target(
        self,
        situation: Situation,
        others: collections_abc.Mapping[str, ShareReport],
    ) -> float:
        count = len(others) + 1
        floor = situation.limit_per_s / count * self._settings.floor_share
        own_need = self._need(situation.demand_per_s, floor)
        needs = own_need + sum(
            self._need(report.demand_per_s, floor) for report in others.values()
        )
        rest = situation.limit_per_s - floor * count
        if needs <= rest:
            return floor + own_need + (rest - needs) / count
        return floor + rest * own_need / needs

    def _need(self, demand_per_s: float, floor: float) -> float:
        return max(demand_per_s * self._settings.headroom - floor, 0.0)
