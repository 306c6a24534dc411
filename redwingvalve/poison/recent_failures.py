"""Whether many endpoints die at the moment, as when a rack is lost.

Load pattern: a rack or data centre goes within seconds. Requests that were sent
again to a second endpoint of it see two deaths; counted as poison, honest
requests would be refused for an hour.

A death counts as one among many only by deaths that the same request had no
part in. Counted by all, a poison request that came within seconds of two
unrelated deaths passed for a victim and killed a third endpoint.
"""

import collections

import attrs

from redwingvalve.poison import facts


@attrs.define
class _Event:
    """One death: when it was learned, and who ran there."""

    at_s: float
    digests: set[bytes] = attrs.field(factory=set)


class RecentFailures:
    """The deaths of the last seconds, and the facts that came with them."""

    def __init__(self, many: int, window_s: float) -> None:
        """Call it many from so many deaths of others within window_s."""
        self._many = many
        self._window_s = window_s
        self._events: dict[bytes, _Event] = {}
        self._own: collections.Counter[bytes] = collections.Counter()
        self._single: collections.deque[tuple[facts.Fact, facts.FactState]] = (
            collections.deque()
        )

    def note(
        self, fact: facts.Fact, state: facts.FactState, now_s: float
    ) -> None:
        """Take a new fact in, and mark those that are one among many."""
        self._forget(now_s)
        event = self._events.setdefault(fact.event, _Event(now_s))
        if fact.digest not in event.digests:
            event.digests.add(fact.digest)
            self._own[fact.digest] += 1
        self._single.append((fact, state))
        if len(self._events) >= self._many:
            self._mark()

    def many(self, now_s: float) -> bool:
        """Tell whether many endpoints died in the last seconds."""
        self._forget(now_s)
        return len(self._events) >= self._many

    def _mark(self) -> None:
        still_single = collections.deque()
        for fact, state in self._single:
            others = len(self._events) - self._own[fact.digest]
            if others >= self._many:
                state.among_many = True
            else:
                still_single.append((fact, state))
        self._single = still_single

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        while self._single and self._single[0][1].learned_at_s < oldest_s:
            self._single.popleft()
        for name, event in tuple(self._events.items()):
            if event.at_s < oldest_s:
                del self._events[name]
                self._own.subtract(event.digests)
        if not self._events:
            self._own.clear()
