"""Builds and processes exchanges, the messages of anti-entropy gossip.

An exchange has up to three messages. The request carries pending broadcasts
and one digest for each kind of state; the reply carries what the requester
lacks and the digests that differ; a follow-up, sent only when it isn't empty,
carries what the replier lacks. When nothing changes, only digests are sent.
Follows Scuttlebutt reconciliation (van Renesse et al. 2008).
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
# Differing buckets of the member table that one message reconciles.
MAX_BUCKETS = 2
# Region ages matter on a scale of tens of seconds, so only one in this many
# messages carries them.
REGIONS_INTERVAL = 4
MS_PER_S = 1000
# A longer delay means that the clock in a follow-up is from another process.
MAX_DELAY_S = 60.0


@attrs.define
class Exchanges:
    """Converts a member table and delegate state to messages and back."""

    members: table.MemberTable
    registered_delegates: list[delegates.ExchangeDelegate] = attrs.field(
        factory=list
    )
    _started: int = 0
    # For each name, the token of the last process that joined and the
    # incarnation known before it.
    _joining: dict[str, tuple[int, int | None]] = attrs.field(factory=dict)
    _record_cache: dict[str, tuple[member_status.MemberStatus, Record]] = (
        attrs.field(factory=dict)
    )

    def make_request(
        self, receiver: str, region: str, now_s: float
    ) -> Exchange:
        """Return the request for one receiver."""
        self.members.own.record_request()
        request = self._start(receiver, now_s)
        current = self.members.statuses.get(receiver)
        if (
            current is not None
            and current.state is not members.MemberState.ALIVE
        ):
            # Lets the receiver refute it.
            self._add_statuses(request, [current])
        request.table_digest = self.members.statuses.digest()
        request.table_size = len(self.members.statuses.all())
        for delegate in self.registered_delegates:
            delegate.ask(request, region)
        return request

    def make_reply(self, received: Exchange, now_s: float) -> Exchange:
        """Return the reply to a request or follow-up already received."""
        reply = self._start(received.sender.name, now_s)
        reply.clock_ms = int(now_s * MS_PER_S)
        self._answer_join(received, reply)
        current = self.members.statuses.get(received.sender.name)
        if current is not None and _is_older(received.sender, current):
            self._add_statuses(reply, [current])
        if received.table_digest is None:
            self._add_differing(received, reply)
            return reply
        self._add_table_difference(received, reply)
        for delegate in self.registered_delegates:
            delegate.answer(received, reply)
        return reply

    def make_follow_up(self, received: Exchange) -> Exchange | None:
        """Return what the sender of a reply lacks, or None if nothing."""
        follow_up = Exchange(sender=self._record(self.members.own.status()))
        follow_up.changes = []
        follow_up.clock_ms = received.clock_ms
        self._add_differing(received, follow_up)
        self._answer_join(received, follow_up)
        if received.table_digests:
            follow_up.table_digests = self.members.statuses.digests()
        has_content = [
            delegate.follow_up(received, follow_up)
            for delegate in self.registered_delegates
        ]
        is_expected = received.table_digests or follow_up.answered_token
        if is_expected or any(has_content):
            return follow_up
        return None

    def receive(
        self,
        received: Exchange,
        address: Address | None,
        now_s: float,
        sent_s: float | None = None,
    ) -> bool:
        """Process an exchange; return False if it has no valid sender.

        sent_s is when the request was packed, if this is the reply to it.
        """
        if received.sender is None:
            return False
        self._note_join(received)
        new_records = [
            record
            for record in (received.sender, *(received.changes or ()))
            if not self._is_known(record)
        ]
        self.members.merge(records.from_records(new_records), now_s)
        sender = self.members.statuses.get(received.sender.name or '')
        if sender is None:
            return False
        self.members.merge_region_ages(_region_ages(received), now_s)
        self.members.record_contact(
            sender.name, received.sender.incarnation or 0, now_s
        )
        if received.answered_token is not None:
            self.members.own.record_answer(
                received.answered_token, received.predecessor, now_s
            )
        source = address or (sender.member.host, sender.member.peer_port)
        for delegate in self.registered_delegates:
            delegate.receive(
                received, source, _delay_s(received, sent_s, now_s)
            )
        return True

    def _start(self, receiver: str, now_s: float) -> Exchange:
        started = Exchange(sender=self._record(self.members.own.status()))
        started.changes = []
        started.join_token = self.members.own.join_token
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

    def _note_join(self, received: Exchange) -> None:
        """Remember who had the sender's name before it, while that is known."""
        name = received.sender.name or ''
        token = received.join_token
        if token is None or self._joining.get(name, (None, 0))[0] == token:
            return
        current = self.members.statuses.get(name)
        predecessor = current.member.incarnation if current else None
        self._joining[name] = (token, predecessor)

    def _answer_join(self, received: Exchange, answer: Exchange) -> None:
        if received.join_token is None or not self.members.own.is_informed:
            return
        noted = self._joining.get(received.sender.name or '')
        if noted is not None and noted[0] == received.join_token:
            answer.answered_token = received.join_token
            answer.predecessor = noted[1]

    def _add_table_difference(
        self, received: Exchange, reply: Exchange
    ) -> None:
        store = self.members.statuses
        if received.table_digest == store.digest():
            return
        if 2 * (received.table_size or 0) <= len(store.all()):
            # A new member gets the whole table at once.
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
        self, exchange: Exchange, statuses: list[member_status.MemberStatus]
    ) -> None:
        present = {record.name for record in exchange.changes}
        exchange.changes.extend(
            self._record(status)
            for status in statuses
            if status.name not in present
        )

    def _record(self, status: member_status.MemberStatus) -> Record:
        cached = self._record_cache.get(status.name)
        if cached is None or cached[0] is not status:
            cached = (status, records.to_record(status))
            self._record_cache[status.name] = cached
        return cached[1]

    def _is_known(self, record: Record) -> bool:
        current = self.members.statuses.get(record.name or '')
        return (
            current is not None
            and current.heartbeat == record.heartbeat
            and current.member.incarnation == record.incarnation
            and current.state.value == record.state
        )


def _is_older(sender: Record, current: member_status.MemberStatus) -> bool:
    reported = (sender.incarnation or 0, sender.heartbeat or 0)
    return current.version() > (*reported, 0)


def _region_ages(received: Exchange) -> dict[str, float]:
    return {
        sight.region: sight.age_ms / MS_PER_S
        for sight in received.regions or ()
        if sight.region and sight.age_ms is not None
    }


def _delay_s(received: Exchange, sent_s: float | None, now_s: float) -> float:
    """Return an upper bound on the time since an exchange was packed.

    A message waits in a socket while its sender or receiver is paused. If
    that time were not counted, observations of a VM would appear too recent
    by the length of the pause, and a replica that has lost the VM would
    receive work for that much longer.
    """
    if sent_s is not None:
        return max(now_s - sent_s, 0.0)
    if received.clock_ms is None:
        return math.inf
    delay_s = now_s - received.clock_ms / MS_PER_S
    if delay_s < 0 or delay_s > MAX_DELAY_S:
        return math.inf
    return delay_s
