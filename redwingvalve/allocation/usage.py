"""Counts the slots that each model uses and waits for in the whole fleet.

The lease holder decides by these counts which model empty VMs load.

Load pattern: in a large fleet counts arrive by way of hubs, and stop arriving
once a pool is idle, its owner has changed or messages are lost. Counts that
aren't renewed are therefore ignored after a while.
"""

import time

import attrs

# Several regular messages of a hub, in turn for the owners of fifty pools.
HOLD_S = 5.0


def usage_key(service: str, model: str) -> str:
    """Return the key of a model's count."""
    return f'{service}/{model}'


@attrs.frozen
class _Counts:
    received_s: float
    by_model: dict[str, int]


class FleetUsage:
    """Latest slot counts of the nodes that own pools."""

    def __init__(self) -> None:
        """Start without counts."""
        self._counts_by_node: dict[str, _Counts] = {}

    def update(self, vm: str, counts: dict[str, int]) -> None:
        """Replace a node's counts."""
        if counts:
            self._counts_by_node[vm] = _Counts(time.monotonic(), counts)
        else:
            self._counts_by_node.pop(vm, None)

    def remove(self, vm: str) -> None:
        """Drop the counts of a node that is gone."""
        self._counts_by_node.pop(vm, None)

    def slots_in_use(self, service: str, model: str) -> int:
        """Return the slots of a model in use and waited for."""
        name = usage_key(service, model)
        since_s = time.monotonic() - HOLD_S
        return sum(
            counts.by_model.get(name, 0)
            for counts in self._counts_by_node.values()
            if counts.received_s > since_s
        )
