"""Detects mass failures: many endpoints fail at once, as with a lost rack.

Load pattern: a rack or data centre fails within seconds. Requests that were
retried on a second endpoint of it are involved in two failures; if they counted
as poison, harmless requests would be refused for an hour.

A failure is part of a mass failure only by failures that did not involve the
same request. If all were counted, a poison request within seconds of two
unrelated failures would pass as harmless and crash a third endpoint.
"""

import collections

import attrs

from redwingvalve.poison import facts


@attrs.define
class _Failure:
    """One failure: when it was recorded, and the requests involved."""

    at_s: float
    digests: set[bytes] = attrs.field(factory=set)


class RecentFailures:
    """Failures within a time window, and their facts."""

    def __init__(self, min_failures: int, window_s: float) -> None:
        """Use min_failures within window_s as the threshold."""
        self._threshold = min_failures
        self._window_s = window_s
        self._events: dict[bytes, _Failure] = {}
        self._counts_by_digest: collections.Counter[bytes] = (
            collections.Counter()
        )
        self._isolated: collections.deque[
            tuple[facts.Fact, facts.FactState]
        ] = collections.deque()

    def record(
        self, fact: facts.Fact, state: facts.FactState, now_s: float
    ) -> None:
        """Record a fact and mark the facts that are part of a mass failure."""
        self._drop_old(now_s)
        event = self._events.setdefault(fact.event, _Failure(now_s))
        if fact.digest not in event.digests:
            event.digests.add(fact.digest)
            self._counts_by_digest[fact.digest] += 1
        self._isolated.append((fact, state))
        if len(self._events) >= self._threshold:
            self._mark_mass_failures()

    def is_mass_failure(self, now_s: float) -> bool:
        """Tell whether many endpoints failed within the window."""
        self._drop_old(now_s)
        return len(self._events) >= self._threshold

    def _mark_mass_failures(self) -> None:
        still_isolated = collections.deque()
        for fact, state in self._isolated:
            others = len(self._events) - self._counts_by_digest[fact.digest]
            if others >= self._threshold:
                state.is_mass_failure = True
            else:
                still_isolated.append((fact, state))
        self._isolated = still_isolated

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        while self._isolated and self._isolated[0][1].recorded_at_s < oldest_s:
            self._isolated.popleft()
        for name, event in tuple(self._events.items()):
            if event.at_s < oldest_s:
                del self._events[name]
                self._counts_by_digest.subtract(event.digests)
        if not self._events:
            self._counts_by_digest.clear()
