"""Index of the endpoints that hold a prefix, from late and incomplete events.

Load pattern: many requests that share a long system prompt. Without the index,
each replica computes and stores the same prefix, which evicts others from its
cache.

A wrong record only costs one recomputed prefix, so events may be late or lost:
after a gap the index forgets the endpoint, and prefixes that this entry sent
count as held at once.
"""

import collections
from collections import abc as collections_abc


class PrefixIndex:
    """Holders by prefix; the least recently stored prefixes are dropped."""

    def __init__(self, max_prefixes: int, max_holders: int) -> None:
        """Start empty with limits on memory."""
        self._max_prefixes = max_prefixes
        self._max_holders = max_holders
        self._holders: collections.OrderedDict[str, list[str]] = (
            collections.OrderedDict()
        )
        self._held: dict[str, set[str]] = collections.defaultdict(set)

    def holders(
        self, prefix_hash: str, draw: int, count: int
    ) -> collections_abc.Sequence[str]:
        """Return some endpoints that hold a prefix, by a random draw."""
        names = self._holders.get(prefix_hash, ())
        if len(names) <= count:
            return names
        start = draw % len(names)
        chosen = names[start : start + count]
        return chosen + names[: count - len(chosen)]

    def holds(self, name: str, prefix_hash: str) -> bool:
        """Tell whether an endpoint is known to hold a prefix."""
        return name in self._holders.get(prefix_hash, ())

    def stored(self, name: str, prefix_hash: str) -> None:
        """Add a holder; above max_holders, the oldest one is dropped."""
        holders = self._holders.setdefault(prefix_hash, [])
        if name not in holders:
            holders.append(name)
            self._held[name].add(prefix_hash)
        self._holders.move_to_end(prefix_hash)
        if len(holders) > self._max_holders:
            self.removed(holders[0], prefix_hash)
        if len(self._holders) > self._max_prefixes:
            (oldest, names) = self._holders.popitem(last=False)
            for holder in names:
                self._held[holder].discard(oldest)

    def removed(self, name: str, prefix_hash: str) -> None:
        """Remove one holder of a prefix."""
        self._held[name].discard(prefix_hash)
        holders = self._holders.get(prefix_hash)
        if holders is None or name not in holders:
            return
        holders.remove(name)
        if not holders:
            del self._holders[prefix_hash]

    def forget_endpoint(self, name: str) -> None:
        """Remove all prefixes of an endpoint."""
        for prefix_hash in tuple(self._held.pop(name, ())):
            self.removed(name, prefix_hash)
        self._held.pop(name, None)
