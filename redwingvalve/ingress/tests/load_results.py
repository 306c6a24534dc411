"""Outcomes of the callers of a simulated load."""

import attrs


@attrs.define
class Results:
    """Outcomes of the callers, by the time of their first attempt."""

    arrivals: list = attrs.field(factory=list)
    on_time: list = attrs.field(factory=list)
    late: list = attrs.field(factory=list)
    lost: list = attrs.field(factory=list)
    refusals: int = 0
    # Datagrams between nodes.
    messages: int = 0
    held_s: list = attrs.field(factory=list)

    def share(self, timestamps, from_s, to_s):
        """Return the share of the period's callers among timestamps."""
        arrivals = _between(self.arrivals, from_s, to_s)
        return _between(timestamps, from_s, to_s) / max(arrivals, 1)

    def rate(self, timestamps, from_s, to_s):
        """Return the number of timestamps per second of the period."""
        return _between(timestamps, from_s, to_s) / (to_s - from_s)

    def held_p99_s(self):
        """Return the 99th percentile of how long refused callers waited."""
        ordered = sorted(self.held_s)
        return ordered[len(ordered) * 99 // 100] if ordered else 0.0


def _between(timestamps, from_s, to_s):
    return sum(from_s <= timestamp < to_s for timestamp in timestamps)
