"""Chooses targets locally while no other node grants slots.

Load pattern: the nodes that count the slots don't answer. Each node then knows
its own requests only, and all nodes would send to the same head, the first in
their lists. With the power of two random choices (each request takes the less
utilized of two randomly sampled heads) the load stays nearly even, however
little a node knows. Ties are broken randomly.
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
    # Fabric domain, which fails as a whole; empty for plain endpoints.
    domain: str = ''

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what distinguishes this run from others of the same id."""
        return self.endpoint_id, self.born_ms

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port."""
        return self.host, self.port


class EndpointLoads:
    """In-flight requests of this node at each endpoint."""

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
    """Return a random sample of the targets for one request."""
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
    """Return the least utilized target with a free slot, if there is one.

    A slow target is chosen only if no other has a free slot.
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


# Takes a slot if one is free; the slot of the returned target is then counted.
AcquireSlot: typing.TypeAlias = collections_abc.Callable[[], Target | None]
