"""When a request that may crash endpoints is tried once more.

Load pattern: a sound request was under way on three endpoints that crashed for
other reasons. Without a trial it would be refused for good. If each node tried
it, a crashing request would end an endpoint per node. So a trial is claimed
for the whole fleet, and each one that fails makes the next one rarer.
"""

import abc

import attrs

FIRST_DELAY_S = 30.0
DELAY_FACTOR = 4
# Shorter than the time after which crashes are forgotten.
MAX_DELAY_S = 480.0


@attrs.frozen
class TrialHistory:
    """Trials of one request by all nodes."""

    count: int = 0
    # When the latest one began, by the local monotonic clock.
    latest_s: float = 0.0


class TrialClaimer(abc.ABC):
    """Claims trials for the whole fleet."""

    @abc.abstractmethod
    async def claim(self, fingerprint: int) -> bool:
        """Return whether this node may try a request that is due."""


def due_s(latest_crash_s: float, history: TrialHistory) -> float:
    """Return when a request may be tried, by the local monotonic clock."""
    delay_s = FIRST_DELAY_S * DELAY_FACTOR**history.count
    latest_s = max(latest_crash_s, history.latest_s)
    return latest_s + min(delay_s, MAX_DELAY_S)
