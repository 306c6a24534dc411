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
REGIONS_EVERY = 4
MS_PER_S = 1000
# A supplement that claims more gives back the clock of another process.
LONGEST_DELAY_S = 60.0


@attrs.define
class Exchanges:
    """Turns a member table and its riders into messages and back."""

    members: table.MemberTable
    parts: list[delegates.ExchangeDelegate] = attrs.field(factory=list)
    _started: int = 0
    _records: dict[str, tuple[member_status.Word, Record]] = attrs.field(
        factory=dict
    )

    def question(self, receiver: str, region: str, now_s: float) -> Exchange:
        """Return the question for one receiver."""
        asked = self._start(receiver, now_s)
        held = self.members.statuses.get(receiver)
        if held is not None and held.state is not members.MemberState.ALIVE:
            # So that the receiver can refute it.
            self._add_words(asked, [held])
        asked.table_digest = self.members.statuses.digest()
        asked.table_size = len(self.members.statuses.held())
        for rider in self.parts:
            rider.ask(asked, region)
        return asked

    def answer(self, heard: Exchange, now_s: float) -> Exchange:
        """Return the answer to a question or supplement, once absorbed."""
        reply = self._start(heard.sender.name, now_s)
        reply.clock_ms = int(now_s * MS_PER_S)
        held = self.members.statuses.get(heard.sender.name)
        if held is not None and _older(heard.sender, held):
            self._add_words(reply, [held])
        if heard.table_digest is None:
            self._settle(heard, reply)
            return reply
        self._compare(heard, reply)
        for rider in self.parts:
            rider.answer(heard, reply)
        return reply

    def supplement(self, heard: Exchange) -> Exchange | None:
        """Return what an answer showed to be lacking there, if anything."""
        added = Exchange(sender=self._record(self.members.own.word()))
        added.changes = []
        added.clock_ms = heard.clock_ms
        self._settle(heard, added)
        if heard.table_digests:
            added.table_digests = self.members.statuses.digests()
        supplied = [rider.follow_up(heard, added) for rider in self.parts]
        if heard.table_digests or any(supplied):
            return added
        return None

    def receive(
        self,
        heard: Exchange,
        address: Address | None,
        now_s: float,
        asked_s: float | None = None,
    ) -> bool:
        """Take an exchange; False when it has no sound sender.

        asked_s is when the question was packed, if this is its answer.
        """
        if heard.sender is None:
            return False
        fresh = [
            record
            for record in (heard.sender, *(heard.changes or ()))
            if not self._is_held(record)
        ]
        self.members.merge(records.words_of(fresh), now_s)
        sender = self.members.statuses.get(heard.sender.name or '')
        if sender is None:
            return False
        self.members.merge_region_ages(_ages(heard), now_s)
        self.members.heard_from(sender.name, now_s)
        source = address or (sender.member.host, sender.member.peer_port)
        for rider in self.parts:
            rider.receive(heard, source, _delay_s(heard, asked_s, now_s))
        return True

    def _start(self, receiver: str, now_s: float) -> Exchange:
        started = Exchange(sender=self._record(self.members.own.word()))
        started.changes = []
        self._add_words(started, self.members.statuses.take_rumours(receiver))
        self._started += 1
        if self._started % REGIONS_EVERY == 1:
            started.regions = [
                messages.peer.RegionSight(region, int(age_s * MS_PER_S))
                for region, age_s in self.members.region_ages(now_s).items()
            ]
        return started

    def _compare(self, heard: Exchange, reply: Exchange) -> None:
        book = self.members.statuses
        if heard.table_digest == book.digest():
            return
        if 2 * (heard.table_size or 0) <= len(book.held()):
            # A newcomer gets the whole table at once.
            self._add_words(reply, list(book.held().values()))
            return
        reply.table_digests = book.digests()

    def _settle(self, heard: Exchange, reply: Exchange) -> None:
        self._add_words(
            reply,
            self.members.statuses.differing_words(
                heard.table_digests, MAX_BUCKETS
            ),
        )

    def _add_words(
        self, exchange: Exchange, added: list[member_status.Word]
    ) -> None:
        present = {record.name for record in exchange.changes}
        exchange.changes.extend(
            self._record(word) for word in added if word.name not in present
        )

    def _record(self, word: member_status.Word) -> Record:
        kept = self._records.get(word.name)
        if kept is None or kept[0] is not word:
            kept = (word, records.to_record(word))
            self._records[word.name] = kept
        return kept[1]

    def _is_held(self, record: Record) -> bool:
        held = self.members.statuses.get(record.name or '')
        return (
            held is not None
            and held.heartbeat == record.heartbeat
            and held.member.incarnation == record.incarnation
            and held.state.value == record.state
        )


def _older(sender: Record, held: member_status.Word) -> bool:
    said = (sender.incarnation or 0, sender.heartbeat or 0)
    return held.order() > (*said, 0)


def _ages(heard: Exchange) -> dict[str, float]:
    return {
        sight.region: sight.age_ms / MS_PER_S
        for sight in heard.regions or ()
        if sight.region and sight.age_ms is not None
    }


def _delay_s(heard: Exchange, asked_s: float | None, now_s: float) -> float:
    """Return how long ago an exchange was packed at most.

    A message waits in a socket while its sender or receiver is paused. Were
    that time not counted, what it says of a VM would look younger by the
    pause, and a replica that lost the VM would get work for so much longer.
    """
    if asked_s is not None:
        return max(now_s - asked_s, 0.0)
    if heard.clock_ms is None:
        return math.inf
    delay_s = now_s - heard.clock_ms / MS_PER_S
    if delay_s < 0 or delay_s > LONGEST_DELAY_S:
        return math.inf
    return delay_s
