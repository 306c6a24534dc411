"""What a replica to be formed consists of, and what endpoints say of one."""

import typing

import attrs

from redwingvalve.fleet import endpoints

ReplicaKey: typing.TypeAlias = tuple[str, int]
NOT_SERVING = frozenset(
    (endpoints.MemberState.READY, endpoints.MemberState.BROKEN)
)


@attrs.frozen
class ReplicaSpec:
    """The name, epoch and members of a replica to be formed."""

    name: str
    epoch: int
    members: tuple[endpoints.Endpoint, ...]
    # Duration of the slowest join.
    expected_join_s: float

    @property
    def key(self) -> ReplicaKey:
        """Return the name and epoch, which identify the replica."""
        return self.name, self.epoch

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Return the ids in order, the head first."""
        return tuple(member.endpoint_id for member in self.members)


def name_of(endpoint: endpoints.Endpoint) -> str:
    """Return the name of an endpoint's replica, '' without one."""
    return endpoint.membership.replica if endpoint.membership else ''


def is_member(endpoint: endpoints.Endpoint, key: ReplicaKey) -> bool:
    """Return whether an endpoint says that it is in a replica."""
    membership = endpoint.membership
    if membership is None:
        return False
    return membership.key == key


def still_serves(
    head: endpoints.Endpoint, current: endpoints.Membership | None
) -> bool:
    """Return whether a head that now says current serves as it did."""
    before = head.membership
    if before is None or current is None:
        return False
    if before.key != current.key:
        return False
    return current.state not in NOT_SERVING


def may_join_elsewhere(
    replica: endpoints.Replica, ordered_epochs: dict[tuple[str, int], int]
) -> bool:
    """Return whether a member may still execute an order to join elsewhere.

    Orders are executed up to twelve seconds late, and those of an earlier lease
    holder aren't known here: a member would leave a replica that was opened in
    the meantime. Only members of the newest epoch refuse all such orders.
    """
    return any(
        ordered_epochs.get(member.incarnation) != replica.epoch
        for member in replica.members
    )
