"""Which requests have been refused before and come back.

A caller counts its time from its first attempt, a node from the arrival. Who
comes back can't be on time any more, but it has no further try: taken for a
new request it is served late in place of one that could be on time, or is
refused for good. What it still waits for tells it apart: less than the first
attempts of the same account on the same route state.
"""

import attrs

# First attempts differ by a tenth either way.
RETURNED_BELOW_SHARE = 0.8
# Deadlines of callers that have changed their habits are forgotten after this
# to twice this.
KEPT_S = 20.0

Key = tuple[str, str | None]


@attrs.define
class FirstDeadlines:
    """The longest deadlines that were stated lately, by route and account."""

    _since_s: float = 0.0
    _longest_ms: dict[Key, int] = attrs.field(factory=dict)
    _before_ms: dict[Key, int] = attrs.field(factory=dict)

    def is_return(self, key: Key, deadline_ms: int, now_s: float) -> bool:
        """Return whether a caller seems to come back, and learn from it."""
        if now_s - self._since_s > KEPT_S:
            self._before_ms = self._longest_ms
            self._longest_ms = {}
            self._since_s = now_s
        longest_ms = max(self._longest_ms.get(key, 0), deadline_ms)
        self._longest_ms[key] = longest_ms
        first_ms = max(longest_ms, self._before_ms.get(key, 0))
        return deadline_ms < RETURNED_BELOW_SHARE * first_ms
