"""Requests to a routing policy, and its inputs and settings."""

import typing

import attrs


@attrs.frozen
class Candidate:
    """A replica or service address that requests may be sent to.

    serving_since_s is when this entry first saw it serve; 0 means always.
    """

    name: str
    data_centre: str
    epoch: int = 0
    tokens_per_s: float = 2000.0
    prefill_tokens_per_s: float = 20000.0
    serving_since_s: float = 0.0


class Prefix(typing.NamedTuple):
    """A prompt prefix that an engine may have cached, and its length."""

    prefix_hash: str
    tokens: float


@attrs.define(eq=False)
class RouteRequest:
    """A request to route.

    prefixes are sorted from the longest to the shortest; draw is a random
    64-bit number, new for each choice.
    """

    request_id: str
    draw: int
    prompt_tokens: float = 100.0
    output_tokens: float = 100.0
    prefixes: tuple[Prefix, ...] = ()
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class LoadReport:
    """Load as reported by an endpoint; at_s is on the clock of this entry."""

    running: int
    waiting: int
    at_s: float


@attrs.frozen
class RoutingSettings:
    """Settings for operators; see docs/operating/who-is-served.md.

    sample_size random candidates of a tier are scored for each request. An
    endpoint with a cached prefix is preferred while its load is at most
    preference_bound times the mean of the scored endpoints, plus one request.
    """

    sample_size: int = 2
    preference_bound: float = 1.5
    load_weight: float = 0.1
    report_smoothing: float = 0.3
    home_distance_s: float = 0.02
    spill_margin_s: float = 0.05
    slow_start_s: float = 30.0
    slow_start_share: float = 0.1
    report_max_age_s: float = 5.0
    slowness_half_life_s: float = 10.0
    probe_above_slowness: float = 3.0
    max_prefixes: int = 50_000
    max_holders: int = 32
    weighed_holders: int = 3
