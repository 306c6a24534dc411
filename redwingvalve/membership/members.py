"""Members as the other slices see them."""

import abc
import enum

import attrs


class MemberState(enum.StrEnum):
    """What this process believes of a member."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@attrs.frozen
class Member:
    """One process of ours; incarnation rises with every start.

    Processes with the same vm share one that gossips; empty means alone.
    """

    name: str
    incarnation: int
    role: str
    host: str
    peer_port: int
    http_port: int
    data_centre: str
    region: str
    state: MemberState = MemberState.ALIVE
    vm: str = ''


class Members(abc.ABC):
    """Who is there, in this process's own view."""

    @abc.abstractmethod
    def local_member(self) -> Member:
        """Return this process."""

    @abc.abstractmethod
    def known(self) -> tuple[Member, ...]:
        """Return every member that is not forgotten, this one included."""

    @abc.abstractmethod
    def isolated(self) -> bool:
        """Tell whether this process has heard from nobody for too long."""

    def alive(self, role: str = 'entry') -> tuple[Member, ...]:
        """Return the members of a role that may get new work."""
        return tuple(
            member
            for member in self.known()
            if member.role == role
            and member.state in {MemberState.ALIVE, MemberState.SUSPECT}
        )
