"""The evidence table: which VM was seen when, in which replica and epoch.

Load pattern: 9,600 VMs seen about once a second each, by a few entries, with
findings that arrive late, twice or not at all. Without ageing, an entry that
is cut off would go on sending to a replica that lost a VM long ago.

Pure: times are arguments. Evidence needs no message to end; it is worth
nothing MAX_AGE_S after the VM was seen. Grounds: new work must stop within
3 s of a VM's loss. An age counts from the start of the probe and includes all
time on the way, also while a process is paused, so that the bound holds
whatever the rate of probes; half a second is left for a request that was
decided on just before. Design note 0012 derives it.
"""

import math
from collections import abc as collections_abc

import attrs

from redwingvalve.configuration import snapshot
from redwingvalve.platform_api import engine_orders

MAX_AGE_S = 2.5
# What the request path reported counts until a newer probe says otherwise.
RETENTION_S = 60.0


@attrs.frozen
class Observation:
    """One VM, seen ready in a replica's epoch at seen_s."""

    vm: str
    replica: str
    epoch: int
    seen_s: float
    in_flight: int = 0


class EvidenceTable:
    """The newest sighting and the newest failure of each VM."""

    def __init__(self) -> None:
        """Know nothing."""
        self._observations: dict[str, Observation] = {}
        self._failed_s: dict[str, float] = {}

    def record(self, observation: Observation) -> None:
        """Take a sighting unless a newer one is known."""
        before = self._observations.get(observation.vm)
        if before is None or before.seen_s < observation.seen_s:
            self._observations[observation.vm] = observation

    def record_failure(self, vm: str, failed_s: float) -> None:
        """Count a failure: only a sighting after failed_s is believed."""
        self._failed_s[vm] = max(failed_s, self._failed_s.get(vm, failed_s))

    def fresh(self, vm: str, now_s: float) -> Observation | None:
        """Return the sighting that still counts, if there is one."""
        observation = self._observations.get(vm)
        if observation is None or now_s - observation.seen_s > MAX_AGE_S:
            return None
        failed_s = self._failed_s.get(vm)
        if failed_s is not None and failed_s >= observation.seen_s:
            return None
        return observation

    def shows(self, vm: str, replica: str, epoch: int, now_s: float) -> bool:
        """Tell whether a VM is there in this epoch of the replica."""
        observation = self.fresh(vm, now_s)
        return observation is not None and (
            observation.replica,
            observation.epoch,
        ) == (
            replica,
            epoch,
        )

    def drop_expired(self, now_s: float) -> None:
        """Drop what no longer counts."""
        limit_s = now_s - RETENTION_S
        self._observations = {
            vm: observation
            for vm, observation in self._observations.items()
            if observation.seen_s > limit_s
        }
        self._failed_s = {
            vm: failed_s
            for vm, failed_s in self._failed_s.items()
            if failed_s > limit_s
        }


def observation_from(
    state: engine_orders.EngineState, seen_s: float
) -> Observation | None:
    """Return the sighting that a state is; one not ready shows nothing."""
    if not state.ready or not state.replica:
        return None
    return Observation(
        vm=state.vm,
        replica=state.replica,
        epoch=state.epoch,
        seen_s=seen_s,
        in_flight=state.in_flight,
    )


def attested_observations(
    state: engine_orders.EngineState,
    replica: snapshot.Replica,
    seen_s: float,
) -> collections_abc.Iterator[Observation]:
    """Yield sightings of members that a replica's head vouches for.

    Believed of the head that the configuration names, in its epoch, and of
    this replica's own members only.
    """
    named = (replica.members[0].vm, replica.name, replica.epoch)
    if not state.ready or (state.vm, state.replica, state.epoch) != named:
        return
    others = {member.vm for member in replica.members[1:]}
    for member in state.members_seen:
        if member.vm in others and 0 <= member.age_s < math.inf:
            yield Observation(
                vm=member.vm,
                replica=replica.name,
                epoch=replica.epoch,
                seen_s=seen_s - member.age_s,
            )
