"""The decisions of membership: whom this process believes to be there.

Pure: time is an argument, and the network is whoever calls. Load pattern: a
few changes a minute in a fleet at rest; a rack or a data centre lost, a third
of all processes paused, or a region back after an hour make hundreds at once.
Without suspicion each pause would be a death; without the rule that a process
which hears nobody judges nobody, one that is cut off would come back with a
table full of the dead.
"""

import collections
from collections import abc as collections_abc

import attrs

from redwingvalve.core import invariants
from redwingvalve.membership import bounds as member_bounds
from redwingvalve.membership import (
    local_status,
    member_status,
    members,
    status_store,
)

State = members.MemberState
# In a region with fewer members nobody else might notice a death.
JUDGED_BY_ITSELF = 3


class MemberTable:
    """One process's view of all members, itself included."""

    def __init__(
        self,
        me: members.Member,
        now_s: float,
        bounds: member_bounds.MembershipBounds = member_bounds.DEFAULT_BOUNDS,
        switches: invariants.SafeguardSwitches | None = None,
    ) -> None:
        """Know nobody but me."""
        self.bounds = bounds
        self.statuses = status_store.WordBook(switches)
        self.own = local_status.OwnWord(me, self.statuses)
        self._judged_at_s: dict[str, float] = {}
        self._died_at_s: dict[str, float] = {}
        self._region_seen_s: dict[str, float] = {me.region: now_s}
        self._heard_s = now_s
        self._ticked_s = now_s
        self._met_anybody = False
        self._shown_for: tuple[int, frozenset[str]] = (-1, frozenset())
        self._shown_members: tuple[members.Member, ...] = ()

    def known(self, now_s: float) -> tuple[members.Member, ...]:
        """Return every member; those of a silent region as suspect."""
        silent = self._silent_regions(now_s)
        # Asked several times a second by each slice, changed a few times a
        # minute.
        if self._shown_for != (self.statuses.revision, silent):
            self._shown_for = (self.statuses.revision, silent)
            self._shown_members = tuple(
                _shown(word.member, silent)
                for word in self.statuses.held().values()
            )
        return self._shown_members

    def isolated(self, now_s: float) -> bool:
        """Tell whether nobody was heard for too long, or we are replaced."""
        if self.own.superseded:
            return True
        return self._met_anybody and self._silent(now_s)

    def region_ages(self, now_s: float) -> dict[str, float]:
        """Return how long ago each region was met, in seconds."""
        return {
            region: max(now_s - seen_s, 0.0)
            for region, seen_s in self._region_seen_s.items()
        }

    def merge(
        self, heard: collections_abc.Iterable[member_status.Word], now_s: float
    ) -> None:
        """Take the newer of the words; late and doubled ones do nothing."""
        mine = self.own.member().name
        for word in heard:
            if word.name == mine:
                self.own.answer(word)
            elif self.statuses.accepts(word):
                self._take(word, now_s)

    def merge_region_ages(
        self, ages: collections_abc.Mapping[str, float], now_s: float
    ) -> None:
        """Take the newest sight of each region."""
        for region, age_s in ages.items():
            seen_s = now_s - max(age_s, 0.0)
            known_s = self._region_seen_s.get(region, float('-inf'))
            self._region_seen_s[region] = max(seen_s, known_s)

    def heard_from(self, name: str, now_s: float) -> None:
        """Note that a member has spoken to this process."""
        self.heard_network(now_s)
        self._met_anybody = True
        word = self.statuses.get(name)
        if word is not None:
            self._region_seen_s[word.member.region] = now_s
            self._judged_at_s.pop(name, None)

    def heard_network(self, now_s: float) -> None:
        """Note proof that this process is not cut off, as from the store."""
        self._heard_s = max(self._heard_s, now_s)

    def suspect(self, name: str, now_s: float, *, refused: bool) -> None:
        """Doubt a member that neither we nor those we asked could reach."""
        word = self.statuses.get(name)
        if word is None or word.state is State.DEAD:
            return
        if self._silent(now_s) or self._judged_elsewhere(word.member):
            return
        wait_s = self.bounds.suspicion_s
        if refused:
            wait_s = self.bounds.refused_suspicion_s
        judged_at_s = self._judged_at_s.get(name, now_s + wait_s)
        self._judged_at_s[name] = min(judged_at_s, now_s + wait_s)
        if word.state is State.ALIVE:
            self.statuses.put(word.with_state(State.SUSPECT))

    def clear_doubt(self, name: str) -> None:
        """Drop our own doubt: somebody has just met the member."""
        self._judged_at_s.pop(name, None)

    def tick(self, now_s: float) -> None:
        """Judge suspects whose time is up and forget the long dead."""
        gap_s = now_s - self._ticked_s
        self._ticked_s = now_s
        if gap_s > self.bounds.gap_s:
            self._resume(gap_s)
        if not self._silent(now_s):
            self._judge(now_s)
        self._forget(now_s)

    def _resume(self, gap_s: float) -> None:
        # Timers that ran out while this process was paused say nothing of
        # the others: they had no chance to answer it. Our own word may have
        # been doubted meanwhile, so it is renewed at once.
        for name in self._judged_at_s:
            self._judged_at_s[name] += gap_s
        for region in self._region_seen_s:
            self._region_seen_s[region] += gap_s
        if self.own.word().state is not State.DEAD:
            self.own.renew()

    def _judge(self, now_s: float) -> None:
        due = [
            name for name, at_s in self._judged_at_s.items() if at_s <= now_s
        ]
        for name in due:
            del self._judged_at_s[name]
            word = self.statuses.get(name)
            if word is not None and word.state is not State.DEAD:
                self._died_at_s[name] = now_s
                self.statuses.put(word.with_state(State.DEAD))

    def _forget(self, now_s: float) -> None:
        too_old_s = now_s - self.bounds.dead_keep_s
        for name, died_at_s in tuple(self._died_at_s.items()):
            if died_at_s < too_old_s:
                del self._died_at_s[name]
                self._judged_at_s.pop(name, None)
                self.statuses.remove(name)

    def _take(self, word: member_status.Word, now_s: float) -> None:
        self.statuses.put(word)
        self._judged_at_s.pop(word.name, None)
        self._died_at_s.pop(word.name, None)
        if word.state is State.DEAD:
            self._died_at_s[word.name] = now_s
        if word.state is State.SUSPECT:
            self._judged_at_s[word.name] = now_s + self.bounds.suspicion_s

    def _silent(self, now_s: float) -> bool:
        return now_s - self._heard_s > self.bounds.isolation_s

    def _judged_elsewhere(self, member: members.Member) -> bool:
        if member.region == self.own.member().region:
            return False
        present = collections.Counter(
            word.member.region
            for word in self.statuses.held().values()
            if word.state is not State.DEAD
        )
        return present[member.region] >= JUDGED_BY_ITSELF

    def _silent_regions(self, now_s: float) -> frozenset[str]:
        mine = self.own.member().region
        return frozenset(
            region
            for region, seen_s in self._region_seen_s.items()
            if region != mine and now_s - seen_s > self.bounds.region_silence_s
        )


def _shown(member: members.Member, silent: frozenset[str]) -> members.Member:
    if member.state is State.ALIVE and member.region in silent:
        return attrs.evolve(member, state=State.SUSPECT)
    return member


def make_member_table(
    me: members.Member,
    now_s: float,
    bounds: member_bounds.MembershipBounds = member_bounds.DEFAULT_BOUNDS,
    switches: invariants.SafeguardSwitches | None = None,
) -> MemberTable:
    """Return a table that knows only this process."""
    return MemberTable(me, now_s, bounds, switches)
