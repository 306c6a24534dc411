"""How many VMs each model needs, from the requests under way.

Load pattern: a declaration says how the work splits between models, not how
many VMs that takes: a model of four VMs that serves a third of the places needs
more VMs than one of two that serves twice as many. Losses hit all replicas
alike, and what comes in their place goes where the need is greatest for what
is there. On a day with a loss every three seconds, seven replicas of the small
model were left for 66 places in use, and six of the large one for twenty.
"""

import math
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import routes

# A wave of requests lasts some ten seconds; between two waves the higher one
# counts.
FADE_S = 10.0
# With fewer places in use than this in the whole fleet, shares say more.
FEW_PLACES = 10.0


@attrs.define
class _Use:
    places: float
    at_s: float


class ModelDemand:
    """Places in use by model, their recent peak."""

    def __init__(self) -> None:
        """Start without requests."""
        self._used: dict[str, _Use] = {}

    def record(self, model: str, places: float, now_s: float) -> None:
        """Take the places in use and the requests that wait for one."""
        peak = max(places, self._faded(model, now_s))
        self._used[model] = _Use(peak, now_s)

    def needed_vms(
        self, models: collections_abc.Iterable[routes.Model], slots: int
    ) -> dict[str, float]:
        """Return how many VMs each model fills; before traffic its share."""
        listed = tuple(models)
        if sum(self._places(one.name) for one in listed) < FEW_PLACES:
            return {one.name: one.share for one in listed}
        return {
            one.name: max(1.0, self._places(one.name) / slots) * one.size
            for one in listed
        }

    def _places(self, model: str) -> float:
        used = self._used.get(model)
        return used.places if used else 0.0

    def _faded(self, model: str, now_s: float) -> float:
        used = self._used.get(model)
        if used is None:
            return 0.0
        return used.places * math.exp((used.at_s - now_s) / FADE_S)
