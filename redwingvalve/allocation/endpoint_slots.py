"""Tells which slots of each endpoint may be granted now.

Load pattern: endpoints refuse requests although slots seem free, restart while
requests are in progress, turn slow, or limit their rate far below what their
slots admit.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import (
    cold_starts,
    hold_table,
    owner_knowledge,
    rate_limits,
)
from redwingvalve.ingress import load_balancing

# An endpoint that refuses a request although slots seem free is still serving
# requests whose holds are gone; they end within this time.
REFUSAL_COOLDOWN_S = 0.25
# A slot whose request ended without an answer is not granted for this long: its
# endpoint may be dead, which the next connection reveals.
UNCERTAIN_SLOT_S = 0.25
# An endpoint that a node reported as slow is chosen last for this long.
SLOW_ENDPOINT_S = 2.0


def _ignore_forgotten(endpoint_id: str) -> None:
    """Do nothing, as nobody else remembers the endpoints yet."""


@attrs.frozen
class _UncertainSlot:
    """A slot that may still be in use, or belong to a dead endpoint."""

    endpoint_id: str
    until_s: float


@attrs.define(eq=False)
class EndpointSlots:
    """The slots of the endpoints of one pool."""

    clock: collections_abc.Callable[[], float]
    limits: rate_limits.RateLimits
    cold: cold_starts.ColdStarts
    # What is known here of the starts of the last second in this pool.
    knowledge: collections_abc.Callable[[], owner_knowledge.Knowledge]
    holds: hold_table.HoldTable = attrs.field(factory=hold_table.HoldTable)
    # Called with an endpoint whose process has restarted.
    on_forgotten: collections_abc.Callable[[str], None] = _ignore_forgotten
    _refused_until_s: dict[str, float] = attrs.field(factory=dict)
    _slow_until_s: dict[str, float] = attrs.field(factory=dict)
    _uncertain_slots: list[_UncertainSlot] = attrs.field(factory=list)

    def hold(
        self,
        key: hold_table.Key,
        target: load_balancing.Target,
        *,
        is_probe: bool = False,
        account: str = '',
    ) -> None:
        """Hold a slot for a request that starts now."""
        now_s = self.clock()
        self.holds.add(
            key,
            target.endpoint_id,
            now_s,
            is_probe=is_probe,
            account=account,
            born_ms=target.born_ms,
        )
        self.limits.record_start(target.endpoint_id, key, now_s)
        self.cold.record(target.endpoint_id, key, now_s)

    def is_limited(self, endpoint_id: str) -> bool:
        """Return whether each start at an endpoint counts."""
        return self.limits.is_limited(endpoint_id) or (
            self.cold.endpoints.is_limited(endpoint_id)
        )

    def mark_refused(self, endpoint_id: str) -> None:
        """Grant no slot of an endpoint that has just refused a request."""
        self._refused_until_s[endpoint_id] = self.clock() + REFUSAL_COOLDOWN_S

    def mark_uncertain(self, endpoint_id: str) -> None:
        """Keep a slot that may still be in use from being granted."""
        until_s = self.clock() + UNCERTAIN_SLOT_S
        self._uncertain_slots.append(_UncertainSlot(endpoint_id, until_s))

    def mark_slow(self, endpoint_ids: collections_abc.Iterable[str]) -> None:
        """Choose endpoints last that a node found slow."""
        until_s = self.clock() + SLOW_ENDPOINT_S
        for endpoint_id in endpoint_ids:
            self._slow_until_s[endpoint_id] = until_s

    def is_slow(self, endpoint_id: str) -> bool:
        """Return whether a node found an endpoint slow."""
        return endpoint_id in self._slow_until_s

    def usable(
        self,
        targets: collections_abc.Iterable[load_balancing.Target],
        hold_s: float,
    ) -> float:
        """Return how many slots of endpoints their limits let fill.

        hold_s is how long a request holds a slot.
        """
        return sum(
            min(
                target.slots,
                self.limits.requests_per_s(target.endpoint_id) * hold_s,
                self.cold.starts_per_s(target.endpoint_id) * hold_s,
            )
            for target in targets
        )

    def blocked_s(self, endpoint_id: str) -> float:
        """Return how long limits keep an endpoint from a further request."""
        limit_s = self.limits.wait_s(endpoint_id, self.clock())
        return max(limit_s, self._cold_wait_s(endpoint_id))

    def waits_for_cold(
        self, targets: collections_abc.Iterable[load_balancing.Target]
    ) -> bool:
        """Return whether only what cold endpoints tolerate keeps slots free."""
        return any(
            self.holds.count(target.endpoint_id) < target.slots
            and self._cold_wait_s(target.endpoint_id) > 0
            for target in targets
        )

    def with_free(
        self, targets: collections_abc.Iterable[load_balancing.Target]
    ) -> collections_abc.Iterator[load_balancing.Target]:
        """Yield the endpoints of which a slot may be granted now."""
        counts = self.holds.counts()
        for target in targets:
            # While requests wait, most endpoints are full.
            held = counts.get(target.endpoint_id, 0)
            if held < target.slots and self.free_at(target) > 0:
                yield target

    def free_at(self, target: load_balancing.Target) -> int:
        """Return the slots of an endpoint that may be granted now."""
        if self.holds.count(target.endpoint_id) >= target.slots:
            return 0
        now_s = self.clock()
        if self._refused_until_s.get(target.endpoint_id, 0) > now_s:
            return 0
        uncertain = sum(
            one.endpoint_id == target.endpoint_id and one.until_s > now_s
            for one in self._uncertain_slots
        )
        held = self.holds.count(target.endpoint_id) + uncertain
        if held >= target.slots or self.blocked_s(target.endpoint_id) > 0:
            return 0
        return target.slots - held

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Forget the previous processes of an endpoint that has restarted."""
        self.holds.forget(endpoint_id, born_ms)
        self.limits.forget(endpoint_id, born_ms)
        self._refused_until_s.pop(endpoint_id, None)
        self._slow_until_s.pop(endpoint_id, None)
        self._uncertain_slots = [
            one
            for one in self._uncertain_slots
            if one.endpoint_id != endpoint_id
        ]
        self.on_forgotten(endpoint_id)

    def drop_expired(self) -> None:
        """Drop expired state."""
        now_s = self.clock()
        self.holds.drop_expired(now_s)
        self._refused_until_s = _unexpired(self._refused_until_s, now_s)
        self._slow_until_s = _unexpired(self._slow_until_s, now_s)
        self._uncertain_slots = [
            one for one in self._uncertain_slots if one.until_s > now_s
        ]

    def _cold_wait_s(self, endpoint_id: str) -> float:
        if not self.cold.endpoints.is_limited(endpoint_id):
            return 0
        return self.cold.wait_s(endpoint_id, self.clock(), self.knowledge())


def _unexpired(until_s: dict[str, float], now_s: float) -> dict[str, float]:
    return {name: one for name, one in until_s.items() if one > now_s}
