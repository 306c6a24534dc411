"""Which streams have stalled: no next token for far longer than is usual.

Load pattern: a replica that hangs (a paused VM, a collective operation that
waits, a cut cable) while its connections stand. Without this its callers see
nothing until their deadlines, half a minute later, although other replicas
could go on with their answers.

The bound is a multiple of the largest of three gaps, the stream's own, that of
its replica's streams and that of all, so that a straggler is slow and not
stalled. A pause of this process looks like a stall of every stream: the time
between two looks counts only as far as looks are apart in plain running, and
time in which the caller doesn't read isn't counted at all.
"""

import math

import attrs

CHECK_INTERVAL_S = 0.25
# A look that comes later than this was held up with the whole process.
MAX_LOOK_S = 2 * CHECK_INTERVAL_S
# The declared target between tokens, until something is known.
START_GAP_S = 0.06
START_FIRST_TOKEN_S = 0.3
# A fifth for each look: a second of looks shows a straggler; no single gap
# moves the measure by more than a fifth.
GAP_STEP = 0.2
MAX_GAP_RATIO = 2.0
USUAL_STEP = 0.05
PREFILL_TOKENS_PER_S = 20000.0


@attrs.frozen
class StallSettings:
    """Figures an operator may set; docs/operating/who-is-served.md.

    The floor of 2 s is more than a neighbour's prompt of 30,000 tokens holds
    a batch up; a false alarm costs one recomputed prompt.
    """

    gap_multiple: float = 30.0
    min_quiet_s: float = 2.0
    first_token_multiple: float = 10.0
    min_first_token_s: float = 6.0


@attrs.define(eq=False)
class MonitoredStream:
    """One stream under way; its relay sets tokens and held.

    held is true while the caller's side is waited for. stalled is set at the
    moment when the stream is given up, never while it is held.
    """

    replica: str
    prompt_tokens: float = 0.0
    tokens: int = 0
    is_paused: bool = False
    stalled: bool = False
    idle_s: float = 0.0
    gap_s: float = START_GAP_S
    seen_tokens: int = 0


class StallDetector:
    """Looks at all streams of one deployment at an entry."""

    def __init__(self, settings: StallSettings | None = None) -> None:
        """Start without streams."""
        self._settings = settings or StallSettings()
        self._pulses: dict[int, MonitoredStream] = {}
        self._looked_at_s: float | None = None
        self._usual_gap_s = START_GAP_S
        self._usual_first_s = START_FIRST_TOKEN_S

    def add(self, pulse: MonitoredStream) -> None:
        """Look at a stream from now on."""
        self._pulses[id(pulse)] = pulse

    def remove(self, pulse: MonitoredStream) -> None:
        """Look at a stream no longer."""
        self._pulses.pop(id(pulse), None)

    def check(self, now_s: float) -> list[MonitoredStream]:
        """Return the streams that have been quiet for too long."""
        elapsed_s = 0.0
        if self._looked_at_s is not None:
            elapsed_s = min(now_s - self._looked_at_s, MAX_LOOK_S)
        self._looked_at_s = now_s
        for seen in self._pulses.values():
            self._observe(seen, elapsed_s)
        gaps_s = self._replica_gaps()
        return [
            pulse
            for pulse in self._pulses.values()
            if pulse.idle_s > self._bound_s(pulse, gaps_s)
        ]

    def _observe(self, pulse: MonitoredStream, elapsed_s: float) -> None:
        came = pulse.tokens - pulse.seen_tokens
        if pulse.is_paused:
            pulse.idle_s = 0.0
            pulse.seen_tokens = pulse.tokens
            return
        pulse.idle_s += elapsed_s
        if not came:
            return
        if pulse.seen_tokens:
            self._learn_gap(pulse, pulse.idle_s / came)
        else:
            first_s = min(pulse.idle_s, MAX_GAP_RATIO * self._usual_first_s)
            self._usual_first_s += USUAL_STEP * (first_s - self._usual_first_s)
        pulse.idle_s = 0.0
        pulse.seen_tokens = pulse.tokens

    def _learn_gap(self, pulse: MonitoredStream, gap_s: float) -> None:
        bounded_s = min(gap_s, MAX_GAP_RATIO * pulse.gap_s)
        pulse.gap_s += GAP_STEP * (bounded_s - pulse.gap_s)
        bounded_s = min(gap_s, MAX_GAP_RATIO * self._usual_gap_s)
        self._usual_gap_s += USUAL_STEP * (bounded_s - self._usual_gap_s)

    def _replica_gaps(self) -> dict[str, float]:
        """Return the largest gap that a stream of each replica shows."""
        gaps_s: dict[str, float] = {}
        for pulse in self._pulses.values():
            known_s = gaps_s.get(pulse.replica, 0.0)
            gaps_s[pulse.replica] = max(known_s, pulse.gap_s)
        return gaps_s

    def _bound_s(
        self, pulse: MonitoredStream, gaps_s: dict[str, float]
    ) -> float:
        settings = self._settings
        if not pulse.tokens:
            usual_s = settings.first_token_multiple * self._usual_first_s
            prompt_s = pulse.prompt_tokens / PREFILL_TOKENS_PER_S
            return max(usual_s, settings.min_first_token_s) + (
                settings.first_token_multiple * prompt_s
            )
        gap_s = max(self._usual_gap_s, gaps_s.get(pulse.replica, math.inf))
        return max(settings.gap_multiple * gap_s, settings.min_quiet_s)


def make_stall_detector(settings: StallSettings | None = None) -> StallDetector:
    """Return the detector of one deployment at an entry."""
    return StallDetector(settings)
