"""Whether many endpoints die at the moment, as when a rack is lost.

Load pattern: a rack or data centre goes within seconds. Requests that were sent
again to a second endpoint of it see two deaths; counted as poison, honest
requests would be refused for an hour. A poison request alone can't cause this:
it is refused after two deaths, and three are needed.
"""

import collections

from redwingvalve.poison import facts


class RecentDeaths:
    """The deaths of the last seconds, and the facts that came with them."""

    def __init__(self, many: int, window_s: float) -> None:
        """Call it many from so many deaths within window_s."""
        self._many = many
        self._window_s = window_s
        self._last_s: dict[bytes, float] = {}
        self._states: collections.deque[facts.FactState] = collections.deque()

    def note(
        self, fact: facts.Fact, state: facts.FactState, now_s: float
    ) -> None:
        """Take a new fact in, and mark it when it is one among many."""
        self._forget(now_s)
        self._last_s.setdefault(fact.event, now_s)
        self._states.append(state)
        if len(self._last_s) < self._many:
            return
        for recent in self._states:
            recent.among_many = True
        self._states.clear()

    def many(self, now_s: float) -> bool:
        """Tell whether many endpoints died in the last seconds."""
        self._forget(now_s)
        return len(self._last_s) >= self._many

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        while self._states and self._states[0].learned_at_s < oldest_s:
            self._states.popleft()
        for event, at_s in tuple(self._last_s.items()):
            if at_s < oldest_s:
                del self._last_s[event]
