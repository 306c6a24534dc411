"""One score for load, prefix affinity, stragglers, slow start and distance.

Load pattern: thousands of requests a second from many entries that see each
other's work only in reports some hundred milliseconds old; hot prefixes;
replicas that answer ten times slower; replicas that just came. Without it the
entries herd onto the replica that last looked idle, or onto the one that holds
the hot prefix, and a straggler keeps its full share.

The score is an expected delay in seconds. Only a few random candidates of the
nearest data centre are weighed (power of k choices), with the holders of the
prefix and its home, so that the cost does not grow with the fleet and entries
with the same old reports still choose differently.
"""

from collections import abc as collections_abc

from redwingvalve.routing import (
    endpoint_state,
    messages,
    policy,
    prefix_index,
    tiers,
)

# The mean size of a request and the usual first-token delay move by a
# twentieth for each answer: about a second of work at a busy entry.
USUAL_STEP = 0.05
START_MEAN_TOKENS = 300.0
START_FIRST_TOKEN_S = 0.3
# A prompt or two ahead delay a first token by this much on a healthy replica;
# only what goes beyond tells a straggler.
QUEUE_TOLERANCE_S = 0.5
MIN_GAP_S = 0.001
# More than any target: a probed straggler gets one request at a time.
BUSY_PROBE_S = 30.0

State = endpoint_state.EndpointState


class ScoredRouting(policy.RoutingPolicy):
    """The policy for daemons."""

    def __init__(
        self,
        distances: tiers.Distances,
        settings: messages.RoutingSettings | None = None,
    ) -> None:
        """Start without candidates; distances are from this entry."""
        self._settings = settings or messages.RoutingSettings()
        self._distances = distances
        self._states: dict[str, State] = {}
        self._tiers: tuple[tiers.Tier, ...] = ()
        self._tier_of: dict[str, tiers.Tier] = {}
        self._homes = tiers.Homes(())
        self._own: dict[str, endpoint_state.OwnRequest] = {}
        self._prefixes = prefix_index.PrefixIndex(
            self._settings.max_prefixes, self._settings.max_holders
        )
        self._mean_tokens = START_MEAN_TOKENS
        self._usual_s = START_FIRST_TOKEN_S
        self._usual_gap_s: float | None = None

    def replace_candidates(
        self,
        candidates: collections_abc.Sequence[messages.Candidate],
        now_s: float,
    ) -> None:
        """Take over the candidates and sort them by distance."""
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
        self._tier_of = {tier.data_centre: tier for tier in self._tiers}
        self._homes = tiers.make_homes(self._tiers, self._settings)
        for tier in self._tiers:
            tier.recount()

    def choose(
        self,
        request: messages.RouteRequest,
        now_s: float,
        permitted: policy.Permitted = policy.permit_all,
    ) -> messages.Candidate | None:
        """Return the best permitted endpoint of those weighed."""
        if not self._tiers:
            return None
        weighed = self._weigh(request, now_s)
        weighed.sort()
        for _, name in weighed:
            candidate = self._states[name].candidate
            if name not in request.excluded and permitted(candidate):
                return candidate
        return self._any_permitted(request, permitted)

    def sent(
        self, request: messages.RouteRequest, name: str, now_s: float
    ) -> None:
        """Count a request at once, and its prefixes as held there."""
        state = self._states.get(name)
        if state is None:
            return
        tokens = self._work_tokens(request, state.candidate)
        own = endpoint_state.OwnRequest(state, tokens, now_s)
        self._own[request.request_id] = own
        state.sent(request.request_id, own)
        self._tier_of[state.candidate.data_centre].tokens += tokens
        self._mean_tokens += USUAL_STEP * (tokens - self._mean_tokens)
        for prefix in request.prefixes:
            self._prefixes.stored(name, prefix.prefix_hash)

    def first_token(self, request_id: str, now_s: float) -> None:
        """Compare the delay with the usual one."""
        own = self._own.get(request_id)
        if own is None or own.first_token_at_s is not None:
            return
        own.first_token_at_s = now_s
        delay_s = now_s - own.sent_at_s
        own.state.answered(request_id)
        own.state.observed(
            (delay_s + QUEUE_TOLERANCE_S) / (self._usual_s + QUEUE_TOLERANCE_S),
            now_s,
            self._settings.slowness_half_life_s,
        )
        # A straggler must not become the measure of what is usual.
        bounded_s = min(delay_s, 3 * self._usual_s)
        self._usual_s += USUAL_STEP * (bounded_s - self._usual_s)

    def progressed(self, request_id: str, tokens: float, now_s: float) -> None:
        """Compare the gap between tokens with the usual one."""
        own = self._own.get(request_id)
        if own is None:
            return
        gap_s = own.gap_s(tokens, now_s)
        if gap_s is None:
            return
        if self._usual_gap_s is None:
            self._usual_gap_s = gap_s
        own.state.observed(
            gap_s / max(self._usual_gap_s, MIN_GAP_S),
            now_s,
            self._settings.slowness_half_life_s,
        )
        bounded_s = min(gap_s, 2 * self._usual_gap_s)
        self._usual_gap_s += USUAL_STEP * (bounded_s - self._usual_gap_s)

    def stalled(self, request_id: str, now_s: float) -> None:
        """Ease the endpoint off as one that is slower by the utmost.

        One stall takes it beyond probe_above_slowness: it gets one request at
        a time until the memory fades or its answers are in time again.
        """
        own = self._own.get(request_id)
        if own is not None:
            own.state.observed(
                endpoint_state.MAX_RATIO,
                now_s,
                self._settings.slowness_half_life_s,
            )

    def finished(self, request_id: str, now_s: float) -> None:
        """Count a request no longer."""
        own = self._own.pop(request_id, None)
        if own is None:
            return
        name = own.state.candidate.name
        own.state.finished(request_id, own)
        # An endpoint that is gone or has a new epoch took its load along.
        if self._states.get(name) is own.state:
            self._tier_of[own.state.candidate.data_centre].tokens -= own.tokens

    def load_reported(
        self, name: str, report: messages.LoadReport, now_s: float
    ) -> None:
        """Take a report in; own requests that it holds aren't counted twice."""
        state = self._states.get(name)
        if state is None:
            return
        tier = self._tier_of[state.candidate.data_centre]
        tier.tokens -= state.others_tokens
        state.reported(report, self._settings.report_smoothing)
        # Kept as counted: the mean moves on, and taking away more than was
        # added would make a data centre look empty for ever.
        state.others_tokens = state.others * self._mean_tokens
        tier.tokens += state.others_tokens

    def prefix_stored(self, name: str, prefix_hash: str) -> None:
        """Learn that an endpoint holds a prefix."""
        if name in self._states:
            self._prefixes.stored(name, prefix_hash)

    def prefix_removed(self, name: str, prefix_hash: str) -> None:
        """Learn that an endpoint gave up a prefix."""
        self._prefixes.removed(name, prefix_hash)

    def forget_prefixes(self, name: str) -> None:
        """Forget what an endpoint holds."""
        self._prefixes.forget_endpoint(name)

    def _work_tokens(
        self, request: messages.RouteRequest, candidate: messages.Candidate
    ) -> float:
        """Return the work in generated tokens; a cached prompt is no work."""
        prompt = request.prompt_tokens
        for prefix in request.prefixes:
            if self._prefixes.holds(candidate.name, prefix.prefix_hash):
                prompt = max(prompt - prefix.tokens, 0.0)
                break
        relative_speed = candidate.tokens_per_s / candidate.prefill_tokens_per_s
        return request.output_tokens + prompt * relative_speed

    def _weigh(
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
        home = self._homes.of(shortest.prefix_hash)
        name = home.candidate.name
        # It holds the prefix already, or it will for the next entry's request.
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
        # The bound on preference: a holder that carries more than its share
        # is weighed as if it held nothing.
        bound = sum(loads) / len(loads)
        bound = self._settings.preference_bound * bound + mean_tokens
        weighed: list[tuple[float, str]] = []
        for (name, state), load in zip(sample.items(), loads, strict=True):
            prompt = request.prompt_tokens
            if name in cached and load <= bound:
                prompt = max(prompt - cached[name], 0.0)
            weighed.append((self._delay_s(state, load, prompt, now_s), name))
        return weighed

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
            delay_s = (delay_s + self._usual_s) / state.ramp(now_s, settings)
        stalled_before_s = now_s - endpoint_state.STALL_FACTOR * (
            self._usual_s + QUEUE_TOLERANCE_S
        )
        if not state.may_be_slow(stalled_before_s):
            return delay_s
        slowness = state.slowness(
            now_s,
            self._usual_s + QUEUE_TOLERANCE_S,
            settings.slowness_half_life_s,
        )
        if slowness > settings.probe_above_slowness and state.own_count:
            return BUSY_PROBE_S + delay_s * slowness
        if slowness > 1:
            return (delay_s + self._usual_s) * slowness
        return delay_s

    def _any_permitted(
        self, request: messages.RouteRequest, permitted: policy.Permitted
    ) -> messages.Candidate | None:
        # Rare: all that was weighed is excluded or lacks evidence. Looking at
        # every candidate beats refusing a request that could be served.
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
