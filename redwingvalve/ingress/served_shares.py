"""Decides which groups of requests are served too seldom.

Load pattern: for 2 to 10 seconds callers ask for 1.5 to 2.5 times the slots of
a pool. Ordered by urgency and time alone, less urgent kinds would get nearly
no slots, and large prompts, which have little time to wait, would be refused
or late.
"""

import math
import typing
from collections import abc as collections_abc

import attrs

# Time constant over which served and offered requests are compared.
SERVED_WINDOW_S = 5.0
# A group of requests is served at least this share as often as all requests.
# Required is a quarter; the rest covers the variation within some seconds.
MIN_SERVED_SHARE = 0.4
# Groups with fewer recent requests than this have no meaningful share.
MIN_OFFERED = 3.0

# A group of requests: 'account', 'kind' or 'size', followed by its name.
Group: typing.TypeAlias = tuple[typing.Any, ...]
# A less urgent kind is held back until a more urgent one is served this much
# more often. Callers see shares 5 to 8 in 100 from those counted here: those
# of a less urgent kind return and are served after the burst.
MIN_LEAD = 0.05
# Kinds served more often than this lack no slots.
FULLY_SERVED = 0.95
# Priorities of accounts take precedence over those of kinds: the mean urgency
# of kinds with equal priorities differs a little.
SAME_URGENCY = 0.1
# Groups with fewer recent requests are forgotten.
MIN_REMEMBERED = 0.01


@attrs.define
class _Count:
    """Recent requests of a group; older ones count less."""

    offered: float = 0.0
    served: float = 0.0
    # Mean urgency of those offered.
    urgency: float = 0.0
    updated_s: float = 0.0

    @property
    def ratio(self) -> float:
        return self.served / self.offered if self.offered else 0.0

    def advance(self, now_s: float) -> None:
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            decay = math.exp(-elapsed_s / SERVED_WINDOW_S)
            self.offered *= decay
            self.served *= decay
            self.updated_s = now_s

    def add(self, urgency: int) -> None:
        self.offered += 1
        self.urgency += (urgency - self.urgency) / max(self.offered, 1)


@attrs.define
class ServedShares:
    """How often the requests of each group were served lately."""

    _total: _Count = attrs.field(factory=_Count)
    _counts: dict[Group, _Count] = attrs.field(factory=dict)

    def record_offered(
        self,
        groups: collections_abc.Iterable[Group],
        urgency: int,
        now_s: float,
    ) -> None:
        """Count a request."""
        for count in self._current(groups, now_s):
            count.add(urgency)

    def record_served(
        self, groups: collections_abc.Iterable[Group], now_s: float
    ) -> None:
        """Count a request that got a slot."""
        for count in self._current(groups, now_s):
            count.served += 1

    def missing(
        self, groups: collections_abc.Iterable[Group], now_s: float
    ) -> dict[Group, float]:
        """Return the groups served too seldom: slots that each one misses."""
        self._total.advance(now_s)
        target = MIN_SERVED_SHARE * min(self._total.ratio, 1.0)
        found = {}
        for group in groups:
            count = self._counts.get(group)
            if count is None or count.offered < MIN_OFFERED:
                continue
            count.advance(now_s)
            missing = target * count.offered - count.served
            if missing > 0:
                found[group] = missing
        return found

    def kinds_ahead(self, now_s: float) -> set[Group]:
        """Return the kinds that more urgent ones must be served before."""
        kinds = {
            group: count
            for group, count in self._counts.items()
            if group[0] == 'kind' and count.offered >= MIN_OFFERED
        }
        for known in kinds.values():
            known.advance(now_s)
        return {
            group
            for group, count in kinds.items()
            if _least_ratio(count, kinds.values()) < _required(count)
        }

    def drop_unused(self, now_s: float) -> None:
        """Forget groups without recent requests."""
        for known in self._counts.values():
            known.advance(now_s)
        self._counts = {
            group: count
            for group, count in self._counts.items()
            if count.offered >= MIN_REMEMBERED
        }

    def _current(
        self, groups: collections_abc.Iterable[Group], now_s: float
    ) -> list[_Count]:
        counts = [self._total]
        for group in groups:
            count = self._counts.get(group)
            if count is None:
                count = _Count()
                self._counts[group] = count
            counts.append(count)
        for current in counts:
            current.advance(now_s)
        return counts


def _required(count: _Count) -> float:
    """Return how often more urgent kinds have to be served."""
    return min(count.ratio + MIN_LEAD, FULLY_SERVED)


def _least_ratio(
    count: _Count, kinds: collections_abc.Iterable[_Count]
) -> float:
    """Return how often the least served kind of higher urgency was served."""
    ratios = (
        kind.ratio
        for kind in kinds
        if kind.urgency < count.urgency - SAME_URGENCY
    )
    return min(ratios, default=math.inf)
