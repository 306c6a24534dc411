"""The interface of membership to other packages."""

import abc
import enum

import attrs


class MemberState(enum.StrEnum):
    """State of a member as this process sees it."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@attrs.frozen
class Member:
    """One process of the fleet; incarnation increases with every start.

    Processes with the same vm have one representative that gossips for all;
    an empty vm means that the process gossips for itself.
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
    """The members of the fleet as this process sees them."""

    @abc.abstractmethod
    def local_member(self) -> Member:
        """Return this process."""

    @abc.abstractmethod
    def known(self) -> tuple[Member, ...]:
        """Return every member, this process and recently dead ones included."""

    @abc.abstractmethod
    def isolated(self) -> bool:
        """Return whether this process has had no contact for too long."""

    def alive(self, role: str = 'entry') -> tuple[Member, ...]:
        """Return the members of a role that may receive new work."""
        return tuple(
            member
            for member in self.known()
            if member.role == role
            and member.state in {MemberState.ALIVE, MemberState.SUSPECT}
        )
