"""Versioned status of a member and the order between two versions.

Statuses are ordered by incarnation, then by heartbeat, which only the member
itself raises, then by precedence of the state: alive or leaving, suspect,
dead. A member that learns that it is suspected or declared dead refutes this
with a higher heartbeat. Statuses can therefore arrive late, twice or out of
order without harm.
"""

import types

import attrs

from redwingvalve.membership import members

_PRECEDENCE = types.MappingProxyType(
    {
        members.MemberState.ALIVE: 0,
        members.MemberState.LEAVING: 0,
        members.MemberState.SUSPECT: 1,
        members.MemberState.DEAD: 2,
    }
)


@attrs.frozen
class MemberStatus:
    """A member with the heartbeat at which it had this state."""

    member: members.Member
    heartbeat: int
    # Of the local process only, until its incarnation is final.
    is_provisional: bool = False

    @property
    def name(self) -> str:
        """Return the member's name."""
        return self.member.name

    @property
    def state(self) -> members.MemberState:
        """Return the member's state."""
        return self.member.state

    def version(self) -> tuple[int, int, int]:
        """Return the incarnation, the heartbeat and the state's precedence."""
        precedence = _PRECEDENCE[self.member.state]
        return (self.member.incarnation, self.heartbeat, precedence)

    def order(self) -> tuple[bool, int, int, int]:
        """Return a sort key that is greater for newer statuses.

        A provisional status is the newest: its incarnation will be above all
        others of the name, but by how much isn't known yet.
        """
        return (self.is_provisional, *self.version())

    def with_state(self, state: members.MemberState) -> 'MemberStatus':
        """Return a copy with another state and the same heartbeat."""
        return MemberStatus(
            attrs.evolve(self.member, state=state), self.heartbeat
        )


def supersedes(
    newer: MemberStatus, current: MemberStatus | None, *, leaving_is_final: bool
) -> bool:
    """Return whether a status replaces the current one.

    LEAVING is final within an incarnation. A status that reverts it is forged
    or faulty, and accepting it would send new work to an entry that is about
    to stop. leaving_is_final is off only in tests that prove the safeguard.
    """
    if current is None:
        return True
    if newer.order() <= current.order():
        return False
    if newer.member.incarnation > current.member.incarnation:
        return True
    if current.state is members.MemberState.LEAVING and leaving_is_final:
        return newer.state in {
            members.MemberState.LEAVING,
            members.MemberState.DEAD,
        }
    return True
