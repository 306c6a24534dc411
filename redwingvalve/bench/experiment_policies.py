"""The policies that an experiment compares: ours and plain baselines.

A baseline takes the place of our factory function for the time of a run, so
that the rest of the entry is the same in both.
"""

import contextlib
import types
import typing
from collections import abc as collections_abc

from redwingvalve.routing import baselines, policy, scored

OURS = 'redwingvalve'
Factory = collections_abc.Callable[..., policy.RoutingPolicy]


def _plain(make: Factory) -> Factory:
    def factory(*_: typing.Any) -> policy.RoutingPolicy:
        return make()

    return factory


ROUTING: collections_abc.Mapping[str, Factory] = types.MappingProxyType(
    {
        'round-robin': _plain(baselines.RoundRobin),
        'least-reported': _plain(baselines.LeastReported),
    }
)
NAMES = (OURS, *ROUTING)


@contextlib.contextmanager
def installed(name: str) -> collections_abc.Iterator[None]:
    """Let every entry of this process use a policy until the block ends."""
    ours = scored.make_routing_policy
    scored.make_routing_policy = ROUTING.get(name, ours)
    try:
        yield
    finally:
        scored.make_routing_policy = ours
