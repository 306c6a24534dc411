"""Estimates how long a request takes at most, from recent answers.

Load pattern: a node is told to stop while its callers go on sending. It passes
on only what it can finish, so a mean would cut every second request. A request
announces the size of its answer; what recent answers took beyond that is added
in full, and the longest of them counts.
"""

import math

import attrs

# Answers within this time, and up to twice as long ago, count.
WINDOW_S = 15.0
# Endpoints get slower as more requests run, also during an answer.
ANNOUNCED_FACTOR = 1.25
# Fewer recent answers tell nothing of the longest ones.
MIN_ANSWERS = 3
# Without recent answers; a queue at an endpoint and a connect.
UNKNOWN_EXCESS_S = 1.0
# For what isn't observed, such as a busy event loop.
SLACK_S = 0.3


@attrs.define(eq=False)
class AnswerDurations:
    """Recent answers of one service and model, in seconds."""

    _since_s: float = 0
    _excess_s: float = 0
    _previous_excess_s: float = 0
    _answers: int = 0
    _previous_answers: int = 0

    def observe(self, took_s: float, announced_s: float, now_s: float) -> None:
        """Record a whole answer; announced_s is as for expected_s()."""
        self._age(now_s)
        excess_s = took_s - ANNOUNCED_FACTOR * announced_s
        self._excess_s = max(self._excess_s, excess_s)
        self._answers += 1

    def expected_s(self, announced_s: float, now_s: float) -> float:
        """Return how long a request takes at most, from now to its end.

        announced_s is the time that its answer takes by the size that the
        caller announced, 0 if it announced none. Returns infinity if nothing
        is known.
        """
        self._age(now_s)
        excess_s = max(self._excess_s, self._previous_excess_s)
        if self._answers + self._previous_answers < MIN_ANSWERS:
            excess_s = UNKNOWN_EXCESS_S if announced_s else math.inf
        return ANNOUNCED_FACTOR * announced_s + excess_s + SLACK_S

    def _age(self, now_s: float) -> None:
        if now_s < self._since_s + WINDOW_S:
            return
        is_recent = now_s < self._since_s + 2 * WINDOW_S
        self._previous_excess_s = self._excess_s if is_recent else 0
        self._previous_answers = self._answers if is_recent else 0
        self._answers = 0
        self._excess_s = 0
        self._since_s = now_s
