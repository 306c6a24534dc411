"""The evidence table: when each VM was seen, in which replica and epoch.

Load pattern: 9,600 VMs, each seen about once a second by a few entries, with
reports that arrive late, twice or not at all. Without a maximum age, an
isolated entry would keep sending to a replica that lost a VM long ago.

Pure: times are arguments. Evidence expires without any message, MAX_AGE_S
after the VM was seen, because new work must stop within 3 s of a VM's loss.
The age counts from the start of the probe and includes the whole delivery
delay, also while a process is paused, so the limit holds at any probe rate.
Half a second is left for a request that was decided on just before. Design
note 0012 derives the limit.
"""

import math
from collections import abc as collections_abc

import attrs

from redwingvalve.configuration import snapshot
from redwingvalve.platform_api import engine_orders

MAX_AGE_S = 2.5
# A failure on the request path counts until a later probe succeeds.
RETENTION_S = 60.0


@attrs.frozen
class Observation:
    """A VM seen ready in an epoch of a replica at seen_s."""

    vm: str
    replica: str
    epoch: int
    seen_s: float
    in_flight: int = 0


class EvidenceTable:
    """The latest observation and the latest failure of each VM."""

    def __init__(self) -> None:
        """Start empty."""
        self._observations: dict[str, Observation] = {}
        self._failed_s: dict[str, float] = {}

    def record(self, observation: Observation) -> None:
        """Store an observation unless a newer one is known."""
        before = self._observations.get(observation.vm)
        if before is None or before.seen_s < observation.seen_s:
            self._observations[observation.vm] = observation

    def record_failure(self, vm: str, failed_s: float) -> None:
        """Record a failure, which voids observations up to failed_s."""
        self._failed_s[vm] = max(failed_s, self._failed_s.get(vm, failed_s))

    def fresh(self, vm: str, now_s: float) -> Observation | None:
        """Return the observation that is still valid, or None."""
        observation = self._observations.get(vm)
        if observation is None or now_s - observation.seen_s > MAX_AGE_S:
            return None
        failed_s = self._failed_s.get(vm)
        if failed_s is not None and failed_s >= observation.seen_s:
            return None
        return observation

    def shows(self, vm: str, replica: str, epoch: int, now_s: float) -> bool:
        """Return whether a VM is ready in this epoch of the replica."""
        observation = self.fresh(vm, now_s)
        return observation is not None and (
            observation.replica,
            observation.epoch,
        ) == (
            replica,
            epoch,
        )

    def drop_expired(self, now_s: float) -> None:
        """Remove observations and failures older than RETENTION_S."""
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
    """Return the observation in a state, or None if it isn't ready."""
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
    """Yield observations of members that a replica's head attests.

    Accepted only from the head in the configuration, in its epoch, and for
    members of this replica.
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
