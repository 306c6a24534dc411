"""Chooses peers for one process from its table, with its randomness."""

import random

from redwingvalve.membership import gossip_targets, members, table

Address = tuple[str, int]


class PeerChoice:
    """Whom to exchange with; the regional peers are kept until a change."""

    def __init__(
        self,
        member_table: table.MemberTable,
        contacts: tuple[Address, ...],
        randomness: random.Random,
    ) -> None:
        """Choose from member_table and, before it knows them, contacts."""
        self._table = member_table
        self._contacts = contacts
        self._randomness = randomness
        self._rotation = gossip_targets.Rotation(randomness)
        self._regional: tuple[members.Member, ...] = ()
        self._revision = -1

    def add_contacts(self, contacts: tuple[Address, ...]) -> None:
        """Try these addresses too when they belong to nobody known."""
        known = set(self._contacts)
        fresh = [address for address in contacts if address not in known]
        self._contacts += tuple(fresh)

    def regional(self) -> tuple[members.Member, ...]:
        """Return those that this process exchanges with in its region."""
        book = self._table.statuses
        if self._revision != book.revision:
            self._revision = book.revision
            self._regional = gossip_targets.regional(
                book.held(), self._table.own.member()
            )
        return self._regional

    def next(self) -> members.Member | None:
        """Return the next regional peer in turn."""
        return self._rotation.next(self.regional())

    def abroad(self) -> members.Member | None:
        """Return a member elsewhere, if this process speaks for its VM."""
        held, me = self._table.statuses.held(), self._table.own.member()
        if not gossip_targets.speaks(held, me):
            return None
        return gossip_targets.foreign(held, me, self._randomness)

    def sample(self, count: int) -> list[members.Member]:
        """Return some regional peers and one abroad."""
        near = self.regional()
        chosen = self._randomness.sample(near, min(count, len(near)))
        abroad = self.abroad()
        return chosen if abroad is None else [*chosen, abroad]

    def helpers(
        self, member: members.Member, count: int
    ) -> list[members.Member]:
        """Return others that may reach a member which we can't reach."""
        others = [
            other
            for other in self.regional()
            if other.name != member.name
            and other.state is members.MemberState.ALIVE
        ]
        return self._randomness.sample(others, min(count, len(others)))

    def dead(self) -> members.Member | None:
        """Return one of the dead, to find out whether it is back."""
        return gossip_targets.dead(
            self._table.statuses.held(), self._randomness
        )

    def contacts(self) -> list[Address]:
        """Return all contacts but ourselves."""
        me = self._table.own.member()
        mine = (me.host, me.peer_port)
        return [address for address in self._contacts if address != mine]

    def unmet_contact(self) -> Address | None:
        """Return a contact that belongs to no known member."""
        present = {
            (word.member.host, word.member.peer_port)
            for word in self._table.statuses.held().values()
        }
        unmet = [
            address for address in self.contacts() if address not in present
        ]
        return self._randomness.choice(unmet) if unmet else None
