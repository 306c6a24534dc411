"""Feeds the entries of endpoints to the decisions about cold endpoints."""

import time

from redwingvalve.allocation import cold_endpoints, start_limits
from redwingvalve.fleet import evacuations as evacuations_module
from redwingvalve.fleet import registry as registry_module
from redwingvalve.platform import settings


def make_cold_endpoints(
    bounds: settings.Bounds, registry: registry_module.Registry
) -> cold_endpoints.ColdEndpoints:
    """Return the cold endpoints, updated with each change of the registry."""
    bound = start_limits.Bound(bounds.cold_excess, bounds.cold_slack)
    cold = cold_endpoints.ColdEndpoints(time.monotonic, bound)
    # Before the serving table is rebuilt, which uses new endpoints at once.
    registry.on_change.insert(0, lambda: cold.update(registry.usable()))
    return cold


class EvacuationEnds:
    """Treats the endpoints of a data centre as cold when it is back in use.

    They may have become cold during its evacuation, and their entries may say
    so only later.
    """

    def __init__(
        self,
        cold: cold_endpoints.ColdEndpoints,
        evacuations: evacuations_module.Evacuations,
    ) -> None:
        """Follow evacuations."""
        self._cold = cold
        self._evacuations = evacuations
        self._names = evacuations.names()
        # Before the serving table is rebuilt, which uses the endpoints at once.
        evacuations.on_change.insert(0, self._update)

    def _update(self) -> None:
        names = self._evacuations.names()
        for data_centre in sorted(self._names - names):
            self._cold.mark_cold(data_centre)
        self._names = names
