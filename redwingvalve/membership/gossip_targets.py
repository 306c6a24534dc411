"""Selects the members to exchange with.

Load pattern: 360 nodes in five regions, several processes on each VM. In a
full mesh, connections and messages per process would grow with the whole
fleet. Instead, a process takes the members of its region in turn, so that
each is contacted within a bounded time, and occasionally one member of
another region. Of the processes that share a VM, one representative gossips
for all. The random generator is an argument.
"""

import random
from collections import abc as collections_abc

from redwingvalve.membership import member_status, members

Statuses = collections_abc.Mapping[str, member_status.MemberStatus]
DEAD = members.MemberState.DEAD


def representative_of(present: collections_abc.Iterable[members.Member]) -> str:
    """Return the name of the process that gossips for its VM."""
    ranked = sorted(
        present,
        key=lambda member: (
            member.state is not members.MemberState.ALIVE,
            member.role != 'control',
            member.name,
        ),
    )
    return ranked[0].name


def regional(
    statuses: Statuses, me: members.Member
) -> tuple[members.Member, ...]:
    """Return the members that this process exchanges with in its region."""
    by_vm: dict[str, list[members.Member]] = {}
    for status in statuses.values():
        member = status.member
        if member.region != me.region or member.state is DEAD:
            continue
        by_vm.setdefault(member.vm or f'\0{member.name}', []).append(member)
    mine = by_vm.pop(me.vm or f'\0{me.name}', [me])
    by_name = {member.name: member for member in mine}
    representative = representative_of(mine)
    if representative != me.name:
        return (by_name[representative],)
    others = [_representative(present) for present in by_vm.values()]
    local_members = [member for member in mine if member.name != me.name]
    return tuple(others + local_members)


def is_representative(statuses: Statuses, me: members.Member) -> bool:
    """Return whether this process gossips for its VM."""
    if not me.vm:
        return True
    present = [
        status.member
        for status in statuses.values()
        if status.member.vm == me.vm and status.state is not DEAD
    ]
    return representative_of(present or [me]) == me.name


def pick_remote(
    statuses: Statuses, me: members.Member, rng: random.Random
) -> members.Member | None:
    """Return a random member of another region, each region equally likely."""
    by_region: dict[str, list[members.Member]] = {}
    for status in statuses.values():
        member = status.member
        if member.region != me.region and member.state is not DEAD:
            by_region.setdefault(member.region, []).append(member)
    if not by_region:
        return None
    return rng.choice(by_region[rng.choice(sorted(by_region))])


def pick_dead(statuses: Statuses, rng: random.Random) -> members.Member | None:
    """Return a random dead member, to check whether it is back."""
    dead_members = [
        status.member for status in statuses.values() if status.state is DEAD
    ]
    return rng.choice(dead_members) if dead_members else None


class Rotation:
    """Iterates over candidates, in a new random order on each pass."""

    def __init__(self, rng: random.Random) -> None:
        """Shuffle with rng."""
        self._rng = rng
        self._left: list[str] = []

    def next(
        self, candidates: collections_abc.Sequence[members.Member]
    ) -> members.Member | None:
        """Return the next candidate; none repeats before a pass is complete."""
        by_name = {member.name: member for member in candidates}
        while self._left:
            name = self._left.pop()
            member = by_name.get(name)
            if member is not None:
                return member
        if not by_name:
            return None
        self._left = sorted(by_name)
        self._rng.shuffle(self._left)
        return by_name[self._left.pop()]


def _representative(present: list[members.Member]) -> members.Member:
    name = representative_of(present)
    return next(member for member in present if member.name == name)
