"""Turns what entries tell about prefix caches into changes for routing.

An item that comes again changes nothing. A replica whose word is no longer
there, since its entry died or lost sight of it, is forgotten as a whole.
"""

from collections import abc as collections_abc

from redwingvalve.routing import cache_summary, policy

Routings = collections_abc.Callable[[str], policy.RoutingPolicy | None]


class CacheSummaryReader:
    """Remembers the last word on each replica."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._told: dict[str, cache_summary.CacheSummary] = {}

    def apply(
        self,
        words: collections_abc.Mapping[str, cache_summary.CacheSummary],
        routing_of: Routings,
    ) -> None:
        """Tell routing what changed; words are by replica name."""
        for name in self._told.keys() - words.keys():
            routing = routing_of(name)
            if routing is not None:
                routing.forget_prefixes(name)
            del self._told[name]
        for told_name, word in words.items():
            told_routing = routing_of(told_name)
            if told_routing is not None and word != self._told.get(told_name):
                self._change(told_name, word, told_routing)

    def _change(
        self,
        name: str,
        word: cache_summary.CacheSummary,
        routing: policy.RoutingPolicy,
    ) -> None:
        before = self._told.get(name)
        self._told[name] = word
        if before is not None and before.doubts != word.doubts:
            routing.forget_prefixes(name)
        # What is no longer told as held may have been pushed out by hotter
        # ones; a removal is told as such.
        known = () if before is None else before.removed
        for removed in set(word.removed) - set(known):
            routing.prefix_removed(name, removed.hex())
        for held in word.held:
            routing.prefix_stored(name, held.hex())


def make_summary_reader() -> CacheSummaryReader:
    """Return the reader of one entry."""
    return CacheSummaryReader()
