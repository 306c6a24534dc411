"""Candidates by distance, and the few of them that are weighed."""

import math
import typing
import zlib
from collections import abc as collections_abc

import attrs

from redwingvalve.routing import endpoint_state, messages

State = endpoint_state.EndpointState

# An odd multiplier of 64 bits (Knuth's MMIX generator) spreads one draw over
# the places of a sample; the top bits of the product are the even ones.
MULTIPLIER = 6364136223846793005
MASK = (1 << 64) - 1
TOP_BITS = 32


class Distances(typing.Protocol):
    """The delay from this entry to a data centre, in seconds one way."""

    def __call__(self, data_centre: str) -> float:
        """Return the delay; the entry's own data centre gives 0."""


@attrs.define(eq=False)
class Tier:
    """All candidates of one data centre.

    tokens is the load of all of them, kept up to date by who counts requests;
    tokens_per_s is load-weighted speed, so that their quotient is a delay.
    """

    data_centre: str
    delay_s: float
    states: tuple[State, ...]
    tokens_per_s: float
    tokens: float = 0.0

    def expected_delay_s(self) -> float:
        """Return the mean delay of the data centre, its distance included.

        The nearest is chosen until it is fuller than the next by more than
        the distance and the margin between them.
        """
        return self.tokens / self.tokens_per_s + self.delay_s

    def counted_tokens(self) -> float:
        """Return the load added up anew."""
        return math.fsum(
            state.own_tokens + state.others_tokens for state in self.states
        )

    def recount(self) -> None:
        """Add the load up anew, after candidates have come or gone."""
        self.tokens = self.counted_tokens()

    def sample(self, draw: int, size: int) -> dict[str, State]:
        """Return some states by a random draw, or all when there are few."""
        states = self.states
        count = len(states)
        if count <= size:
            return {state.candidate.name: state for state in states}
        sampled: dict[str, State] = {}
        for _ in range(size):
            draw = draw * MULTIPLIER + 1 & MASK
            state = states[(draw >> TOP_BITS) % count]
            sampled[state.candidate.name] = state
        return sampled


class Homes:
    """Where a prefix goes while no holder of it is known.

    All entries of a region compute the same homes, over all its data centres,
    so that a prefix that is new to an entry meets the copy which another entry
    caused. Homes for each data centre would multiply the copies and turn the
    caches over.
    """

    def __init__(self, states: collections_abc.Iterable[State]) -> None:
        """Use the candidates that are near."""
        self._states = sorted(states, key=_name)

    def of(self, prefix_hash: str) -> State:
        """Return the home of a prefix."""
        place = zlib.crc32(prefix_hash.encode()) % len(self._states)
        return self._states[place]


def make_tiers(
    states: collections_abc.Iterable[State],
    distances: Distances,
    settings: messages.RoutingSettings,
) -> tuple[Tier, ...]:
    """Group states by data centre, the nearest first.

    Another data centre must be better by spill_margin_s, so that work does not
    cross over for a difference that is gone when it arrives.
    """
    groups: dict[str, list[State]] = {}
    for state in states:
        state.distance_s = _distance_s(state, distances, settings)
        groups.setdefault(state.candidate.data_centre, []).append(state)
    made: list[Tier] = []
    for data_centre, members in groups.items():
        delay_s = members[0].distance_s
        members.sort(key=_name)
        speed = _total_speed(members) / settings.load_weight
        made.append(Tier(data_centre, delay_s, tuple(members), speed))
    return tuple(sorted(made, key=_nearness))


def make_homes(
    made: collections_abc.Sequence[Tier], settings: messages.RoutingSettings
) -> Homes:
    """Return the homes among the data centres that are near enough."""
    nearest_s = made[0].delay_s if made else 0.0
    limit_s = nearest_s + settings.spill_margin_s + settings.home_distance_s
    near = [tier for tier in made if tier.delay_s <= limit_s]
    return Homes(state for tier in near for state in tier.states)


def _distance_s(
    state: State, distances: Distances, settings: messages.RoutingSettings
) -> float:
    one_way_s = distances(state.candidate.data_centre)
    if one_way_s <= 0:
        return 0.0
    return 2 * one_way_s + settings.spill_margin_s


def _total_speed(states: list[State]) -> float:
    return math.fsum(state.candidate.tokens_per_s for state in states)


def _name(state: State) -> str:
    return state.candidate.name


def _nearness(tier: Tier) -> tuple[float, str]:
    return (tier.delay_s, tier.data_centre)
