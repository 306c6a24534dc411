"""Where a request goes if nobody grants places: a choice of this node alone.

Load pattern: the nodes that count the places don't answer. Each node then sees
its own requests only, and all would send to the one head that is first in their
lists. Each request looks at two heads drawn by chance and takes the less filled
one, which stays close to even however little a node knows. Ties are broken by
chance.
"""

import random
import typing
from collections import abc as collections_abc

import attrs

CANDIDATE_COUNT = 2


@attrs.frozen
class Target:
    """An endpoint that takes requests, for itself or as a replica's head."""

    endpoint_id: str
    host: str
    port: int
    slots: int
    data_centre: str
    born_ms: int = 0
    # Name and epoch of the replica, empty and 0 for plain endpoints.
    replica: str = ''
    epoch: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what tells this life from others of the same id."""
        return self.endpoint_id, self.born_ms

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port."""
        return self.host, self.port


class EndpointLoads:
    """Requests of this node under way at each endpoint."""

    def __init__(self) -> None:
        """Start without requests."""
        self.by_endpoint: dict[str, int] = {}

    def add_request(self, endpoint_id: str) -> None:
        """Count a request."""
        self.by_endpoint[endpoint_id] = self.by_endpoint.get(endpoint_id, 0) + 1

    def remove_request(self, endpoint_id: str) -> None:
        """Stop counting a request."""
        left = self.by_endpoint.get(endpoint_id, 0) - 1
        if left > 0:
            self.by_endpoint[endpoint_id] = left
        else:
            self.by_endpoint.pop(endpoint_id, None)


def sample_candidates(
    targets: collections_abc.Sequence[Target], rng: random.Random
) -> collections_abc.Sequence[Target]:
    """Return the targets among which a request chooses."""
    if len(targets) <= CANDIDATE_COUNT:
        return targets
    return rng.sample(targets, CANDIDATE_COUNT)


def choose_least_loaded(
    targets: collections_abc.Iterable[Target],
    loads: EndpointLoads,
    rng: random.Random,
    avoid: collections_abc.Container[str] = (),
    slow: collections_abc.Container[str] = (),
) -> Target | None:
    """Return the least filled target with a free place, if there is one.

    Of the slow ones, which answer late, none is taken while another is free.
    """
    best: Target | None = None
    best_rank = (True, 1.0, 0.0)
    for target in targets:
        if target.endpoint_id in avoid:
            continue
        utilization = loads.by_endpoint.get(target.endpoint_id, 0) / max(
            target.slots, 1
        )
        if utilization >= 1:
            continue
        rank = (target.endpoint_id in slow, utilization, rng.random())
        if rank < best_rank:
            best = target
            best_rank = rank
    return best


# Takes a place, if there is one. What it returns is counted already.
AcquireSlot: typing.TypeAlias = collections_abc.Callable[[], Target | None]
