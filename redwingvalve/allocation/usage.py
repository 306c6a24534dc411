"""How many places each model has in use, and wants, in the whole fleet.

The holder of the lease decides by it what newcomers load.
"""


def name_of(service: str, model: str) -> str:
    """Return the name of a model's places."""
    return f'{service}/{model}'


class FleetUsage:
    """What the nodes that grant places have said last."""

    def __init__(self) -> None:
        """Start without requests."""
        self._by_node: dict[str, dict[str, int]] = {}

    def update(self, vm: str, counts: dict[str, int]) -> None:
        """Take a node's counts in place of its last ones."""
        if counts:
            self._by_node[vm] = counts
        else:
            self._by_node.pop(vm, None)

    def remove(self, vm: str) -> None:
        """Drop the counts of a node that is gone."""
        self._by_node.pop(vm, None)

    def slots_in_use(self, service: str, model: str) -> int:
        """Return the places of a model in use and wanted."""
        name = name_of(service, model)
        return sum(counts.get(name, 0) for counts in self._by_node.values())
