"""Decides which waiting requests go first because their group gets too little.

Load pattern: as in served_shares. The shares are compared at most every
REFRESH_INTERVAL_S, as slots become free a hundred times a second.
"""

import typing
from collections import abc as collections_abc

from redwingvalve.ingress import served_shares, waiting_lines

REFRESH_INTERVAL_S = 0.02
# Slots that a group has to miss before its request goes first.
MIN_MISSING = 0.5
# The same for a request that will be late: mostly another one of its group
# comes soon that can be on time.
MIN_MISSING_IF_LATE = 3.0

_Groups: typing.TypeAlias = tuple[served_shares.Group, ...]
_Waiter = typing.TypeVar('_Waiter', bound=collections_abc.Hashable)


class GroupPrecedence(typing.Generic[_Waiter]):
    """The groups of one queue that are served too seldom or too often."""

    def __init__(self, lines: waiting_lines.WaitingLines[_Waiter]) -> None:
        """Start with no group served too seldom or too often."""
        self._lines = lines
        self._served = served_shares.ServedShares()
        # Slots that groups miss.
        self._missing: dict[served_shares.Group, float] = {}
        # Kinds that more urgent ones must be served before.
        self._ahead: set[served_shares.Group] = set()
        self._refreshed_s = -REFRESH_INTERVAL_S

    def record_offered(
        self, groups: _Groups, urgency: int, now_s: float
    ) -> None:
        """Count a request."""
        self._served.record_offered(groups, urgency, now_s)

    def record_served(self, groups: _Groups, now_s: float) -> None:
        """Count a request that got a slot."""
        self._served.record_served(groups, now_s)
        for group in self._missing.keys() & groups:
            self._missing[group] -= 1

    def first(self, now_s: float) -> collections_abc.Iterator[_Waiter]:
        """Yield the requests that go first, those of the worst group first."""
        for group in self._due(now_s):
            found = self._lines.first_of(group, is_late=False)
            if found is None and self._missing[group] >= MIN_MISSING_IF_LATE:
                found = self._lines.first_of(group, is_late=True)
            if found is not None:
                yield found

    def goes_first(
        self, groups: _Groups, now_s: float, *, is_late: bool
    ) -> bool:
        """Return whether a request of groups served too seldom is next."""
        least = MIN_MISSING_IF_LATE if is_late else MIN_MISSING
        return any(
            self._missing[group]
            > self._lines.count_of(group, is_late=is_late) - 1
            for group in set(groups).intersection(self._due(now_s))
            if self._missing[group] >= least
        )

    def waiting_first(self) -> int:
        """Return how many requests that can be on time may go first."""
        return sum(
            self._lines.count_of(group, is_late=False)
            for group in self._missing
        )

    def is_held_back(self, groups: _Groups, now_s: float) -> bool:
        """Return whether more urgent kinds are served too seldom."""
        self._refresh(now_s)
        return not self._ahead.isdisjoint(groups)

    def drop_unused(self, now_s: float) -> None:
        """Forget groups without recent requests."""
        self._served.drop_unused(now_s)

    def _due(self, now_s: float) -> list[served_shares.Group]:
        """Return the groups whose requests go first, the worst one first."""
        self._refresh(now_s)
        found = [
            group
            for group, missing in self._missing.items()
            if missing >= MIN_MISSING
        ]
        return sorted(found, key=self._missing.__getitem__, reverse=True)

    def _refresh(self, now_s: float) -> None:
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S:
            return
        self._refreshed_s = now_s
        self._missing = self._served.missing(self._lines.groups(), now_s)
        self._ahead = self._served.kinds_ahead(now_s)
        self._ahead.difference_update(self._missing)
