"""Which requests have been refused before and come back.

A caller counts its time from its first attempt, a node from the arrival. Who
comes back can't be on time any more, but it has no further try: taken for a
new request it is served late in place of one that could be on time, or is
refused for good. What it still waits for tells it apart: less than the first
attempts of the same account on the same route state.
"""

import attrs

# First attempts differ by a tenth either way.
RETRY_DEADLINE_SHARE = 0.8
# Deadlines of callers that have changed their habits are forgotten after this
# to twice this.
ROTATION_INTERVAL_S = 20.0

Key = tuple[str, str | None]


@attrs.define
class DeadlineHistory:
    """The longest deadlines that were stated lately, by route and account."""

    _rotated_s: float = 0.0
    _longest_current_ms: dict[Key, int] = attrs.field(factory=dict)
    _longest_previous_ms: dict[Key, int] = attrs.field(factory=dict)

    def is_caller_retry(self, key: Key, deadline_ms: int, now_s: float) -> bool:
        """Return whether a caller seems to come back, and learn from it."""
        if now_s - self._rotated_s > ROTATION_INTERVAL_S:
            self._longest_previous_ms = self._longest_current_ms
            self._longest_current_ms = {}
            self._rotated_s = now_s
        longest_ms = max(self._longest_current_ms.get(key, 0), deadline_ms)
        self._longest_current_ms[key] = longest_ms
        first_attempt_ms = max(
            longest_ms, self._longest_previous_ms.get(key, 0)
        )
        return deadline_ms < RETRY_DEADLINE_SHARE * first_attempt_ms
