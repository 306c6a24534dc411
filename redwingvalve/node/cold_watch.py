"""Feeds the entries of endpoints to the decisions about cold endpoints."""

import time

from redwingvalve.allocation import cold_endpoints, start_limits
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
