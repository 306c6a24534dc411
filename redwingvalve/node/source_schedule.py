"""Schedules the calls of a watch to its relays and to the store.

Decides without a network and takes all times, in seconds, as arguments. The
list of sources ends with the store; the others are relays.
"""

import math
import random

import attrs

from redwingvalve.node import watch_sources

# Least share of the allowed age at which the state is refreshed, so that nodes
# behind one relay don't query the store at the same time.
REFRESH_SPREAD_SHARE = 0.95
# Interval at which a watch that needs no refresh checks again.
IDLE_REFRESH_S = 0.25
# Longest interval at which relays are tried while the store is down.
RELAY_POLL_MAX_S = 0.8

# Delay between retries while the store doesn't answer, with jitter so that
# nodes that lost it at the same time don't return at the same time.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4
# A node with relays queries a store that keeps failing ever more rarely: the
# store may turn away a third of the nodes for many seconds, and charges for
# each call. A first failure is retried at once, as single answers get lost.
STORE_BACKOFF_MIN_S = 0.2
STORE_BACKOFF_MAX_S = 1.6
# A relay that failed is preferred again after this time. A frozen node is no
# longer a hub by then, as it sends no status.
RELAY_BACKOFF_S = 1.2
# The backoff doubles with each repeated failure up to this limit: otherwise a
# relay that has lost the store for many seconds would cost each downstream node
# a call every time.
RELAY_BACKOFF_MAX_S = 4.8
# Delay before the next source is tried after a relay failed. A relay that has
# lost the store briefly usually recovers within this time.
RELAY_RETRY_MIN_S = 0.02
RELAY_RETRY_MAX_S = 0.15


@attrs.define
class RelayBackoff:
    """Rotates through the sources while the preferred one fails."""

    _failures: int = 0
    _failed_s: float = 0.0
    _backoff_s: float = RELAY_BACKOFF_S

    def count_failures(self, now_s: float) -> int:
        """Return the failures since the last backoff has passed."""
        if now_s - self._failed_s > self._backoff_s:
            self._failures = 0
        return self._failures

    def reset(self) -> None:
        """Return to the preferred source now."""
        self._failures = 0

    def record_failure(self, now_s: float) -> None:
        """Advance to the next source; extend the backoff on repetition."""
        if not self._failures:
            is_repeated = now_s - self._failed_s < 2 * self._backoff_s
            longer_s = min(2 * self._backoff_s, RELAY_BACKOFF_MAX_S)
            self._backoff_s = longer_s if is_repeated else RELAY_BACKOFF_S
        self._failures += 1
        self._failed_s = now_s


@attrs.define
class StoreBackoff:
    """Time of the next call to a store that fails."""

    is_down: bool = False
    _backoff_s: float = 0.0
    _retry_at_s: float = 0.0

    def record_failure(self, now_s: float) -> float:
        """Return the pause of a node that has no relay to ask meanwhile."""
        pause_s = random.uniform(RETRY_MIN_S, RETRY_MAX_S)
        self.is_down = True
        self._retry_at_s = now_s + max(pause_s, self._backoff_s)
        self._backoff_s = min(
            max(2 * self._backoff_s, STORE_BACKOFF_MIN_S), STORE_BACKOFF_MAX_S
        )
        return pause_s

    def record_answer(self) -> None:
        """End the backoff."""
        self.is_down = False
        self._backoff_s = 0.0
        self._retry_at_s = 0.0

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the next call, 0 if it is due."""
        return max(self._retry_at_s - now_s, 0.0)


@attrs.define
class SourceSchedule:
    """Selects the next source and the time of extra calls to the store."""

    relays: RelayBackoff = attrs.field(factory=RelayBackoff)
    store: StoreBackoff = attrs.field(factory=StoreBackoff)

    def next_source(
        self,
        found: list[watch_sources.Source],
        now_s: float,
        *,
        is_synced: bool,
    ) -> watch_sources.Source:
        """Return the source of the next watch."""
        relays = found[:-1]
        if not relays:
            return found[-1]
        failures = self.relays.count_failures(now_s)
        if self.store.is_down:
            return relays[failures % len(relays)]
        if not is_synced:
            return found[-1]
        return found[failures % len(found)]

    def refresh_delay_s(
        self, found: list[watch_sources.Source], age_s: float, now_s: float
    ) -> float:
        """Return the time until a refresh of a state of this age is due."""
        if self.store.is_down:
            has_relays = len(found) > 1
            remaining_s = self.store.remaining_s(now_s)
            return remaining_s if has_relays else IDLE_REFRESH_S
        spread = random.uniform(REFRESH_SPREAD_SHARE, 1)
        left_s = spread * _max_age_s(found) - age_s
        return IDLE_REFRESH_S if math.isinf(left_s) else max(left_s, 0)

    def is_refresh_due(
        self, found: list[watch_sources.Source], age_s: float, now_s: float
    ) -> bool:
        """Return whether the store is to be queried beside the watch.

        Without relays, the watch itself retries a store that is down.
        """
        if self.store.is_down:
            has_relays = len(found) > 1
            return has_relays and not self.store.remaining_s(now_s)
        if math.isinf(age_s):
            return False
        return age_s >= REFRESH_SPREAD_SHARE * _max_age_s(found)

    def relay_retry_pause_s(self, now_s: float) -> float:
        """Return the pause after a relay failed."""
        pause_s = random.uniform(RELAY_RETRY_MIN_S, RELAY_RETRY_MAX_S)
        if not self.store.is_down:
            return pause_s
        until_store_s = self.store.remaining_s(now_s)
        return min(max(until_store_s, pause_s), RELAY_POLL_MAX_S)


def _max_age_s(found: list[watch_sources.Source]) -> float:
    return min(source.max_age_s for source in found)
