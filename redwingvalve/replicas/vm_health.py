"""When each VM was last seen, and which ones come and go too often.

Load pattern: VMs die silently, pause for a second, or come back and die again
every few minutes. Without a bound in time a dead VM keeps its replica on the
list; without a growing time out of use, one flapping VM costs a load of the
whole replica each time that it returns.

Grounds: a VM is missing 2 s after its last sign of life, which with a probe
each half second decides within 3 s and forgives a pause of a second. The
first return is free; from the second on a VM stays out for 30 s, doubling up
to an hour, and an hour without a loss clears its record.
"""

import attrs

from redwingvalve.platform_api import engine_orders

MISSING_AFTER_S = 2.0
# One probe that fails after a long pause of this process proves little.
BACKDATED_S = 1.5
FIRST_KEEP_OUT_S = 30.0
LONGEST_KEEP_OUT_S = 3600.0
RECORD_CLEARED_AFTER_S = 3600.0
FREE_FLAPS = 1


@attrs.frozen
class Sighting:
    """What the last probes of one VM gave; all times are monotonic."""

    state: engine_orders.EngineState | None = None
    seen_s: float = 0.0
    back_since_s: float = 0.0
    failing_since_s: float | None = None


class Sightings:
    """Sightings of the VMs of one domain."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._sightings: dict[str, Sighting] = {}

    def record_seen(
        self, vm: str, state: engine_orders.EngineState, now_s: float
    ) -> None:
        """Record an answer."""
        before = self._sightings.get(vm)
        back_since_s = before.back_since_s if before else now_s
        if before is not None and self.missing(vm, now_s):
            back_since_s = now_s
        self._sightings[vm] = Sighting(state, now_s, back_since_s)

    def record_failed(
        self, vm: str, started_s: float, others_seen_s: float | None
    ) -> None:
        """Record a probe, started at started_s, that got no answer.

        The failing counts from the last sign of life: a controller that is
        cut off from the engines would otherwise break replicas that entries
        see well.
        """
        before = self._sightings.get(vm, Sighting())
        since_s = before.failing_since_s
        if since_s is None:
            since_s = started_s
            if before.state is not None:
                since_s = max(before.seen_s, started_s - BACKDATED_S)
        if others_seen_s is not None:
            since_s = max(since_s, others_seen_s)
        self._sightings[vm] = attrs.evolve(before, failing_since_s=since_s)

    def forget_others(self, vms: frozenset[str]) -> None:
        """Keep only the sightings of these VMs."""
        for name in set(self._sightings) - vms:
            self._sightings.pop(name)

    def state(self, vm: str) -> engine_orders.EngineState | None:
        """Return the last state that the VM reported."""
        sighting = self._sightings.get(vm)
        return sighting.state if sighting else None

    def seen_within(self, vm: str, age_s: float, now_s: float) -> bool:
        """Tell whether the VM answered this process so lately."""
        sighting = self._sightings.get(vm)
        if sighting is None or sighting.state is None:
            return False
        return (
            sighting.failing_since_s is None
            and now_s - sighting.seen_s <= age_s
        )

    def all_failing(self) -> bool:
        """Tell whether the last probe of every VM got no answer."""
        return all(
            sighting.failing_since_s is not None
            for sighting in self._sightings.values()
        )

    def failing(self, vm: str) -> bool:
        """Tell whether the last probe got no answer."""
        sighting = self._sightings.get(vm)
        return sighting is not None and sighting.failing_since_s is not None

    def missing(self, vm: str, now_s: float) -> bool:
        """Tell whether the VM has been failing for too long."""
        sighting = self._sightings.get(vm)
        if sighting is None or sighting.failing_since_s is None:
            return False
        return now_s - sighting.failing_since_s >= MISSING_AFTER_S

    def judged(self, vm: str, now_s: float) -> bool:
        """Tell whether the VM was seen once or is known to be missing."""
        return self.state(vm) is not None or self.missing(vm, now_s)

    def present_for_s(self, vm: str, now_s: float) -> float:
        """Return for how long the VM has been there without a loss."""
        sighting = self._sightings.get(vm)
        if sighting is None or sighting.state is None:
            return 0.0
        return now_s - sighting.back_since_s


def keep_out_s(flaps: int) -> float:
    """Return for how long a VM with so many losses stays out of use."""
    if flaps <= FREE_FLAPS:
        return 0.0
    doublings = min(flaps - FREE_FLAPS - 1, 16)
    return min(FIRST_KEEP_OUT_S * 2**doublings, LONGEST_KEEP_OUT_S)
