"""Routing by a score of load, prefixes, stragglers, slow start and distance.

Load pattern: thousands of requests a second from many entries that know each
other's load only from reports some hundred milliseconds old; hot prefixes;
replicas that respond ten times slower; new replicas. Without scoring, all
entries choose the replica that last seemed idle or the one that holds the hot
prefix, and a straggler keeps its full share.

The score is an expected delay in seconds. Only a few random candidates of the
nearest data centre are scored (power of k choices), with the holders of the
prefix or its home, so that the cost is independent of the fleet size and
entries with the same old reports still choose differently.
"""

from collections import abc as collections_abc

from redwingvalve.routing import (
    endpoint_state,
    messages,
    policy,
    prefix_index,
    tiers,
)

# Averaging step of the mean request size and the typical delays; at a busy
# entry they follow within about a second.
AVERAGE_STEP = 0.05
INITIAL_MEAN_TOKENS = 300.0
INITIAL_FIRST_TOKEN_S = 0.3
# One or two prompts ahead delay a first token by this much on a healthy
# replica; only a longer delay shows a straggler.
QUEUE_TOLERANCE_S = 0.5
MIN_GAP_S = 0.001
# Longer than any target, so that a straggler is probed with one request at a
# time.
BUSY_PROBE_DELAY_S = 30.0

State = endpoint_state.EndpointState


class ScoredRouting(policy.RoutingPolicy):
    """The policy that daemons use."""

    def __init__(
        self,
        distances: tiers.Distances,
        settings: messages.RoutingSettings | None = None,
    ) -> None:
        """Start without candidates; distances are measured from this entry."""
        self._settings = settings or messages.RoutingSettings()
        self._distances = distances
        self._states: dict[str, State] = {}
        self._tiers: tuple[tiers.Tier, ...] = ()
        self._tier_by_data_centre: dict[str, tiers.Tier] = {}
        self._homes = tiers.Homes(())
        self._local_requests: dict[str, endpoint_state.LocalRequest] = {}
        self._prefixes = prefix_index.PrefixIndex(
            self._settings.max_prefixes, self._settings.max_holders
        )
        self._mean_tokens = INITIAL_MEAN_TOKENS
        self._typical_first_token_s = INITIAL_FIRST_TOKEN_S
        self._typical_gap_s: float | None = None

    def replace_candidates(
        self,
        candidates: collections_abc.Sequence[messages.Candidate],
        now_s: float,
    ) -> None:
        """Replace the candidates and group them by distance."""
        states: dict[str, State] = {}
        for candidate in candidates:
            state = self._states.get(candidate.name)
            if state is None or state.candidate.epoch != candidate.epoch:
                state = State(candidate)
                self._prefixes.forget_endpoint(candidate.name)
            state.candidate = candidate
            states[candidate.name] = state
        for name in self._states.keys() - states.keys():
            self._prefixes.forget_endpoint(name)
        self._states = states
        self._tiers = tiers.make_tiers(
            states.values(), self._distances, self._settings
        )
        self._tier_by_data_centre = {
            tier.data_centre: tier for tier in self._tiers
        }
        self._homes = tiers.make_homes(self._tiers, self._settings)
        for tier in self._tiers:
            tier.recount()

    def choose(
        self,
        request: messages.RouteRequest,
        now_s: float,
        permitted: policy.Permitted = policy.permit_all,
    ) -> messages.Candidate | None:
        """Return the permitted endpoint with the best score."""
        if not self._tiers:
            return None
        scores = self._score_candidates(request, now_s)
        scores.sort()
        for _, name in scores:
            candidate = self._states[name].candidate
            if name not in request.excluded and permitted(candidate):
                return candidate
        return self._any_permitted(request, permitted)

    def sent(
        self, request: messages.RouteRequest, name: str, now_s: float
    ) -> None:
        """Count a request at once, and its prefixes as held by the endpoint."""
        state = self._states.get(name)
        if state is None:
            return
        tokens = self._work_tokens(request, state.candidate)
        local = endpoint_state.LocalRequest(state, tokens, now_s)
        self._local_requests[request.request_id] = local
        state.sent(request.request_id, local)
        self._tier_by_data_centre[state.candidate.data_centre].tokens += tokens
        self._mean_tokens += AVERAGE_STEP * (tokens - self._mean_tokens)
        for prefix in request.prefixes:
            self._prefixes.stored(name, prefix.prefix_hash)

    def first_token(self, request_id: str, now_s: float) -> None:
        """Compare the first-token delay with the typical one."""
        local = self._local_requests.get(request_id)
        if local is None or local.first_token_at_s is not None:
            return
        local.first_token_at_s = now_s
        delay_s = now_s - local.sent_at_s
        local.state.record_first_token(request_id)
        local.state.observe(
            (delay_s + QUEUE_TOLERANCE_S)
            / (self._typical_first_token_s + QUEUE_TOLERANCE_S),
            now_s,
            self._settings.slowness_half_life_s,
        )
        # Clipped, so that a straggler doesn't change the typical delay much.
        bounded_s = min(delay_s, 3 * self._typical_first_token_s)
        self._typical_first_token_s += AVERAGE_STEP * (
            bounded_s - self._typical_first_token_s
        )

    def progressed(self, request_id: str, tokens: float, now_s: float) -> None:
        """Compare the gap between tokens with the typical one."""
        local = self._local_requests.get(request_id)
        if local is None:
            return
        gap_s = local.gap_s(tokens, now_s)
        if gap_s is None:
            return
        if self._typical_gap_s is None:
            self._typical_gap_s = gap_s
        local.state.observe(
            gap_s / max(self._typical_gap_s, MIN_GAP_S),
            now_s,
            self._settings.slowness_half_life_s,
        )
        bounded_s = min(gap_s, 2 * self._typical_gap_s)
        self._typical_gap_s += AVERAGE_STEP * (bounded_s - self._typical_gap_s)

    def stalled(self, request_id: str, now_s: float) -> None:
        """Count a stall as the maximum slowness of the endpoint.

        One stall exceeds probe_above_slowness: the endpoint gets one request
        at a time until the slowness decays or its responses are in time again.
        """
        local = self._local_requests.get(request_id)
        if local is not None:
            local.state.observe(
                endpoint_state.MAX_RATIO,
                now_s,
                self._settings.slowness_half_life_s,
            )

    def finished(self, request_id: str, now_s: float) -> None:
        """Remove a request from the load."""
        local = self._local_requests.pop(request_id, None)
        if local is None:
            return
        name = local.state.candidate.name
        local.state.finished(request_id, local)
        # The load of an endpoint that is gone or has a new epoch is no longer
        # in the tier.
        if self._states.get(name) is local.state:
            self._tier_by_data_centre[
                local.state.candidate.data_centre
            ].tokens -= local.tokens

    def load_reported(
        self, name: str, report: messages.LoadReport, now_s: float
    ) -> None:
        """Apply a load report; local requests in it aren't counted twice."""
        state = self._states.get(name)
        if state is None:
            return
        tier = self._tier_by_data_centre[state.candidate.data_centre]
        tier.tokens -= state.remote_tokens
        state.reported(report, self._settings.report_smoothing)
        # Stored as counted: the mean changes, and subtracting more than was
        # added would leave a data centre with too low a load for good.
        state.remote_tokens = state.remote * self._mean_tokens
        tier.tokens += state.remote_tokens

    def prefix_stored(self, name: str, prefix_hash: str) -> None:
        """Record that an endpoint holds a prefix."""
        if name in self._states:
            self._prefixes.stored(name, prefix_hash)

    def prefix_removed(self, name: str, prefix_hash: str) -> None:
        """Record that an endpoint evicted a prefix."""
        self._prefixes.removed(name, prefix_hash)

    def forget_prefixes(self, name: str) -> None:
        """Forget all prefixes of an endpoint."""
        self._prefixes.forget_endpoint(name)

    def _work_tokens(
        self, request: messages.RouteRequest, candidate: messages.Candidate
    ) -> float:
        """Return the work in generated tokens; a cached prefix adds none."""
        prompt = request.prompt_tokens
        for prefix in request.prefixes:
            if self._prefixes.holds(candidate.name, prefix.prefix_hash):
                prompt = max(prompt - prefix.tokens, 0.0)
                break
        relative_speed = candidate.tokens_per_s / candidate.prefill_tokens_per_s
        return request.output_tokens + prompt * relative_speed

    def _score_candidates(
        self, request: messages.RouteRequest, now_s: float
    ) -> list[tuple[float, str]]:
        tier = min(self._tiers, key=tiers.Tier.expected_delay_s)
        sample = tier.sample(request.draw, self._settings.sample_size)
        if not request.prefixes:
            return self._score(request, sample, {}, now_s)
        cached: dict[str, float] = {}
        for prefix in request.prefixes:
            for name in self._prefixes.holders(
                prefix.prefix_hash, request.draw, self._settings.weighed_holders
            ):
                if name not in cached:
                    cached[name] = prefix.tokens
                    sample[name] = self._states[name]
        if not cached:
            self._add_home(request.prefixes[-1], cached, sample)
        return self._score(request, sample, cached, now_s)

    def _add_home(
        self,
        shortest: messages.Prefix,
        cached: dict[str, float],
        sample: dict[str, State],
    ) -> None:
        home = self._homes.home_of(shortest.prefix_hash)
        name = home.candidate.name
        # The home holds the prefix already, or will for the requests of other
        # entries.
        cached[name] = shortest.tokens
        sample[name] = home

    def _score(
        self,
        request: messages.RouteRequest,
        sample: dict[str, State],
        cached: dict[str, float],
        now_s: float,
    ) -> list[tuple[float, str]]:
        oldest_s = now_s - self._settings.report_max_age_s
        mean_tokens = self._mean_tokens
        loads = [
            state.load_tokens(mean_tokens, oldest_s)
            for state in sample.values()
        ]
        # A holder with a load above this bound is scored as if the prefix were
        # not cached.
        bound = sum(loads) / len(loads)
        bound = self._settings.preference_bound * bound + mean_tokens
        scores: list[tuple[float, str]] = []
        for (name, state), load in zip(sample.items(), loads, strict=True):
            prompt = request.prompt_tokens
            if name in cached and load <= bound:
                prompt = max(prompt - cached[name], 0.0)
            scores.append((self._delay_s(state, load, prompt, now_s), name))
        return scores

    def _delay_s(
        self, state: State, load: float, prompt: float, now_s: float
    ) -> float:
        settings = self._settings
        candidate = state.candidate
        delay_s = (
            settings.load_weight * load / candidate.tokens_per_s
            + prompt / candidate.prefill_tokens_per_s
            + state.distance_s
        )
        if candidate.serving_since_s:
            delay_s = (
                delay_s + self._typical_first_token_s
            ) / state.slow_start_factor(now_s, settings)
        stalled_before_s = now_s - endpoint_state.STALL_FACTOR * (
            self._typical_first_token_s + QUEUE_TOLERANCE_S
        )
        if not state.may_be_slow(stalled_before_s):
            return delay_s
        slowness = state.slowness(
            now_s,
            self._typical_first_token_s + QUEUE_TOLERANCE_S,
            settings.slowness_half_life_s,
        )
        if slowness > settings.probe_above_slowness and state.local_count:
            return BUSY_PROBE_DELAY_S + delay_s * slowness
        if slowness > 1:
            return (delay_s + self._typical_first_token_s) * slowness
        return delay_s

    def _any_permitted(
        self, request: messages.RouteRequest, permitted: policy.Permitted
    ) -> messages.Candidate | None:
        # Rare: all scored candidates are excluded or lack evidence. Checking
        # every candidate is better than refusing a request that can be served.
        for tier in self._tiers:
            start = request.draw % len(tier.states)
            for state in tier.states[start:] + tier.states[:start]:
                candidate = state.candidate
                excluded = candidate.name in request.excluded
                if not excluded and permitted(candidate):
                    return candidate
        return None


def make_routing_policy(
    distances: tiers.Distances,
    settings: messages.RoutingSettings | None = None,
) -> policy.RoutingPolicy:
    """Return the policy that daemons use."""
    return ScoredRouting(distances, settings)
