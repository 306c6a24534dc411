"""Chooses the nodes that are asked to take over a request.

Load pattern: a node loses its links to all endpoints, alone, with its whole
data centre or with all nodes but a few, while callers still reach it. Nodes
that share the fault can't help. Most of them say that they are cut off, but the
news may be on its way or outdated. A node that does reach endpoints may be the
only one near, and all others may turn to it.

Near nodes are preferred as long as each of them gets no more than its share of
what the cut-off nodes forward. A declined request goes to another data centre
next, since neighbours share faults.
"""

import collections
import random
from collections import abc as collections_abc

import attrs

# Nodes that seem to be cut off or not ready, and are asked all the same if
# there are no others: what is known of them may be outdated.
MAX_DOUBTED = 2


@attrs.frozen
class Candidate:
    """A live node that may be asked."""

    vm: str
    data_centre: str
    is_cut_off: bool = False
    is_ready: bool = True

    @property
    def is_in_touch(self) -> bool:
        """Return whether the node can serve, as far as is known."""
        return self.is_ready and not self.is_cut_off


@attrs.define(eq=False)
class ForwardingSelection:
    """Selects the nodes for one request, one after the other.

    under_way returns how many requests of this node another one handles now.
    """

    data_centre: str
    rng: random.Random
    max_asked: int
    under_way: collections_abc.Callable[[str], int]
    _asked: set[str] = attrs.field(factory=set)
    _asked_by_data_centre: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _doubted: int = 0

    def next_node(
        self, candidates: collections_abc.Iterable[Candidate]
    ) -> str | None:
        """Return the node to ask next, None if there is none left."""
        if len(self._asked) >= self.max_asked:
            return None
        left = [one for one in candidates if one.vm not in self._asked]
        in_touch = [one for one in left if one.is_in_touch]
        if in_touch:
            return self._choose(in_touch, self._preferred(left, in_touch))
        if left and self._doubted < MAX_DOUBTED:
            self._doubted += 1
            # A node that has lost its links says so; one may have become ready
            # without this node's knowledge.
            likely = [one for one in left if not one.is_cut_off] or left
            return self._choose(likely, {one.data_centre for one in likely})
        return None

    def _preferred(
        self, left: list[Candidate], in_touch: list[Candidate]
    ) -> set[str]:
        """Return the data centres that the next node may be in."""
        found = {one.data_centre for one in in_touch}
        if not self._asked and self.data_centre in found:
            share = near_share(self.data_centre, left)
            if self.rng.random() < share:
                return {self.data_centre}
            return (found - {self.data_centre}) or found
        least = min(self._asked_by_data_centre[name] for name in found)
        return {
            name for name in found if self._asked_by_data_centre[name] == least
        }

    def _choose(
        self, candidates: list[Candidate], data_centres: set[str]
    ) -> str:
        """Return the less busy one of two nodes that are drawn."""
        there = [one for one in candidates if one.data_centre in data_centres]
        drawn = self.rng.sample(there, min(2, len(there)))
        chosen = min(drawn, key=self._under_way)
        self._asked.add(chosen.vm)
        self._asked_by_data_centre[chosen.data_centre] += 1
        return chosen.vm

    def _under_way(self, candidate: Candidate) -> int:
        return self.under_way(candidate.vm)


def near_share(
    data_centre: str, others: collections_abc.Collection[Candidate]
) -> float:
    """Return the share of requests to forward within a cut-off node's centre.

    With it no near node gets more than if the requests of all cut-off nodes
    were spread evenly, or than those of one of them.
    """
    near = [one for one in others if one.data_centre == data_centre]
    near_cut_off = 1 + sum(one.is_cut_off for one in near)
    cut_off = 1 + sum(one.is_cut_off for one in others)
    in_touch = sum(one.is_in_touch for one in others)
    near_in_touch = sum(one.is_in_touch for one in near)
    if not near_in_touch:
        return 0.0
    fair = max(1.0, cut_off / in_touch)
    return min(1.0, near_in_touch * fair / near_cut_off)
