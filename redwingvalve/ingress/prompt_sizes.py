"""Ranks prompts by their size among the recent ones of the same kind.

Load pattern: the largest prompts of a kind take so long to read that they have
little time left to wait for a slot. The queue has to know them to see that
they are served too seldom.
"""

import bisect
import collections

import attrs

# Prompts per kind that are remembered, and how many are added between two
# determinations of the limits.
SAMPLES = 200
REFRESH_INTERVAL = 20
# The largest tenth has rank 2, the fifth below it rank 1.
RANK_SHARES = (0.7, 0.9)


@attrs.define
class _KindSizes:
    samples_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=SAMPLES)
    )
    limits_s: tuple[float, ...] = ()
    added: int = 0

    def rank(self, prompt_read_s: float) -> int:
        self.samples_s.append(prompt_read_s)
        if self.added % REFRESH_INTERVAL == 0:
            ordered = sorted(self.samples_s)
            self.limits_s = tuple(
                ordered[int(share * len(ordered))] for share in RANK_SHARES
            )
        self.added += 1
        return bisect.bisect_left(self.limits_s, prompt_read_s)


@attrs.define
class PromptSizes:
    """Recent prompts by kind, in seconds that reading them takes."""

    _kinds: dict[str, _KindSizes] = attrs.field(factory=dict)

    def rank(self, kind: str, prompt_read_s: float) -> int:
        """Return the rank of a prompt, 2 for the largest; remember it."""
        return self._kinds.setdefault(kind, _KindSizes()).rank(prompt_read_s)
