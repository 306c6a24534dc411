"""Whom to talk to next.

Load pattern: 360 nodes in five regions, several processes on each VM. If all
talked to all, connections and messages would follow the world; here a process
talks to its region in turn (so that each member is met within a bounded
time), now and then to one member elsewhere, and processes that share a VM let
one of them speak for all. Randomness is an argument.
"""

import random
from collections import abc as collections_abc

from redwingvalve.membership import member_status, members

Words = collections_abc.Mapping[str, member_status.Word]
DEAD = members.MemberState.DEAD


def speaker_of(present: collections_abc.Iterable[members.Member]) -> str:
    """Return the one of a VM's processes that speaks for it."""
    ranked = sorted(
        present,
        key=lambda member: (
            member.state is not members.MemberState.ALIVE,
            member.role != 'control',
            member.name,
        ),
    )
    return ranked[0].name


def regional(held: Words, me: members.Member) -> tuple[members.Member, ...]:
    """Return the members that this process exchanges with in its region."""
    by_vm: dict[str, list[members.Member]] = {}
    for word in held.values():
        member = word.member
        if member.region != me.region or member.state is DEAD:
            continue
        by_vm.setdefault(member.vm or f'\0{member.name}', []).append(member)
    mine = by_vm.pop(me.vm or f'\0{me.name}', [me])
    by_name = {member.name: member for member in mine}
    speaker = speaker_of(mine)
    if speaker != me.name:
        return (by_name[speaker],)
    others = [_speaker(present) for present in by_vm.values()]
    locals_ = [member for member in mine if member.name != me.name]
    return tuple(others + locals_)


def speaks(held: Words, me: members.Member) -> bool:
    """Tell whether this process speaks for its VM."""
    if not me.vm:
        return True
    present = [
        word.member
        for word in held.values()
        if word.member.vm == me.vm and word.state is not DEAD
    ]
    return speaker_of(present or [me]) == me.name


def foreign(
    held: Words, me: members.Member, randomness: random.Random
) -> members.Member | None:
    """Return a member of a region picked evenly among the other ones."""
    by_region: dict[str, list[members.Member]] = {}
    for word in held.values():
        member = word.member
        if member.region != me.region and member.state is not DEAD:
            by_region.setdefault(member.region, []).append(member)
    if not by_region:
        return None
    return randomness.choice(by_region[randomness.choice(sorted(by_region))])


def dead(held: Words, randomness: random.Random) -> members.Member | None:
    """Return one of the dead, to find out whether it has come back."""
    gone = [word.member for word in held.values() if word.state is DEAD]
    return randomness.choice(gone) if gone else None


class Rotation:
    """Goes through candidates in an order shuffled anew each time round."""

    def __init__(self, randomness: random.Random) -> None:
        """Shuffle with randomness."""
        self._randomness = randomness
        self._left: list[str] = []

    def next(
        self, candidates: collections_abc.Sequence[members.Member]
    ) -> members.Member | None:
        """Return the next candidate; all come up before one comes again."""
        by_name = {member.name: member for member in candidates}
        while self._left:
            name = self._left.pop()
            member = by_name.get(name)
            if member is not None:
                return member
        if not by_name:
            return None
        self._left = sorted(by_name)
        self._randomness.shuffle(self._left)
        return by_name[self._left.pop()]


def _speaker(present: list[members.Member]) -> members.Member:
    name = speaker_of(present)
    return next(member for member in present if member.name == name)
