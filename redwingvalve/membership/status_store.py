"""The latest status of each member, with digests and pending broadcasts."""

from collections import abc as collections_abc

from redwingvalve.core import invariants
from redwingvalve.membership import (
    broadcast_queue,
    digests,
    member_status,
    members,
)

State = members.MemberState


class StatusStore:
    """Statuses by member name; updates are checked, digested and broadcast."""

    def __init__(
        self, switches: invariants.SafeguardSwitches | None = None
    ) -> None:
        """Start empty."""
        self.revision = 0
        self._switches = switches or invariants.SafeguardSwitches()
        self._statuses: dict[str, member_status.MemberStatus] = {}
        self._broadcasts = broadcast_queue.BroadcastQueue()
        self._digests = digests.TableDigests()
        self._changed = False

    def all(
        self,
    ) -> collections_abc.Mapping[str, member_status.MemberStatus]:
        """Return the latest status of every member."""
        return self._statuses

    def get(self, name: str) -> member_status.MemberStatus | None:
        """Return the latest status of a member."""
        return self._statuses.get(name)

    def accepts(self, status: member_status.MemberStatus) -> bool:
        """Return whether a status from a peer supersedes the stored one."""
        current = self._statuses.get(status.name)
        if current is None:
            # Members that were never known alive aren't added as dead.
            return status.state is not State.DEAD
        stays = self._switches.enabled(invariants.Safeguard.LEAVING_EXCLUDED)
        return member_status.supersedes(status, current, leaving_is_final=stays)

    def put(self, status: member_status.MemberStatus) -> None:
        """Replace a member's status and queue it for broadcast."""
        current = self._statuses.get(status.name)
        _require_order(status, current)
        self._digests.update(current, status)
        self._statuses[status.name] = status
        self._broadcasts.add(status.name)
        self.revision += 1
        self._changed = self._changed or _urgent(status, current)

    def remove(self, name: str) -> None:
        """Remove a member."""
        self._digests.update(self._statuses.pop(name, None), None)
        self._broadcasts.drop(name)
        self.revision += 1

    def mark_urgent(self) -> None:
        """Request an urgent round for pending changes."""
        self._changed = True

    def take_changed(self) -> bool:
        """Return and reset whether an urgent round is needed."""
        changed = self._changed
        self._changed = False
        return changed

    def take_broadcasts(
        self, receiver: str
    ) -> list[member_status.MemberStatus]:
        """Return the statuses to broadcast in one message."""
        return self._broadcasts.take(self._statuses, receiver)

    def digest(self) -> int:
        """Return a single digest of all statuses."""
        return self._digests.total()

    def digests(self) -> list[int]:
        """Return the digests of all buckets."""
        return self._digests.as_list()

    def differing_statuses(
        self, other_digests: list[int] | None, limit: int
    ) -> list[member_status.MemberStatus]:
        """Return the statuses in the first limit buckets that differ."""
        if not other_digests:
            return []
        wanted = set(self._digests.differing(other_digests)[:limit])
        return [
            status
            for status in self._statuses.values()
            if digests.bucket_of(status.name) in wanted
        ]


def _urgent(
    status: member_status.MemberStatus,
    current: member_status.MemberStatus | None,
) -> bool:
    """Return whether a status has to be broadcast in an urgent round.

    Suspicions and refutations don't: the suspicion time spans several regular
    rounds, and a burst of suspicions must not amplify itself.
    """
    if current is None or status.state in {State.LEAVING, State.DEAD}:
        return True
    return status.member.incarnation != current.member.incarnation


def _require_order(
    status: member_status.MemberStatus,
    current: member_status.MemberStatus | None,
) -> None:
    if current is None:
        return
    is_settled = (
        current.is_provisional and status.version() >= current.version()
    )
    invariants.require(
        is_settled or status.order() > current.order(),
        'one incarnation',
        f'{status.name} would go back'
        f' from {current.order()} to {status.order()}',
    )
    if status.member.incarnation > current.member.incarnation:
        return
    invariants.require(
        current.state is not State.LEAVING
        or status.state in {State.LEAVING, State.DEAD},
        'leaving is final',
        f'{status.name} would be {status.state} after leaving',
    )
