"""Fleets of a given size that share a retry budget."""

import attrs

from redwingvalve.ingress import retry_budget


@attrs.define
class FixedFleet(retry_budget.Fleet):
    nodes: int
    is_restarted: bool = False

    def size(self):
        return self.nodes

    def has_restarted_within(self, window_s):
        return self.is_restarted
