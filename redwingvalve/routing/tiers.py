"""Candidates grouped by distance, and random samples of them."""

import math
import typing
import zlib
from collections import abc as collections_abc

import attrs

from redwingvalve.routing import endpoint_state, messages

State = endpoint_state.EndpointState

# Knuth's MMIX linear congruential generator (64 bits, odd multiplier) derives
# all indices of a sample from one draw; only its top bits are uniform enough.
LCG_MULTIPLIER = 6364136223846793005
UINT64_MASK = (1 << 64) - 1
LCG_SHIFT = 32


class Distances(typing.Protocol):
    """The delay from this entry to a data centre, in seconds one way."""

    def __call__(self, data_centre: str) -> float:
        """Return the delay, 0 for the data centre of this entry."""


@attrs.define(eq=False)
class Tier:
    """All candidates of one data centre.

    tokens is their total load, kept up to date by ScoredRouting; tokens_per_s
    is their total speed over load_weight, so that the quotient is a delay.
    """

    data_centre: str
    delay_s: float
    states: tuple[State, ...]
    tokens_per_s: float
    tokens: float = 0.0

    def expected_delay_s(self) -> float:
        """Return the mean delay of the data centre, including its distance.

        The nearest one is used until its delay by load exceeds that of the
        next by more than the distance and the margin between them.
        """
        return self.tokens / self.tokens_per_s + self.delay_s

    def counted_tokens(self) -> float:
        """Return the sum of the load of all candidates."""
        return math.fsum(
            state.local_tokens + state.remote_tokens for state in self.states
        )

    def recount(self) -> None:
        """Recompute the load after a change of the candidates."""
        self.tokens = self.counted_tokens()

    def sample(self, draw: int, size: int) -> dict[str, State]:
        """Return a random sample of the states, or all if there are few."""
        states = self.states
        count = len(states)
        if count <= size:
            return {state.candidate.name: state for state in states}
        sampled: dict[str, State] = {}
        for _ in range(size):
            draw = draw * LCG_MULTIPLIER + 1 & UINT64_MASK
            state = states[(draw >> LCG_SHIFT) % count]
            sampled[state.candidate.name] = state
        return sampled


class Homes:
    """The endpoint for a prefix while no holder of it is known.

    All entries of a region compute the same homes over all its data centres, so
    that a prefix that is new to one entry finds the copy that another entry
    caused. One home per data centre would multiply the copies and evict other
    prefixes.
    """

    def __init__(self, states: collections_abc.Iterable[State]) -> None:
        """Use these candidates, sorted by name."""
        self._states = sorted(states, key=_candidate_name)

    def home_of(self, prefix_hash: str) -> State:
        """Return the home of a prefix."""
        index = zlib.crc32(prefix_hash.encode()) % len(self._states)
        return self._states[index]


def make_tiers(
    states: collections_abc.Iterable[State],
    distances: Distances,
    settings: messages.RoutingSettings,
) -> tuple[Tier, ...]:
    """Group states by data centre, the nearest first.

    Another data centre must be better by spill_margin_s, so that requests are
    not sent there for a difference that is gone when they arrive.
    """
    groups: dict[str, list[State]] = {}
    for state in states:
        state.distance_s = _distance_s(state, distances, settings)
        groups.setdefault(state.candidate.data_centre, []).append(state)
    made: list[Tier] = []
    for data_centre, members in groups.items():
        delay_s = members[0].distance_s
        members.sort(key=_candidate_name)
        speed = _total_speed(members) / settings.load_weight
        made.append(Tier(data_centre, delay_s, tuple(members), speed))
    return tuple(sorted(made, key=_distance_key))


def make_homes(
    made: collections_abc.Sequence[Tier], settings: messages.RoutingSettings
) -> Homes:
    """Return the homes among the data centres within home_distance_s."""
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


def _candidate_name(state: State) -> str:
    return state.candidate.name


def _distance_key(tier: Tier) -> tuple[float, str]:
    return (tier.delay_s, tier.data_centre)
