"""Chooses the nodes that are asked to probe an endpoint for another node.

Load pattern: the lease holder loses the path to endpoints that the rest of the
fleet uses, because of a fault of its own network card, rack or data centre. The
nodes that share the fault find the same, so the chosen ones are spread over all
data centres. Those of the endpoint's own data centre have the shortest path to
it. Asking all nodes of a large fleet about each endpoint of a dark data centre
would load the holder's link more than the repair itself.
"""

import itertools
import random
import typing
from collections import abc as collections_abc

import attrs

# Nodes asked about one endpoint.
MAX_ASKED = 8
# Of these, nodes of the endpoint's own data centre come first.
MAX_FIRST_OF_OWN_DATA_CENTRE = 2


@attrs.frozen
class Candidate:
    """A live node that may be asked."""

    vm: str
    data_centre: str
    is_leaving: bool = False
    # Whether it says that it reaches no endpoint.
    is_cut_off: bool = False

    @property
    def is_last_resort(self) -> bool:
        """Return whether the node is asked only if there are too few others."""
        return self.is_leaving or self.is_cut_off


def select_nodes(
    candidates: collections_abc.Iterable[Candidate],
    data_centre: str,
    rng: random.Random,
    limit: int = MAX_ASKED,
) -> list[Candidate]:
    """Return up to limit nodes to ask about an endpoint of data_centre.

    Nodes that are leaving or cut off are chosen only if there are too few
    others.
    """
    shuffled = list(candidates)
    rng.shuffle(shuffled)
    preferred = [one for one in shuffled if not one.is_last_resort]
    others = [one for one in shuffled if one.is_last_resort]
    in_order = itertools.chain(
        _spread(preferred, data_centre), _spread(others, data_centre)
    )
    return list(itertools.islice(in_order, limit))


def _spread(
    candidates: list[Candidate], data_centre: str
) -> typing.Iterator[Candidate]:
    """Return a few nodes of a data centre, then nodes of each one in turn."""
    own = [one for one in candidates if one.data_centre == data_centre]
    first = own[:MAX_FIRST_OF_OWN_DATA_CENTRE]
    by_data_centre: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        if candidate not in first:
            by_data_centre.setdefault(candidate.data_centre, []).append(
                candidate
            )
    rounds = itertools.zip_longest(*by_data_centre.values())
    return itertools.chain(
        first, filter(None, itertools.chain.from_iterable(rounds))
    )
