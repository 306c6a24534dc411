"""Composes and takes exchanges: what two members tell each other.

An exchange has up to three parts. The question brings the asker's rumours and
one digest of each matter; the answer brings what the asker lacks and says
where the answerer differs; a supplement, sent only when it holds something,
settles that. At rest nothing but digests travels. Scuttlebutt reconciliation
(van Renesse et al. 2008) is where this comes from.
"""

import math

import attrs

from redwingvalve.membership import (
    delegates,
    member_status,
    members,
    records,
    table,
)
from redwingvalve.wire import messages

Exchange = messages.peer.Exchange
Record = messages.peer.MemberRecord
Address = tuple[str, int]
# Buckets of the member table repaired by one exchange.
MAX_BUCKETS = 2
# Sights of regions age slowly and count in tens of seconds; one exchange in
# so many brings them.
REGIONS_INTERVAL = 4
MS_PER_S = 1000
# A supplement that claims more gives back the clock of another process.
MAX_DELAY_S = 60.0


@attrs.define
class Exchanges:
    """Turns a member table and its riders into messages and back."""

    members: table.MemberTable
    registered_delegates: list[delegates.ExchangeDelegate] = attrs.field(
        factory=list
    )
    _started: int = 0
    _record_cache: dict[str, tuple[member_status.MemberStatus, Record]] = (
        attrs.field(factory=dict)
    )

    def make_request(
        self, receiver: str, region: str, now_s: float
    ) -> Exchange:
        """Return the question for one receiver."""
        request = self._start(receiver, now_s)
        current = self.members.statuses.get(receiver)
        if (
            current is not None
            and current.state is not members.MemberState.ALIVE
        ):
            # So that the receiver can refute it.
            self._add_statuses(request, [current])
        request.table_digest = self.members.statuses.digest()
        request.table_size = len(self.members.statuses.all())
        for rider in self.registered_delegates:
            rider.ask(request, region)
        return request

    def make_reply(self, received: Exchange, now_s: float) -> Exchange:
        """Return the answer to a question or supplement, once absorbed."""
        reply = self._start(received.sender.name, now_s)
        reply.clock_ms = int(now_s * MS_PER_S)
        current = self.members.statuses.get(received.sender.name)
        if current is not None and _is_older(received.sender, current):
            self._add_statuses(reply, [current])
        if received.table_digest is None:
            self._add_differing(received, reply)
            return reply
        self._add_table_difference(received, reply)
        for rider in self.registered_delegates:
            rider.answer(received, reply)
        return reply

    def make_follow_up(self, received: Exchange) -> Exchange | None:
        """Return what an answer showed to be lacking there, if anything."""
        added = Exchange(sender=self._record(self.members.local.status()))
        added.changes = []
        added.clock_ms = received.clock_ms
        self._add_differing(received, added)
        if received.table_digests:
            added.table_digests = self.members.statuses.digests()
        supplied = [
            rider.follow_up(received, added)
            for rider in self.registered_delegates
        ]
        if received.table_digests or any(supplied):
            return added
        return None

    def receive(
        self,
        received: Exchange,
        address: Address | None,
        now_s: float,
        sent_s: float | None = None,
    ) -> bool:
        """Take an exchange; False when it has no sound sender.

        asked_s is when the question was packed, if this is its answer.
        """
        if received.sender is None:
            return False
        fresh = [
            record
            for record in (received.sender, *(received.changes or ()))
            if not self._is_held(record)
        ]
        self.members.merge(records.from_records(fresh), now_s)
        sender = self.members.statuses.get(received.sender.name or '')
        if sender is None:
            return False
        self.members.merge_region_ages(_region_ages(received), now_s)
        self.members.record_contact(sender.name, now_s)
        source = address or (sender.member.host, sender.member.peer_port)
        for rider in self.registered_delegates:
            rider.receive(received, source, _delay_s(received, sent_s, now_s))
        return True

    def _start(self, receiver: str, now_s: float) -> Exchange:
        started = Exchange(sender=self._record(self.members.local.status()))
        started.changes = []
        self._add_statuses(
            started, self.members.statuses.take_broadcasts(receiver)
        )
        self._started += 1
        if self._started % REGIONS_INTERVAL == 1:
            started.regions = [
                messages.peer.RegionSight(region, int(age_s * MS_PER_S))
                for region, age_s in self.members.region_ages(now_s).items()
            ]
        return started

    def _add_table_difference(
        self, received: Exchange, reply: Exchange
    ) -> None:
        store = self.members.statuses
        if received.table_digest == store.digest():
            return
        if 2 * (received.table_size or 0) <= len(store.all()):
            # A newcomer gets the whole table at once.
            self._add_statuses(reply, list(store.all().values()))
            return
        reply.table_digests = store.digests()

    def _add_differing(self, received: Exchange, reply: Exchange) -> None:
        self._add_statuses(
            reply,
            self.members.statuses.differing_statuses(
                received.table_digests, MAX_BUCKETS
            ),
        )

    def _add_statuses(
        self, exchange: Exchange, added: list[member_status.MemberStatus]
    ) -> None:
        present = {record.name for record in exchange.changes}
        exchange.changes.extend(
            self._record(status)
            for status in added
            if status.name not in present
        )

    def _record(self, status: member_status.MemberStatus) -> Record:
        cached = self._record_cache.get(status.name)
        if cached is None or cached[0] is not status:
            cached = (status, records.to_record(status))
            self._record_cache[status.name] = cached
        return cached[1]

    def _is_held(self, record: Record) -> bool:
        current = self.members.statuses.get(record.name or '')
        return (
            current is not None
            and current.heartbeat == record.heartbeat
            and current.member.incarnation == record.incarnation
            and current.state.value == record.state
        )


def _is_older(sender: Record, current: member_status.MemberStatus) -> bool:
    said = (sender.incarnation or 0, sender.heartbeat or 0)
    return current.order() > (*said, 0)


def _region_ages(received: Exchange) -> dict[str, float]:
    return {
        sight.region: sight.age_ms / MS_PER_S
        for sight in received.regions or ()
        if sight.region and sight.age_ms is not None
    }


def _delay_s(received: Exchange, sent_s: float | None, now_s: float) -> float:
    """Return how long ago an exchange was packed at most.

    A message waits in a socket while its sender or receiver is paused. Were
    that time not counted, what it says of a VM would look younger by the
    pause, and a replica that lost the VM would get work for so much longer.
    """
    if sent_s is not None:
        return max(now_s - sent_s, 0.0)
    if received.clock_ms is None:
        return math.inf
    delay_s = now_s - received.clock_ms / MS_PER_S
    if delay_s < 0 or delay_s > MAX_DELAY_S:
        return math.inf
    return delay_s
