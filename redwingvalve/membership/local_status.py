"""The status of the local process; only it may raise its heartbeat."""

import attrs

from redwingvalve.membership import member_status, members, status_store
from redwingvalve.observability import logs

LOG = logs.make_logger('membership')
State = members.MemberState


class LocalStatus:
    """The local member's status, and refutations of what peers report of it."""

    def __init__(
        self, me: members.Member, store: status_store.StatusStore
    ) -> None:
        """Add me to the store as alive."""
        self.superseded = False
        self._name = me.name
        self._statuses = store
        self._joined = False
        store.put(member_status.MemberStatus(me, 0))

    def status(self) -> member_status.MemberStatus:
        """Return the current status."""
        return self._statuses.all()[self._name]

    def member(self) -> members.Member:
        """Return this process."""
        return self.status().member

    def mark_joined(self) -> None:
        """Record the end of the first exchange; the incarnation is final."""
        self._joined = True

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
        if self._is_predecessor_leaving(reported):
            self._start_incarnation_after(reported)
            return
        if (
            reported.order() > current.order()
            and current.state is not State.DEAD
        ):
            self._refute(reported.heartbeat)

    def _handle_later_incarnation(
        self, reported: member_status.MemberStatus
    ) -> None:
        # Before the first exchange, or if the later incarnation is dead, the
        # clock of this VM merely runs behind. Otherwise another process with
        # the same name started later, and only one of the two may continue.
        # If that process is gone, it is declared dead, as its peers hear only
        # from this one.
        if self._joined and reported.state is not State.DEAD:
            if not self.superseded:
                LOG.warning('superseded', extra=self._log_fields(reported))
            self.superseded = True
            return
        self.superseded = False
        self._start_incarnation_after(reported)

    def _is_predecessor_leaving(
        self, reported: member_status.MemberStatus
    ) -> bool:
        """Return whether a process of the same incarnation left before.

        Leaving is final within an incarnation, so a restarted process under
        the same number would be taken for leaving for ever.
        """
        current = self.status()
        return (
            current.state is State.ALIVE
            and reported.state is State.LEAVING
            and reported.member.incarnation == current.member.incarnation
        )

    def _start_incarnation_after(
        self, reported: member_status.MemberStatus
    ) -> None:
        LOG.info('incarnation raised', extra=self._log_fields(reported))
        incarnation = reported.member.incarnation + 1
        restarted = attrs.evolve(self.member(), incarnation=incarnation)
        self._statuses.put(member_status.MemberStatus(restarted, 0))

    def _refute(self, heartbeat: int) -> None:
        current = self.status()
        raised = max(heartbeat, current.heartbeat) + 1
        self._statuses.put(member_status.MemberStatus(current.member, raised))
        self._statuses.mark_urgent()

    def _set_state(self, state: State) -> None:
        current = self.status()
        changed = attrs.evolve(current.member, state=state)
        self._statuses.put(
            member_status.MemberStatus(changed, current.heartbeat + 1)
        )

    def _log_fields(
        self, reported: member_status.MemberStatus
    ) -> dict[str, str | int]:
        return {
            'member': self._name,
            'incarnation': self.member().incarnation,
            'reported_incarnation': reported.member.incarnation,
            'reported_state': reported.state.value,
        }
