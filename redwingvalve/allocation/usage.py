"""Counts the slots that each model uses and waits for in the whole fleet.

The lease holder decides by these counts which model empty VMs load.
"""


def usage_key(service: str, model: str) -> str:
    """Return the key of a model's count."""
    return f'{service}/{model}'


class FleetUsage:
    """Latest slot counts of the nodes that own pools."""

    def __init__(self) -> None:
        """Start without counts."""
        self._counts_by_node: dict[str, dict[str, int]] = {}

    def update(self, vm: str, counts: dict[str, int]) -> None:
        """Replace a node's counts."""
        if counts:
            self._counts_by_node[vm] = counts
        else:
            self._counts_by_node.pop(vm, None)

    def remove(self, vm: str) -> None:
        """Drop the counts of a node that is gone."""
        self._counts_by_node.pop(vm, None)

    def slots_in_use(self, service: str, model: str) -> int:
        """Return the slots of a model in use and waited for."""
        name = usage_key(service, model)
        return sum(
            counts.get(name, 0) for counts in self._counts_by_node.values()
        )
