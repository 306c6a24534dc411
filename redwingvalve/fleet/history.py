"""Replicas as they were when last seen whole, and since when heads are gone.

Load pattern: a head's entry goes because it died, because it leaves without a
word, or because it is cut off from the store; in the last two cases it may
still be at work for ten seconds. Its members may join nothing else meanwhile,
so each node keeps in mind who the head was and when it went: the next holder
of the lease needs to know too.
"""

import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.ingress import routes

Key = tuple[str, int]
# A replica that has not been seen for this long has no members left.
FORGET_S = 60.0
_ACTIVE = frozenset((endpoints.MemberState.OPEN, endpoints.MemberState.CLOSING))


@attrs.define(eq=False)
class ReplicaRecord:
    """What is known of one forming of a replica."""

    # None if it was never seen with all its members.
    whole: endpoints.Replica | None
    seen_s: float
    head_missing_since_s: float | None = None
    has_served: bool = False
    # All members were ready at once: an order to open it may be under way.
    was_ready: bool = False
    # Its head is known to serve no more.
    is_head_stopped: bool = False


class ReplicaHistory:
    """All replicas that have been seen lately."""

    def __init__(self) -> None:
        """Start with none."""
        self._past: dict[Key, ReplicaRecord] = {}

    def update(
        self,
        replicas: list[endpoints.Replica],
        engine: routes.Engine,
        now_s: float,
    ) -> None:
        """Take replicas as they are seen now."""
        for replica in replicas:
            self._update_one(replica, engine, now_s)
        forgotten = [
            key
            for key, past in self._past.items()
            if now_s - past.seen_s > FORGET_S
        ]
        for key in forgotten:
            self._past.pop(key)

    def get(self, key: Key) -> ReplicaRecord | None:
        """Return what is known of a replica."""
        return self._past.get(key)

    def _update_one(
        self, replica: endpoints.Replica, engine: routes.Engine, now_s: float
    ) -> None:
        past = self._past.setdefault(replica.key, ReplicaRecord(None, now_s))
        past.seen_s = now_s
        head = replica.head
        if head is None:
            if past.head_missing_since_s is None:
                past.head_missing_since_s = now_s
            return
        past.head_missing_since_s = None
        past.has_served = past.has_served or head.membership.state in _ACTIVE
        model = engine.find_model(replica.model)
        if model is None or len(replica.members) != model.size:
            return
        past.whole = replica
        past.was_ready = past.was_ready or _is_ready(replica)


def _is_ready(replica: endpoints.Replica) -> bool:
    return all(
        member.membership is not None
        and member.membership.state is endpoints.MemberState.READY
        for member in replica.members
    )
