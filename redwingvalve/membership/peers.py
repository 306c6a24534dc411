"""Chooses peers for one process from its table, with its randomness."""

import random

from redwingvalve.membership import gossip_targets, members, table

Address = tuple[str, int]


class PeerSelector:
    """Whom to exchange with; the regional peers are kept until a change."""

    def __init__(
        self,
        member_table: table.MemberTable,
        contacts: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        """Choose from member_table and, before it knows them, contacts."""
        self._table = member_table
        self._contacts = contacts
        self._rng = rng
        self._rotation = gossip_targets.Rotation(rng)
        self._regional: tuple[members.Member, ...] = ()
        self._revision = -1

    def add_contacts(self, contacts: tuple[Address, ...]) -> None:
        """Try these addresses too when they belong to nobody known."""
        known = set(self._contacts)
        fresh = [address for address in contacts if address not in known]
        self._contacts += tuple(fresh)

    def regional(self) -> tuple[members.Member, ...]:
        """Return those that this process exchanges with in its region."""
        store = self._table.statuses
        if self._revision != store.revision:
            self._revision = store.revision
            self._regional = gossip_targets.regional(
                store.all(), self._table.local.member()
            )
        return self._regional

    def next(self) -> members.Member | None:
        """Return the next regional peer in turn."""
        return self._rotation.next(self.regional())

    def remote(self) -> members.Member | None:
        """Return a member elsewhere, if this process speaks for its VM."""
        statuses, me = self._table.statuses.all(), self._table.local.member()
        if not gossip_targets.is_representative(statuses, me):
            return None
        return gossip_targets.pick_remote(statuses, me, self._rng)

    def sample(self, count: int) -> list[members.Member]:
        """Return some regional peers and one abroad."""
        near = self.regional()
        chosen = self._rng.sample(near, min(count, len(near)))
        remote = self.remote()
        return chosen if remote is None else [*chosen, remote]

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
        return self._rng.sample(others, min(count, len(others)))

    def dead(self) -> members.Member | None:
        """Return one of the dead, to find out whether it is back."""
        return gossip_targets.pick_dead(self._table.statuses.all(), self._rng)

    def contacts(self) -> list[Address]:
        """Return all contacts but ourselves."""
        me = self._table.local.member()
        mine = (me.host, me.peer_port)
        return [address for address in self._contacts if address != mine]

    def unknown_contact(self) -> Address | None:
        """Return a contact that belongs to no known member."""
        present = {
            (status.member.host, status.member.peer_port)
            for status in self._table.statuses.all().values()
        }
        unmet = [
            address for address in self.contacts() if address not in present
        ]
        return self._rng.choice(unmet) if unmet else None
