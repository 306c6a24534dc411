"""Tracks when each VM last answered a probe, and damps flapping VMs.

Load pattern: VMs die silently, pause for a second, or come back and die again
every few minutes. Without a time limit the replica of a dead VM would stay
listed. Without a growing quarantine one flapping VM would cause the whole
replica to be loaded again each time that it returns.

A VM counts as missing 2 s after it last answered. With a probe every 0.5 s a
loss is then detected within 3 s, and a pause of one second is tolerated. The
first flap is free. From the second on the VM is quarantined for 30 s,
doubling up to an hour. An hour without a loss resets the count of its flaps.
"""

import attrs

from redwingvalve.platform_api import engine_orders

MISSING_AFTER_S = 2.0
# A single failed probe after a long pause of this process is weak evidence, so
# that the start of a failure is dated back by no more than this.
MAX_BACKDATE_S = 1.5
MIN_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 3600.0
FLAP_RESET_AFTER_S = 3600.0
FREE_FLAPS = 1


@attrs.frozen
class VmHealth:
    """Results of the last probes of one VM; all times are monotonic."""

    state: engine_orders.EngineState | None = None
    seen_s: float = 0.0
    available_since_s: float = 0.0
    failing_since_s: float | None = None


class VmHealthTracker:
    """Health of the VMs of one domain as probed by this process."""

    def __init__(self) -> None:
        """Start without any probe results."""
        self._health: dict[str, VmHealth] = {}

    def record_response(
        self, vm: str, state: engine_orders.EngineState, now_s: float
    ) -> None:
        """Record the answer to a probe."""
        before = self._health.get(vm)
        available_since_s = before.available_since_s if before else now_s
        if before is not None and self.missing(vm, now_s):
            available_since_s = now_s
        self._health[vm] = VmHealth(state, now_s, available_since_s)

    def record_failure(
        self, vm: str, started_s: float, entry_seen_s: float | None
    ) -> None:
        """Record a probe, started at started_s, that got no answer.

        The failure is dated from the last answer, or from a later report of an
        entry. Otherwise a controller that is cut off from the engines would
        break replicas that the entries still reach.
        """
        before = self._health.get(vm, VmHealth())
        since_s = before.failing_since_s
        if since_s is None:
            since_s = started_s
            if before.state is not None:
                since_s = max(before.seen_s, started_s - MAX_BACKDATE_S)
        if entry_seen_s is not None:
            since_s = max(since_s, entry_seen_s)
        self._health[vm] = attrs.evolve(before, failing_since_s=since_s)

    def retain_only(self, vms: frozenset[str]) -> None:
        """Discard the health of all other VMs."""
        for name in set(self._health) - vms:
            self._health.pop(name)

    def state(self, vm: str) -> engine_orders.EngineState | None:
        """Return the last state that the VM reported."""
        health = self._health.get(vm)
        return health.state if health else None

    def responded_within(self, vm: str, age_s: float, now_s: float) -> bool:
        """Tell whether the VM's last answer to this process is recent.

        False too when a later probe has failed.
        """
        health = self._health.get(vm)
        if health is None or health.state is None:
            return False
        return health.failing_since_s is None and now_s - health.seen_s <= age_s

    def all_failing(self) -> bool:
        """Tell whether the last probe of every VM got no answer."""
        return all(
            health.failing_since_s is not None
            for health in self._health.values()
        )

    def failing(self, vm: str) -> bool:
        """Tell whether the last probe of the VM got no answer."""
        health = self._health.get(vm)
        return health is not None and health.failing_since_s is not None

    def missing(self, vm: str, now_s: float) -> bool:
        """Tell whether the VM has failed its probes for MISSING_AFTER_S."""
        health = self._health.get(vm)
        if health is None or health.failing_since_s is None:
            return False
        return now_s - health.failing_since_s >= MISSING_AFTER_S

    def is_known(self, vm: str, now_s: float) -> bool:
        """Tell whether the VM has ever answered or is known to be missing."""
        return self.state(vm) is not None or self.missing(vm, now_s)

    def available_for_s(self, vm: str, now_s: float) -> float:
        """Return for how long the VM has been available without a loss."""
        health = self._health.get(vm)
        if health is None or health.state is None:
            return 0.0
        return now_s - health.available_since_s


def quarantine_s(flaps: int) -> float:
    """Return for how long a VM that flapped this often is not used."""
    if flaps <= FREE_FLAPS:
        return 0.0
    doublings = min(flaps - FREE_FLAPS - 1, 16)
    return min(MIN_QUARANTINE_S * 2**doublings, MAX_QUARANTINE_S)
