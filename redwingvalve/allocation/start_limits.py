"""How many requests may start at an endpoint that is or may be cold.

The bound of the rule holds for what is sent and arrives within one second.
What starts over a longer time may be sent within one second, because grants
take unequal times until they are used. So a second limit, for a short window,
covers what bunches up: in one second and that window together no more requests
start than the bound allows.
"""

import math

import attrs

from redwingvalve.allocation import start_times

# Below this rate a limit still admits a request from time to time.
MIN_STARTS_PER_S = 0.1
# Starts that lie so far apart can be sent at the same moment. Grants take a few
# milliseconds, on a busy machine tens of them; the bound leaves more room for a
# cold endpoint than for one that may be cold.
COLD_SPREAD_S = 0.5
WARM_SPREAD_S = 0.1

# Owners of a pool that may grant at the same time.
OWNERS = 2


@attrs.frozen
class Bound:
    """In one second, a cold endpoint gets rate * excess + slack requests."""

    excess: float = 1.5
    slack: float = 5.0

    def total(self, cold_per_s: float) -> int:
        """Return how many requests may reach it in any one second."""
        return math.floor(cold_per_s * self.excess + self.slack)


@attrs.frozen
class StartLimit:
    """Windows that all have to admit a start."""

    per_s: float
    windows: tuple[start_times.Window, ...]


@attrs.frozen
class ServiceLimits:
    """The limits of the endpoints of one service."""

    cold: StartLimit
    # Of endpoints that may have turned cold without anybody knowing.
    warm: StartLimit
    # Of the same, if another owner may be granting unheard.
    shared: StartLimit
    # While what others have granted in the last second isn't known: what the
    # bound leaves beside a full warm limit.
    uninformed: StartLimit

    @property
    def longest_window_s(self) -> float:
        """Return for how long starts have to be remembered."""
        return max(
            window.length_s
            for limit in (self.cold, self.warm, self.shared, self.uninformed)
            for window in limit.windows
        )


def make_service_limits(cold_per_s: float, bound: Bound) -> ServiceLimits:
    """Return the limits for the rate that a cold endpoint tolerates."""
    total = bound.total(cold_per_s)
    warm = _make_limit(cold_per_s * bound.excess, total, WARM_SPREAD_S)
    rest = max(0, total - warm.windows[0].count)
    spare = min(rest, math.floor(cold_per_s * max(0, bound.excess - 1)))
    uninformed = start_times.Window(spare, 1 + WARM_SPREAD_S)
    return ServiceLimits(
        cold=_make_limit(cold_per_s, total, COLD_SPREAD_S),
        warm=warm,
        shared=_make_limit(total / OWNERS, total, WARM_SPREAD_S),
        uninformed=StartLimit(spare, (uninformed,)),
    )


def _make_limit(per_s: float, total: int, spread_s: float) -> StartLimit:
    per_s = max(per_s, MIN_STARTS_PER_S)
    count = max(1, math.floor(per_s))
    length_s = max(1.0, count / per_s)
    bunched = total - count
    if bunched < 1:
        window = start_times.Window(count, length_s + spread_s)
        return StartLimit(count / window.length_s, (window,))
    return StartLimit(
        per_s,
        (
            start_times.Window(count, length_s),
            start_times.Window(bunched, spread_s),
        ),
    )
