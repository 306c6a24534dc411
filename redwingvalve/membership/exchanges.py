"""Composes and takes exchanges: what two members tell each other.

An exchange has up to three parts. The question brings the asker's rumours and
digests; the answer brings what the asker lacks and names what the answerer
lacks; a supplement, sent only when it holds something, brings that. At rest
nothing but digests travels. Scuttlebutt reconciliation (van Renesse et al.
2008) is where this comes from.
"""

import attrs

from redwingvalve.membership import records, riders, table, words
from redwingvalve.wire import messages

Exchange = messages.peer.Exchange
Address = tuple[str, int]
# Buckets of the member table repaired by one exchange; a newcomer gets all.
MAX_BUCKETS = 2
MS_PER_S = 1000


@attrs.define
class Exchanges:
    """Turns a member table and its riders into messages and back."""

    members: table.MemberTable
    parts: list[riders.Rider] = attrs.field(factory=list)

    def question(self, receiver: str, region: str, now_s: float) -> Exchange:
        """Return the question for one receiver."""
        asked = self._start(receiver, now_s)
        asked.table_digests = self.members.book.digests()
        asked.table_size = len(self.members.book.held())
        for rider in self.parts:
            rider.ask(asked, region)
        return asked

    def answer(self, heard: Exchange, now_s: float) -> Exchange:
        """Return the answer to a question that has been taken."""
        reply = self._start(heard.sender.name, now_s)
        lacking = self.members.book.differing_words(
            heard.table_digests, heard.table_size or 0, MAX_BUCKETS
        )
        self._add_words(reply, lacking)
        if lacking:
            reply.table_digests = self.members.book.digests()
            reply.table_size = len(self.members.book.held())
        if heard.table_digests:
            for rider in self.parts:
                rider.answer(heard, reply)
        return reply

    def supplement(self, heard: Exchange, now_s: float) -> Exchange | None:
        """Return what an answer showed to be lacking there, if anything."""
        added = Exchange(sender=records.to_record(self.members.own.word()))
        lacking = self.members.book.differing_words(
            heard.table_digests, heard.table_size or 0, MAX_BUCKETS
        )
        added.changes = [records.to_record(word) for word in lacking]
        supplied = [rider.supply(heard, added) for rider in self.parts]
        if lacking or any(supplied):
            return added
        return None

    def absorb(
        self, heard: Exchange, address: Address | None, now_s: float
    ) -> words.Word | None:
        """Take an exchange; the word of its sender, or None if unsound."""
        sender = records.from_record(heard.sender or records.Record())
        if sender.is_error():
            return None
        word = sender.ok
        self.members.merge([word, *records.words_of(heard.changes)], now_s)
        self.members.merge_region_ages(_ages(heard), now_s)
        self.members.heard_from(word.name, now_s)
        for rider in self.parts:
            rider.absorb(
                heard, address or (word.member.host, word.member.peer_port)
            )
        return word

    def _start(self, receiver: str, now_s: float) -> Exchange:
        started = Exchange(sender=records.to_record(self.members.own.word()))
        started.changes = []
        self._add_words(started, self.members.book.take_rumours(receiver))
        # What we hold of the receiver, so that it can refute what is wrong.
        held = self.members.book.held().get(receiver)
        if held is not None:
            self._add_words(started, [held])
        started.regions = [
            messages.peer.RegionSight(region, int(age_s * MS_PER_S))
            for region, age_s in self.members.region_ages(now_s).items()
        ]
        return started

    def _add_words(self, exchange: Exchange, added: list[words.Word]) -> None:
        present = {record.name for record in exchange.changes}
        exchange.changes.extend(
            records.to_record(word)
            for word in added
            if word.name not in present
        )


def _ages(heard: Exchange) -> dict[str, float]:
    return {
        sight.region: sight.age_ms / MS_PER_S
        for sight in heard.regions or ()
        if sight.region and sight.age_ms is not None
    }
