"""Estimates how many VMs each model needs from the slots in use.

Load pattern: a declaration says how the work splits between models, not how
many VMs that takes. A model with replicas of four VMs that uses a third of the
slots needs more VMs than one with replicas of two that uses twice as many.
Losses hit the replicas of all models equally, so new VMs have to go to the
model whose supply is lowest for its load. Without this estimate, losses every
three seconds left seven replicas of the small model for 66 slots in use, and
six of the large model for twenty.
"""

import math
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import routes

# A burst of requests lasts about ten seconds; the higher peak counts between
# two bursts.
PEAK_DECAY_S = 10.0
# With fewer slots in use in the whole fleet, the declared shares say more than
# the load does.
MIN_SLOTS_IN_USE = 10.0


@attrs.define
class _Peak:
    slots: float
    at_s: float


class ModelDemand:
    """Recent peak of the slots in use, by model."""

    def __init__(self) -> None:
        """Start without any load."""
        self._peaks: dict[str, _Peak] = {}

    def record(self, model: str, slots_in_use: float, now_s: float) -> None:
        """Record the slots in use plus the requests that wait for one."""
        peak = max(slots_in_use, self._decayed_peak(model, now_s))
        self._peaks[model] = _Peak(peak, now_s)

    def needed_vms(
        self,
        models: collections_abc.Iterable[routes.Model],
        slots_per_replica: int,
    ) -> dict[str, float]:
        """Return the VMs that each model needs, or its share at low load.

        Only the proportions between the models are meaningful.
        """
        listed = tuple(models)
        if sum(self._peak(one.name) for one in listed) < MIN_SLOTS_IN_USE:
            return {one.name: one.share for one in listed}
        return {
            one.name: max(1.0, self._peak(one.name) / slots_per_replica)
            * one.size
            for one in listed
        }

    def _peak(self, model: str) -> float:
        peak = self._peaks.get(model)
        return peak.slots if peak else 0.0

    def _decayed_peak(self, model: str, now_s: float) -> float:
        peak = self._peaks.get(model)
        if peak is None:
            return 0.0
        return peak.slots * math.exp((peak.at_s - now_s) / PEAK_DECAY_S)
