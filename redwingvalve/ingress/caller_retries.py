"""Detects requests that callers retry after a refusal.

A caller measures its time from its first attempt, a node from the arrival. A
retry can no longer be on time, and its caller makes no further attempt:
treated as a new request, it would be served late in place of one that could be
on time, or be refused for good. It is recognized by its deadline, which is
shorter than those of first attempts of the same account on the same route.
"""

import attrs

# Deadlines of first attempts vary by 10 % either way.
RETRY_DEADLINE_SHARE = 0.8
# Deadlines are forgotten after one to two intervals, so that callers may change
# theirs.
ROTATION_INTERVAL_S = 20.0

Key = tuple[str, str | None]


@attrs.define
class DeadlineHistory:
    """Longest recent deadlines by route and account."""

    _rotated_s: float = 0.0
    _longest_current_ms: dict[Key, int] = attrs.field(factory=dict)
    _longest_previous_ms: dict[Key, int] = attrs.field(factory=dict)

    def is_caller_retry(self, key: Key, deadline_ms: int, now_s: float) -> bool:
        """Return whether a request looks like a retry; record its deadline."""
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
