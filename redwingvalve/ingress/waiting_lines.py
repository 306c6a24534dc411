"""Waiting requests by rank, client account and group.

Load pattern: hundreds of requests wait while slots become free a hundred times
a second. Sorting all of them for each slot would take milliseconds; here the
cost of a grant depends on the number of client accounts, not of requests.
"""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import fair_shares, served_shares

_Waiter = typing.TypeVar('_Waiter', bound=collections_abc.Hashable)
# Waiting requests, oldest first; used as an ordered set.
_Line: typing.TypeAlias = dict[_Waiter, None]
_GroupKey: typing.TypeAlias = tuple[served_shares.Group, bool]
# Sort key of requests that differ in more than their account; lowest is first.
Rank: typing.TypeAlias = tuple[bool, bool, int, bool]


@attrs.frozen
class Place:
    """Where a request waits."""

    rank: Rank
    account: str
    groups: tuple[served_shares.Group, ...]

    @property
    def is_late(self) -> bool:
        """Return whether the request can't be on time any more."""
        return self.rank[1]


@attrs.define
class _AccountLine(typing.Generic[_Waiter]):
    contender: fair_shares.Contender
    waiters: _Line[_Waiter] = attrs.field(factory=dict)


_AccountLines: typing.TypeAlias = dict[str, _AccountLine[_Waiter]]


class WaitingLines(typing.Generic[_Waiter]):
    """All waiting requests of a pool."""

    def __init__(self, uses: fair_shares.AccountUses) -> None:
        """Start without requests."""
        self._uses = uses
        self._places: dict[_Waiter, Place] = {}
        self._by_rank: dict[Rank, _AccountLines[_Waiter]] = {}
        # By group and whether the requests are late.
        self._by_group: dict[_GroupKey, _Line[_Waiter]] = {}
        self._by_account: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._places)

    def __contains__(self, waiter: object) -> bool:
        """Return whether a request waits."""
        return waiter in self._places

    def add(self, waiter: _Waiter, place: Place) -> None:
        """Add a request behind those of the same place."""
        self.remove(waiter)
        self._places[waiter] = place
        lines = self._by_rank.setdefault(place.rank, {})
        line = lines.get(place.account)
        if line is None:
            line = _AccountLine(self._contender(place.account))
            lines[place.account] = line
        line.waiters[waiter] = None
        for group in place.groups:
            members = self._by_group.setdefault((group, place.is_late), {})
            members[waiter] = None
        waiting = self._by_account.get(place.account, 0)
        self._by_account[place.account] = waiting + 1

    def remove(self, waiter: _Waiter) -> None:
        """Remove a request, if it waits."""
        place = self._places.pop(waiter, None)
        if place is None:
            return
        lines = self._by_rank[place.rank]
        line = lines[place.account]
        if next(iter(line.waiters)) is waiter:
            line.contender = self._contender(place.account)
        line.waiters.pop(waiter)
        if not line.waiters:
            lines.pop(place.account)
        if not lines:
            self._by_rank.pop(place.rank)
        for group in place.groups:
            key = (group, place.is_late)
            self._by_group[key].pop(waiter)
            if not self._by_group[key]:
                self._by_group.pop(key)
        self._by_account[place.account] -= 1
        if not self._by_account[place.account]:
            self._by_account.pop(place.account)

    def accounts(self) -> collections_abc.Collection[str]:
        """Return the accounts with waiting requests."""
        return self._by_account.keys()

    def waiting(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        return self._by_account.get(account, 0)

    def groups(self) -> list[served_shares.Group]:
        """Return the groups with waiting requests."""
        return list(dict.fromkeys(group for group, _ in self._by_group))

    def first_of(
        self, group: served_shares.Group, *, is_late: bool
    ) -> _Waiter | None:
        """Return the oldest request of a group, or None."""
        return next(iter(self._by_group.get((group, is_late), ())), None)

    def count_of(self, group: served_shares.Group, *, is_late: bool) -> int:
        """Return the number of waiting requests of a group."""
        return len(self._by_group.get((group, is_late), ()))

    def last_of(self, account: str, rank: Rank) -> _Waiter | None:
        """Return the newest request of an account and a rank, or None."""
        line = self._by_rank.get(rank, {}).get(account)
        return next(reversed(line.waiters)) if line else None

    def accounts_of(self, rank: Rank) -> collections_abc.Collection[str]:
        """Return the accounts with waiting requests of a rank."""
        return self._by_rank.get(rank, {}).keys()

    def late(self) -> list[_Waiter]:
        """Return the late requests."""
        return [
            waiter for waiter, place in self._places.items() if place.is_late
        ]

    def in_order(
        self, now_s: float
    ) -> collections_abc.Iterator[tuple[_Waiter, Place]]:
        """Yield the requests in the order of service.

        The order holds until a request is added, removed or served.
        """
        share = self._uses.equal_share(self._by_account, now_s)
        for rank in sorted(self._by_rank):
            lines = self._by_rank[rank]
            left = {
                account: iter(line.waiters) for account, line in lines.items()
            }
            while left:
                contenders = [lines[account].contender for account in left]
                chosen = self._uses.choose(contenders, share, now_s)
                waiter = next(left[chosen.account], None)
                if waiter is None:
                    left.pop(chosen.account)
                else:
                    yield waiter, self._places[waiter]

    def ahead_of(self, waiter: _Waiter, now_s: float) -> int:
        """Return how many requests are served before a waiting one."""
        place = self._places[waiter]
        lines = self._by_rank[place.rank]
        own_ahead = _index(waiter, lines[place.account].waiters)
        share = self._uses.equal_share(self._by_account, now_s)
        use = self._uses.use(place.account, now_s)
        is_below, reached = use < share, use + own_ahead
        others = sum(
            _passing(
                len(line.waiters),
                reached - self._uses.use(account, now_s),
                own_ahead + 1 if is_below else None,
            )
            for account, line in lines.items()
            if account != place.account
        )
        return self._better_than(place.rank) + own_ahead + others

    def _contender(self, account: str) -> fair_shares.Contender:
        """Return an account whose first request has just become the first."""
        return fair_shares.Contender(account, self._uses.last_grant)

    def _better_than(self, rank: Rank) -> int:
        """Return the number of requests of better ranks."""
        return sum(
            sum(len(line.waiters) for line in lines.values())
            for other, lines in self._by_rank.items()
            if other < rank
        )


def _index(waiter: _Waiter, line: _Line[_Waiter]) -> int:
    """Return the position of a request in its line."""
    # Requests are appended, so that the last one is the usual one.
    if next(reversed(line)) is waiter:
        return len(line) - 1
    return list(line).index(waiter)


def _passing(waiting: int, lead: float, limit: int | None) -> int:
    """Return how many requests of another account pass a request.

    Each grant raises the use of its account by one slot: requests pass until
    the other account has made up its lead.
    """
    passing = min(waiting, max(0, int(lead) + 1) if lead >= 0 else 0)
    return passing if limit is None else min(passing, limit)
