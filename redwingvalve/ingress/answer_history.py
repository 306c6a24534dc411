"""When requests, and parts of prompts, were last answered whole.

An answer clears what it answers of the runs that broke off before the answer
began: whatever crashes endpoints crashes each one that answers it. A request
never turns bad, so that its answer speaks for its later runs too.
"""

import collections

from redwingvalve.ingress import crash_keys

# A request that was answered speaks for its runs that break off within this
# time: copies run on many endpoints when a domain fails.
REQUEST_TRUST_S = 10.0
# Those answered least recently are forgotten first.
MAX_PARTS = 10_000


class AnswerHistory:
    """The latest answers, in the order of their receipt."""

    def __init__(self) -> None:
        """Start without answers."""
        self._requests_s: dict[crash_keys.Key, float] = {}
        self._parts_s: collections.OrderedDict[crash_keys.Key, float] = (
            collections.OrderedDict()
        )

    def add(self, key: crash_keys.Key, at_s: float) -> None:
        """Add an answer.

        at_s: when it ended, for a request; when it was asked for, for a part.
        """
        at_s = max(at_s, self.answered_s(key) or at_s)
        if crash_keys.is_part(key):
            self._parts_s[key] = at_s
            self._parts_s.move_to_end(key)
            if len(self._parts_s) > MAX_PARTS:
                self._parts_s.popitem(last=False)
            return
        self._requests_s.pop(key, None)
        self._requests_s[key] = at_s
        _forget_before(self._requests_s, at_s - REQUEST_TRUST_S)

    def answered_s(self, key: crash_keys.Key) -> float | None:
        """Return the time of the latest answer, None if unknown."""
        if crash_keys.is_part(key):
            return self._parts_s.get(key)
        return self._requests_s.get(key)

    def knows(self, key: crash_keys.Key) -> bool:
        """Return whether something has been answered before."""
        return self.answered_s(key) is not None

    def clears(self, key: crash_keys.Key, broken_s: float) -> bool:
        """Return whether an answer speaks for a run that broke off then."""
        answered_s = self.answered_s(key)
        if answered_s is None:
            return False
        if crash_keys.is_part(key):
            return broken_s <= answered_s
        return broken_s <= answered_s + REQUEST_TRUST_S


def _forget_before(
    answered_s: dict[crash_keys.Key, float], before_s: float
) -> None:
    while answered_s:
        oldest = next(iter(answered_s))
        if answered_s[oldest] >= before_s:
            return
        answered_s.pop(oldest)
