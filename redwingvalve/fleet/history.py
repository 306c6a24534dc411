"""Remembers replicas as last seen with all members, and missing heads.

Load pattern: the entry of a head disappears because the head died, because it
leaves without notice, or because it is cut off from the store; in the last two
cases it may keep serving for ten seconds. Its members must not join another
replica meanwhile. So each node remembers who the head was and when its entry
disappeared, because the next lease holder needs this too.
"""

import attrs

from redwingvalve.fleet import endpoints, head_evidence
from redwingvalve.ingress import routes

Key = tuple[str, int]
# A replica that has not been seen for this long has no members left.
RECORD_TTL_S = 60.0
_ACTIVE_STATES = frozenset(
    (endpoints.MemberState.OPEN, endpoints.MemberState.CLOSING)
)


@attrs.define(eq=False)
class ReplicaRecord:
    """What is known of one formation of a replica."""

    # None if it was never seen with all its members.
    whole: endpoints.Replica | None
    last_seen_s: float
    head_missing_since_s: float | None = None
    has_served: bool = False
    # All members were ready at once, so an order to open it may be in flight.
    was_ready: bool = False
    # Why the head counts as stopped, None while it may serve.
    stopped_by: head_evidence.Evidence | None = None


class ReplicaHistory:
    """Records of all replicas seen within the last RECORD_TTL_S."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[Key, ReplicaRecord] = {}

    def update(
        self,
        replicas: list[endpoints.Replica],
        engine: routes.Engine,
        now_s: float,
    ) -> None:
        """Record the replicas as currently seen and drop expired records."""
        for replica in replicas:
            self._update_one(replica, engine, now_s)
        expired = [
            key
            for key, record in self._records.items()
            if now_s - record.last_seen_s > RECORD_TTL_S
        ]
        for key in expired:
            self._records.pop(key)

    def get(self, key: Key) -> ReplicaRecord | None:
        """Return the record of a replica, if there is one."""
        return self._records.get(key)

    def _update_one(
        self, replica: endpoints.Replica, engine: routes.Engine, now_s: float
    ) -> None:
        record = self._records.setdefault(
            replica.key, ReplicaRecord(None, now_s)
        )
        record.last_seen_s = now_s
        head = replica.head
        if head is None:
            if record.head_missing_since_s is None:
                record.head_missing_since_s = now_s
            return
        record.head_missing_since_s = None
        _record_head_state(record, head.membership.state)
        model = engine.find_model(replica.model)
        if model is None or len(replica.members) != model.size:
            return
        record.whole = replica
        record.was_ready = record.was_ready or _is_ready(replica)


def _record_head_state(
    record: ReplicaRecord, state: endpoints.MemberState
) -> None:
    if state in _ACTIVE_STATES:
        record.has_served = True
        if not head_evidence.is_final(record.stopped_by):
            record.stopped_by = None
    elif state is endpoints.MemberState.BROKEN:
        record.stopped_by = head_evidence.Evidence.STATED


def _is_ready(replica: endpoints.Replica) -> bool:
    return all(
        member.membership is not None
        and member.membership.state is endpoints.MemberState.READY
        for member in replica.members
    )
