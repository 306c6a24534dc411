"""The status of the local process; only it may raise its heartbeat.

A process starts with a provisional incarnation, as the clock of its VM may run
behind that of an earlier process of its name. The incarnation is final a while
after a member that knows the fleet has answered with what it knows of the
name. Until then the process starts above any incarnation that it hears of.
"""

import secrets

import attrs

from redwingvalve.membership import bounds as member_bounds
from redwingvalve.membership import member_status, members, status_store
from redwingvalve.observability import logs

LOG = logs.make_logger('membership')
State = members.MemberState
TOKEN_BITS = 62


class LocalStatus:
    """The local member's status, and refutations of what peers report of it."""

    def __init__(
        self,
        me: members.Member,
        store: status_store.StatusStore,
        bounds: member_bounds.MembershipBounds,
        started_s: float,
    ) -> None:
        """Add me to the store as alive."""
        self.superseded = False
        # Whether a member that knows the fleet has answered.
        self.is_informed = False
        self._name = me.name
        self._statuses = store
        self._bounds = bounds
        self._started_s = started_s
        self._final_at_s: float | None = None
        self._is_provisional = True
        self._has_asked = False
        self._token = secrets.randbits(TOKEN_BITS)
        self._put(me, 0)

    def status(self) -> member_status.MemberStatus:
        """Return the current status."""
        return self._statuses.all()[self._name]

    def member(self) -> members.Member:
        """Return this process."""
        return self.status().member

    @property
    def join_token(self) -> int | None:
        """Return the token that an answer must repeat, or None if informed.

        Answers to an earlier process of the same name don't have it.
        """
        return None if self.is_informed else self._token

    def record_request(self) -> None:
        """Record that a member has been asked, so this isn't the first one."""
        self._has_asked = True

    def mark_joined(self) -> None:
        """Record that all contacts have been tried.

        A process without contacts is the first one, and its incarnation is
        final.
        """
        if not self._has_asked:
            self._inform(self._started_s)
            self._settle()

    def record_answer(
        self, token: int, predecessor: int | None, now_s: float
    ) -> None:
        """Record what an informed member knows of this process's name.

        predecessor is the incarnation of an earlier process, if any.
        """
        if token != self.join_token:
            return
        if predecessor is not None:
            self._start_above(predecessor)
        self._inform(now_s)

    def tick(self, now_s: float, *, has_peers: bool) -> None:
        """Make the incarnation final when it is time.

        If all members have just started, none of them is informed, and waiting
        for an answer is pointless.
        """
        waited_s = now_s - self._started_s
        if has_peers and waited_s >= self._bounds.join_timeout_s:
            self._inform(now_s)
        if self._final_at_s is not None and now_s >= self._final_at_s:
            self._settle()

    def leave(self) -> None:
        """Announce that this process takes no new work."""
        if self.status().state is not State.LEAVING:
            self._set_state(State.LEAVING)

    def depart(self) -> None:
        """Announce that this process is stopping."""
        self._set_state(State.DEAD)

    def renew(self) -> None:
        """Raise the heartbeat, which refutes all suspicions so far."""
        self._refute(self.status().heartbeat)

    def refute_report(self, reported: member_status.MemberStatus) -> None:
        """Refute a peer's report on this process if it is newer."""
        current = self.status()
        if reported.member.incarnation > current.member.incarnation:
            self._handle_later_incarnation(reported)
            return
        if self._is_of_predecessor(reported):
            self._start_above(reported.member.incarnation)
            return
        if (
            reported.version() > current.version()
            and current.state is not State.DEAD
        ):
            self._refute(reported.heartbeat)

    def _handle_later_incarnation(
        self, reported: member_status.MemberStatus
    ) -> None:
        # While the incarnation is provisional, or if the later one is dead, the
        # clock of this VM merely runs behind. Otherwise another process with
        # the same name started later, and only one of the two may continue.
        # If that process is gone, it is declared dead, as its peers hear only
        # from this one.
        if self._is_provisional or reported.state is State.DEAD:
            self.superseded = False
            self._start_above(reported.member.incarnation)
            return
        if not self.superseded:
            fields = _log_fields(self.member(), reported.member.incarnation)
            LOG.warning('superseded', extra=fields)
        self.superseded = True

    def _is_of_predecessor(self, reported: member_status.MemberStatus) -> bool:
        """Return whether an earlier process had the same incarnation.

        Leaving is final within an incarnation, so a restarted process under
        the same number would be taken for leaving for ever. And a heartbeat
        that this process never had is that of another one.
        """
        current = self.status()
        if reported.member.incarnation != current.member.incarnation:
            return False
        if current.state is State.ALIVE and reported.state is State.LEAVING:
            return True
        return self._is_provisional and reported.heartbeat > current.heartbeat

    def _start_above(self, incarnation: int) -> None:
        member = self.member()
        if member.incarnation > incarnation:
            return
        LOG.info('incarnation raised', extra=_log_fields(member, incarnation))
        self._put(attrs.evolve(member, incarnation=incarnation + 1), 0)

    def _inform(self, now_s: float) -> None:
        if not self.is_informed:
            self.is_informed = True
            self._final_at_s = now_s + self._bounds.settle_s

    def _settle(self) -> None:
        if self._is_provisional:
            self._is_provisional = False
            current = self.status()
            self._put(current.member, current.heartbeat)

    def _refute(self, heartbeat: int) -> None:
        current = self.status()
        self._put(current.member, max(heartbeat, current.heartbeat) + 1)
        self._statuses.mark_urgent()

    def _set_state(self, state: State) -> None:
        current = self.status()
        changed = attrs.evolve(current.member, state=state)
        self._put(changed, current.heartbeat + 1)

    def _put(self, member: members.Member, heartbeat: int) -> None:
        self._statuses.put(
            member_status.MemberStatus(member, heartbeat, self._is_provisional)
        )


def _log_fields(member: members.Member, reported: int) -> dict[str, str | int]:
    return {
        'member': member.name,
        'incarnation': member.incarnation,
        'reported_incarnation': reported,
    }
