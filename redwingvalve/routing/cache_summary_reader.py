"""Applies the cache summaries of other entries to routing.

A repeated summary changes nothing. If the summary of a replica is missing, as
after its entry failed or stopped seeing it, all its prefixes are forgotten.
"""

from collections import abc as collections_abc

from redwingvalve.routing import cache_summary, policy

RoutingLookup = collections_abc.Callable[[str], policy.RoutingPolicy | None]


class CacheSummaryReader:
    """Keeps the last summary of each replica."""

    def __init__(self) -> None:
        """Start without summaries."""
        self._received: dict[str, cache_summary.CacheSummary] = {}

    def apply(
        self,
        summaries: collections_abc.Mapping[str, cache_summary.CacheSummary],
        find_routing: RoutingLookup,
    ) -> None:
        """Apply the changes to routing; summaries are by replica name."""
        for name in self._received.keys() - summaries.keys():
            routing = find_routing(name)
            if routing is not None:
                routing.forget_prefixes(name)
            del self._received[name]
        for changed_name, summary in summaries.items():
            changed_routing = find_routing(changed_name)
            if changed_routing is not None and summary != self._received.get(
                changed_name
            ):
                self._apply_changes(changed_name, summary, changed_routing)

    def _apply_changes(
        self,
        name: str,
        summary: cache_summary.CacheSummary,
        routing: policy.RoutingPolicy,
    ) -> None:
        previous = self._received.get(name)
        self._received[name] = summary
        if (
            previous is not None
            and previous.invalidations != summary.invalidations
        ):
            routing.forget_prefixes(name)
        # A prefix that is no longer listed as held may only be less popular
        # than others; removals are listed separately.
        known = () if previous is None else previous.removed
        for removed in set(summary.removed) - set(known):
            routing.prefix_removed(name, removed.hex())
        for held in summary.held:
            routing.prefix_stored(name, held.hex())


def make_summary_reader() -> CacheSummaryReader:
    """Return the reader of one entry."""
    return CacheSummaryReader()
