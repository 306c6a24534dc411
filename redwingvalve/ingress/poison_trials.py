"""When what may crash endpoints is tried once more.

Load pattern: a sound request was under way on three endpoints that crashed for
other reasons. Without a trial it would be refused for good. If each node tried
it, a crashing request would end an endpoint per node. So a trial is claimed
for the whole fleet, and each one that fails makes the next one rarer.

A sound request may share a part of its prompt with one that crashes endpoints.
Trials of what may well be sound begin soon, and become rare sooner.
"""

import abc

import attrs

from redwingvalve.ingress import crash_keys

FIRST_DELAY_S = 30.0
DELAY_FACTOR = 4
# Of what may well be sound.
PROMISING_FIRST_DELAY_S = 0.5
PROMISING_DELAY_FACTOR = 8
# Shorter than the time after which crashes are forgotten.
MAX_DELAY_S = 480.0


@attrs.frozen
class TrialHistory:
    """Trials of a request or a part of prompts by all nodes."""

    count: int = 0
    # When the latest one began, by the local monotonic clock.
    latest_s: float = 0.0


class TrialClaimer(abc.ABC):
    """Claims trials for the whole fleet."""

    @abc.abstractmethod
    async def claim(self, keys: crash_keys.RequestKeys) -> bool:
        """Return whether this node may try a request that is due."""


def due_s(
    latest_crash_s: float,
    history: TrialHistory,
    *,
    is_promising: bool = False,
) -> float:
    """Return when something may be tried, by the local monotonic clock."""
    delay_s = FIRST_DELAY_S * DELAY_FACTOR**history.count
    if is_promising:
        delay_s = (
            PROMISING_FIRST_DELAY_S * PROMISING_DELAY_FACTOR**history.count
        )
    latest_s = max(latest_crash_s, history.latest_s)
    return latest_s + min(delay_s, MAX_DELAY_S)
