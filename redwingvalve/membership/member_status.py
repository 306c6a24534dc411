"""What is said of a member, and which of two words is the newer one.

A word is ordered by the member's incarnation, then by the heartbeat number,
which only the member itself raises, then by how grave it is. A member that
hears a grave word of itself refutes it with a higher heartbeat; words of
others can therefore be late, doubled or reordered without harm.
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
    """A member as its newest word has it."""

    member: members.Member
    heartbeat: int

    @property
    def name(self) -> str:
        """Return the member's name."""
        return self.member.name

    @property
    def state(self) -> members.MemberState:
        """Return the state that the word gives."""
        return self.member.state

    def order(self) -> tuple[int, int, int]:
        """Return the key by which newer words are greater."""
        precedence = _PRECEDENCE[self.member.state]
        return (self.member.incarnation, self.heartbeat, precedence)

    def with_state(self, state: members.MemberState) -> 'MemberStatus':
        """Return the same word with a graver state."""
        return MemberStatus(
            attrs.evolve(self.member, state=state), self.heartbeat
        )


def supersedes(
    newer: MemberStatus, current: MemberStatus | None, *, leaving_is_final: bool
) -> bool:
    """Tell whether a word is newer than the one held.

    Nobody returns from LEAVING within an incarnation. A word that says so is
    forged or a fault, and to believe it would send new work to an entry that
    is about to stop; leaving_stays is off only in proofs.
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
