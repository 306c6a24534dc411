"""The newest word of each member, with what must be passed on."""

from collections import abc as collections_abc

from redwingvalve.core import invariants
from redwingvalve.membership import (
    broadcast_queue,
    digests,
    member_status,
    members,
)

State = members.MemberState


class WordBook:
    """Words by name; each replacement is checked, digested and passed on."""

    def __init__(
        self, switches: invariants.SafeguardSwitches | None = None
    ) -> None:
        """Start empty."""
        self.revision = 0
        self._switches = switches or invariants.SafeguardSwitches()
        self._words: dict[str, member_status.Word] = {}
        self._rumours = broadcast_queue.RumourQueue()
        self._digests = digests.TableDigests()
        self._changed = False

    def held(self) -> collections_abc.Mapping[str, member_status.Word]:
        """Return the newest word of every member."""
        return self._words

    def get(self, name: str) -> member_status.Word | None:
        """Return the newest word of a member."""
        return self._words.get(name)

    def accepts(self, word: member_status.Word) -> bool:
        """Tell whether a word heard from a peer is newer than ours."""
        held = self._words.get(word.name)
        if held is None:
            # Whoever is dead before we knew it is of no interest.
            return word.state is not State.DEAD
        stays = self._switches.enabled(invariants.Safeguard.LEAVING_EXCLUDED)
        return member_status.replaces(word, held, leaving_stays=stays)

    def put(self, word: member_status.Word) -> None:
        """Replace a member's word and pass it on."""
        held = self._words.get(word.name)
        _require_order(word, held)
        self._digests.replace(held, word)
        self._words[word.name] = word
        self._rumours.add(word.name)
        self.revision += 1
        self._changed = self._changed or _urgent(word, held)

    def remove(self, name: str) -> None:
        """Forget a member."""
        self._digests.replace(self._words.pop(name, None), None)
        self._rumours.drop(name)
        self.revision += 1

    def mark_urgent(self) -> None:
        """Have what is new passed on without delay."""
        self._changed = True

    def take_changed(self) -> bool:
        """Tell whether there is something to pass on without delay."""
        changed = self._changed
        self._changed = False
        return changed

    def take_rumours(self, receiver: str) -> list[member_status.Word]:
        """Return the words for one message."""
        return self._rumours.take(self._words, receiver)

    def digest(self) -> int:
        """Return one digest of all words."""
        return self._digests.total()

    def digests(self) -> list[int]:
        """Return the digests of all buckets."""
        return self._digests.as_list()

    def differing_words(
        self, other_digests: list[int] | None, limit: int
    ) -> list[member_status.Word]:
        """Return the words of the first buckets that differ."""
        if not other_digests:
            return []
        wanted = set(self._digests.differing(other_digests)[:limit])
        return [
            word
            for word in self._words.values()
            if digests.bucket_of(word.name) in wanted
        ]


def _urgent(word: member_status.Word, held: member_status.Word | None) -> bool:
    """Tell whether a word is to be passed on without delay.

    Doubts and their refutation are not: the suspicion time leaves room for
    rounds, and a storm of doubts must not feed itself.
    """
    if held is None or word.state in {State.LEAVING, State.DEAD}:
        return True
    return word.member.incarnation != held.member.incarnation


def _require_order(
    word: member_status.Word, held: member_status.Word | None
) -> None:
    if held is None:
        return
    invariants.require(
        word.order() > held.order(),
        'one incarnation',
        f'{word.name} would go back from {held.order()} to {word.order()}',
    )
    if word.member.incarnation > held.member.incarnation:
        return
    invariants.require(
        held.state is not State.LEAVING
        or word.state in {State.LEAVING, State.DEAD},
        'leaving is final',
        f'{word.name} would be {word.state} after leaving',
    )
