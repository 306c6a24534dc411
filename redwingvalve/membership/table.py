"""Membership state and failure decisions of one process.

Pure: time is an argument, and the caller does the network I/O. Load pattern:
a few changes a minute in a stable fleet; hundreds at once when a rack or a
data centre is lost, a third of all processes is paused, or a region returns
after an hour. Without suspicion, each pause would count as a death. Without
the rule that a process without contact declares nobody dead, a partitioned
process would return with a table full of dead members.
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
from redwingvalve.observability import logs

LOG = logs.make_logger('membership')
State = members.MemberState
# With fewer live members, a region may not detect its own failures.
MIN_SELF_JUDGING_MEMBERS = 3


class MemberTable:
    """One process's view of all members, itself included."""

    def __init__(
        self,
        me: members.Member,
        now_s: float,
        bounds: member_bounds.MembershipBounds = member_bounds.DEFAULT_BOUNDS,
        switches: invariants.SafeguardSwitches | None = None,
    ) -> None:
        """Start with me as the only member."""
        self.bounds = bounds
        self.statuses = status_store.StatusStore(switches)
        self.own = local_status.LocalStatus(me, self.statuses, bounds, now_s)
        self._death_due_s: dict[str, float] = {}
        self._died_at_s: dict[str, float] = {}
        # When members may be suspected for an earlier incarnation again.
        self._contest_due_s: dict[str, float] = {}
        self._region_seen_s: dict[str, float] = {me.region: now_s}
        self._last_contact_s = now_s
        self._ticked_s = now_s
        self._has_contacted_peer = False
        self._known_key: tuple[int, frozenset[str]] = (-1, frozenset())
        self._known_members: tuple[members.Member, ...] = ()

    def known(self, now_s: float) -> tuple[members.Member, ...]:
        """Return every member; alive ones of a silent region as suspect."""
        silent = self._silent_regions(now_s)
        # Cached: each package reads this several times per second, but it
        # changes only a few times per minute.
        if self._known_key != (self.statuses.revision, silent):
            self._known_key = (self.statuses.revision, silent)
            self._known_members = tuple(
                _presented(status.member, silent)
                for status in self.statuses.all().values()
            )
        return self._known_members

    def isolated(self, now_s: float) -> bool:
        """Return whether this process lost all contact or is superseded."""
        if self.own.superseded:
            return True
        return self._has_contacted_peer and self._is_cut_off(now_s)

    def region_ages(self, now_s: float) -> dict[str, float]:
        """Return the seconds since the last contact with each region."""
        return {
            region: max(now_s - seen_s, 0.0)
            for region, seen_s in self._region_seen_s.items()
        }

    def merge(
        self,
        received: collections_abc.Iterable[member_status.MemberStatus],
        now_s: float,
    ) -> None:
        """Apply newer statuses; late and duplicate ones have no effect."""
        mine = self.own.member().name
        for status in received:
            if status.name == mine:
                self.own.refute_report(status)
            elif self.statuses.accepts(status):
                self._apply(status, now_s)

    def merge_region_ages(
        self, ages: collections_abc.Mapping[str, float], now_s: float
    ) -> None:
        """Apply the most recent contact with each region."""
        for region, age_s in ages.items():
            seen_s = now_s - max(age_s, 0.0)
            known_s = self._region_seen_s.get(region, float('-inf'))
            self._region_seen_s[region] = max(seen_s, known_s)

    def record_contact(self, name: str, incarnation: int, now_s: float) -> None:
        """Record that a process has sent a message under a member's name.

        A message of an earlier incarnation is no proof that the known one is
        alive, so that one is suspected: it refutes, or is declared dead.
        """
        self.record_connectivity(now_s)
        self._has_contacted_peer = True
        status = self.statuses.get(name)
        if status is None:
            return
        self._region_seen_s[status.member.region] = now_s
        if incarnation >= status.member.incarnation:
            self._death_due_s.pop(name, None)
        elif self._contest_due_s.get(name, now_s) <= now_s:
            self._contest_due_s[name] = now_s + self.bounds.contest_interval_s
            self.suspect(name, now_s, refused=False)

    def record_connectivity(self, now_s: float) -> None:
        """Record proof, such as a store reply, of network connectivity."""
        self._last_contact_s = max(self._last_contact_s, now_s)

    def suspect(self, name: str, now_s: float, *, refused: bool) -> None:
        """Suspect a member that neither this process nor helpers reached."""
        status = self.statuses.get(name)
        if status is None or status.state is State.DEAD:
            return
        if self._is_cut_off(now_s) or self._is_judged_in_region(status.member):
            return
        wait_s = self.bounds.suspicion_s
        if refused:
            wait_s = self.bounds.refused_suspicion_s
        death_due_s = self._death_due_s.get(name, now_s + wait_s)
        self._death_due_s[name] = min(death_due_s, now_s + wait_s)
        if status.state is State.ALIVE:
            self.statuses.put(status.with_state(State.SUSPECT))

    def cancel_suspicion(self, name: str) -> None:
        """Cancel the local timer, as a helper has just reached the member."""
        self._death_due_s.pop(name, None)

    def tick(self, now_s: float) -> None:
        """Declare expired suspects dead and remove members long dead."""
        gap_s = now_s - self._ticked_s
        self._ticked_s = now_s
        self.own.tick(now_s, has_peers=self._has_contacted_peer)
        if gap_s > self.bounds.max_tick_gap_s:
            self._resume(gap_s)
        if not self._is_cut_off(now_s):
            self._declare_dead(now_s)
        self._remove_expired(now_s)

    def _resume(self, gap_s: float) -> None:
        # Timers that expired while this process was paused are no evidence
        # about others, which had no chance to answer. Others may have
        # suspected this process meanwhile, so its status is renewed at once.
        for name in self._death_due_s:
            self._death_due_s[name] += gap_s
        for region in self._region_seen_s:
            self._region_seen_s[region] += gap_s
        if self.own.status().state is not State.DEAD:
            self.own.renew()

    def _declare_dead(self, now_s: float) -> None:
        due = [
            name for name, at_s in self._death_due_s.items() if at_s <= now_s
        ]
        for name in due:
            del self._death_due_s[name]
            status = self.statuses.get(name)
            if status is not None and status.state is not State.DEAD:
                self._died_at_s[name] = now_s
                self.statuses.put(status.with_state(State.DEAD))
                LOG.info(
                    'declared dead',
                    extra={
                        'member': name,
                        'incarnation': status.member.incarnation,
                    },
                )

    def _remove_expired(self, now_s: float) -> None:
        too_old_s = now_s - self.bounds.dead_retention_s
        for name, died_at_s in tuple(self._died_at_s.items()):
            if died_at_s < too_old_s:
                del self._died_at_s[name]
                self._death_due_s.pop(name, None)
                self._contest_due_s.pop(name, None)
                self.statuses.remove(name)

    def _apply(self, status: member_status.MemberStatus, now_s: float) -> None:
        self.statuses.put(status)
        self._death_due_s.pop(status.name, None)
        self._died_at_s.pop(status.name, None)
        if status.state is State.DEAD:
            self._died_at_s[status.name] = now_s
        if status.state is State.SUSPECT:
            self._death_due_s[status.name] = now_s + self.bounds.suspicion_s

    def _is_cut_off(self, now_s: float) -> bool:
        return now_s - self._last_contact_s > self.bounds.isolation_s

    def _is_judged_in_region(self, member: members.Member) -> bool:
        if member.region == self.own.member().region:
            return False
        present = collections.Counter(
            status.member.region
            for status in self.statuses.all().values()
            if status.state is not State.DEAD
        )
        return present[member.region] >= MIN_SELF_JUDGING_MEMBERS

    def _silent_regions(self, now_s: float) -> frozenset[str]:
        mine = self.own.member().region
        return frozenset(
            region
            for region, seen_s in self._region_seen_s.items()
            if region != mine and now_s - seen_s > self.bounds.region_silence_s
        )


def _presented(
    member: members.Member, silent: frozenset[str]
) -> members.Member:
    if member.state is State.ALIVE and member.region in silent:
        return attrs.evolve(member, state=State.SUSPECT)
    return member


def make_member_table(
    me: members.Member,
    now_s: float,
    bounds: member_bounds.MembershipBounds = member_bounds.DEFAULT_BOUNDS,
    switches: invariants.SafeguardSwitches | None = None,
) -> MemberTable:
    """Return a table that contains only this process."""
    return MemberTable(me, now_s, bounds, switches)
