"""Selects peers for one process from its member table."""

import collections
import random

from redwingvalve.membership import gossip_targets, members, table

Address = tuple[str, int]


class PeerSelector:
    """Selects peers; regional peers are cached until the table changes."""

    def __init__(
        self,
        member_table: table.MemberTable,
        contacts: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        """Select from member_table and from contacts not yet in it."""
        self._table = member_table
        self._contacts = contacts
        self._rng = rng
        self._rotation = gossip_targets.Rotation(rng)
        # Number of times that unknown contacts were asked.
        self._asked: collections.Counter[Address] = collections.Counter()
        self._regional: tuple[members.Member, ...] = ()
        self._revision = -1

    def add_contacts(self, contacts: tuple[Address, ...]) -> None:
        """Add addresses to try while they belong to no known member."""
        known = set(self._contacts)
        new_contacts = [address for address in contacts if address not in known]
        self._contacts += tuple(new_contacts)

    def regional(self) -> tuple[members.Member, ...]:
        """Return the peers of this process in its own region."""
        store = self._table.statuses
        if self._revision != store.revision:
            self._revision = store.revision
            self._regional = gossip_targets.regional(
                store.all(), self._table.own.member()
            )
        return self._regional

    def next(self) -> members.Member | None:
        """Return the next regional peer in the rotation."""
        return self._rotation.next(self.regional())

    def remote(self) -> members.Member | None:
        """Return a member of another region, or None.

        Only the representative of a VM has remote peers.
        """
        statuses, me = self._table.statuses.all(), self._table.own.member()
        if not gossip_targets.is_representative(statuses, me):
            return None
        return gossip_targets.pick_remote(statuses, me, self._rng)

    def sample(self, count: int) -> list[members.Member]:
        """Return up to count regional peers and one remote member."""
        regional = self.regional()
        sampled = self._rng.sample(regional, min(count, len(regional)))
        remote = self.remote()
        return sampled if remote is None else [*sampled, remote]

    def helpers(
        self, member: members.Member, count: int
    ) -> list[members.Member]:
        """Return peers to probe a member that this process can't reach."""
        others = [
            other
            for other in self.regional()
            if other.name != member.name
            and other.state is members.MemberState.ALIVE
        ]
        return self._rng.sample(others, min(count, len(others)))

    def dead(self) -> members.Member | None:
        """Return a dead member, to check whether it is back."""
        return gossip_targets.pick_dead(self._table.statuses.all(), self._rng)

    def contacts(self) -> list[Address]:
        """Return all contacts but this process itself."""
        me = self._table.own.member()
        mine = (me.host, me.peer_port)
        return [address for address in self._contacts if address != mine]

    def unknown_contact(self) -> Address | None:
        """Return the next contact that belongs to no known member.

        They are asked in turn, so that those that are gone don't keep this
        process from one that lives.
        """
        present = {
            (status.member.host, status.member.peer_port)
            for status in self._table.statuses.all().values()
        }
        unmet = [
            address for address in self.contacts() if address not in present
        ]
        if not unmet:
            return None
        self._rng.shuffle(unmet)
        address = min(unmet, key=self._asked.__getitem__)
        self._asked[address] += 1
        return address
