"""Ejects endpoints that fail more requests than the others of their pool.

Load pattern: some endpoints pass their health checks and fail requests, all of
them or a part, at once or after a while. One that fails at once always looks
the least loaded, so it attracts most of the pool's requests, until retries are
used up. No single result is proof: answers get lost, some routes fail often by
themselves, and a node that is cut off sees all endpoints fail.

Each endpoint has a cumulative sum (CUSUM, Page 1954) of the log-likelihood
ratio of its results: how much better FAILING_RATE explains them than the usual
rate. The usual rate is the median of the other endpoints, or what the node that
reports the failure sees at other endpoints if that is higher. So a fault of all
endpoints, a cut-off node and a request that fails everywhere eject nobody.

An ejected endpoint gets single probes, requests that may be sent again, at
growing intervals. One that succeeds puts it back into use, on probation: its
next failure ejects it again. If its latest result, also of an earlier request,
is a success, it is the last resort while all others are full: when most
endpoints lose a part of their answers, the slots of these are still needed.
"""

import math
import statistics
import typing
from collections import abc as collections_abc

import attrs

# Failure rate that an endpoint is tested for.
FAILING_RATE = 0.4
# Lowest usual rate: without it, the first lost answer would eject an endpoint.
MIN_USUAL_RATE = 0.02
# Results count as failing if they are this many times as likely for an endpoint
# that fails: two failures in a row, or a few among successes.
EJECTION_LIKELIHOOD_RATIO = 200.0
_EJECTION_SCORE = math.log(EJECTION_LIKELIHOOD_RATIO)
_PROBATION_SCORE = _EJECTION_SCORE - 1
# Bounds how many successes a failing endpoint needs that can't be ejected.
_MAX_SCORE = 2 * _EJECTION_SCORE
# Time constant of the failure rates.
RATE_DECAY_S = 2.0
# Results that a rate has to outweigh, so that few of them say little. A node
# whose requests fail at two endpoints has more likely met two that fail.
ENDPOINT_PRIOR_COUNT = 1.0
REPORTER_PRIOR_COUNT = 4.0
# Nodes without results for this long are forgotten; their rates are near 0.
REPORTER_RETENTION_S = 5 * RATE_DECAY_S
# How long an endpoint is out of use before a probe; doubles each time.
EJECTION_MIN_S = 0.5
EJECTION_MAX_S = 2.0
# Failures after this time in use are not a relapse.
RELAPSE_S = 10.0
# A probe whose result does not arrive within this time is forgotten.
PROBE_TIMEOUT_S = 3.0
# Without requests that may be sent twice, an endpoint returns after this time.
UNPROBED_RETURN_S = 5.0
# Limit on the ejected share of a pool.
MAX_EJECTED_SHARE = 0.5

Clock: typing.TypeAlias = collections_abc.Callable[[], float]


@attrs.define
class _FailureRate:
    """Exponentially decaying counts of results."""

    failures: float = 0.0
    results: float = 0.0
    updated_s: float = 0.0

    def record(self, now_s: float, *, is_failure: bool) -> None:
        self._decay(now_s)
        self.results += 1
        self.failures += is_failure

    def counts(self, now_s: float) -> tuple[float, float]:
        """Return the failures and all results."""
        self._decay(now_s)
        return self.failures, self.results

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self.updated_s - now_s) / RATE_DECAY_S)
        self.failures *= factor
        self.results *= factor
        self.updated_s = now_s


@attrs.define
class _Ejection:
    duration_s: float
    # When the next probe may be sent, and when the latest one was.
    probe_due_s: float
    probed_s: float = -math.inf


@attrs.define(eq=False)
class _EndpointState:
    rate: _FailureRate = attrs.field(factory=_FailureRate)
    score: float = 0.0
    ejection: _Ejection | None = None
    # Whether the latest result was a success.
    has_succeeded: bool = False
    # Duration of the latest ejection, and when it ended.
    last_duration_s: float = 0.0
    returned_s: float = -math.inf


@attrs.define(eq=False)
class OutlierDetector:
    """Judges the endpoints of one pool by the results of their requests."""

    _clock: Clock
    _endpoints: dict[str, _EndpointState] = attrs.field(factory=dict)
    # Failure rates by reporting node and endpoint.
    _reporters: dict[str, dict[str, _FailureRate]] = attrs.field(factory=dict)

    def record(
        self, endpoint_id: str, reporter: str, *, is_failure: bool
    ) -> None:
        """Record the result of a request that a node sent to an endpoint."""
        now_s = self._clock()
        state = self._state(endpoint_id)
        state.rate.record(now_s, is_failure=is_failure)
        state.has_succeeded = not is_failure
        rates = self._reporters.setdefault(reporter, {})
        rates.setdefault(endpoint_id, _FailureRate()).record(
            now_s, is_failure=is_failure
        )
        # What was sent before an ejection says nothing about its end.
        if state.ejection is not None or not (is_failure or state.score):
            return
        pool_rate = self._median_rate_of_others(endpoint_id)
        if pool_rate >= FAILING_RATE:
            self._return_all()
            return
        reporter_rate = self._rate_elsewhere(endpoint_id, reporter)
        usual_rate = max(pool_rate, reporter_rate, MIN_USUAL_RATE)
        score = state.score + _evidence(usual_rate, is_failure=is_failure)
        state.score = min(max(score, 0.0), _MAX_SCORE)
        if is_failure and state.score >= _EJECTION_SCORE:
            self._eject(state)

    def record_probe(self, endpoint_id: str, *, is_failure: bool) -> None:
        """Record the result of a probe."""
        state = self._state(endpoint_id)
        state.rate.record(self._clock(), is_failure=is_failure)
        state.has_succeeded = not is_failure
        ejection = state.ejection
        if ejection is None:
            return
        if is_failure:
            ejection.duration_s = min(2 * ejection.duration_s, EJECTION_MAX_S)
            ejection.probe_due_s = self._clock() + ejection.duration_s
            ejection.probed_s = -math.inf
            return
        self._return_to_use(state)

    def is_ejected(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is out of use, but for probes."""
        state = self._endpoints.get(endpoint_id)
        return state is not None and state.ejection is not None

    def is_usable(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may take requests, if only as the last."""
        state = self._endpoints.get(endpoint_id)
        return state is None or state.ejection is None or state.has_succeeded

    def penalty(self, endpoint_id: str) -> float:
        """Return how much fuller an endpoint counts, from 0 to 1.

        Keeps the load away while failures are too few for an ejection, and if
        too many endpoints fail to eject them all.
        """
        state = self._endpoints.get(endpoint_id)
        if state is None:
            return 0.0
        if state.ejection is not None:
            return 1.0
        return min(state.score / _EJECTION_SCORE, 1.0)

    def needs_probe(self, endpoint_id: str) -> bool:
        """Return whether a probe of an ejected endpoint is due."""
        state = self._endpoints.get(endpoint_id)
        if state is None or state.ejection is None:
            return False
        now_s = self._clock()
        ejection = state.ejection
        is_probed = now_s - ejection.probed_s < PROBE_TIMEOUT_S
        return now_s >= ejection.probe_due_s and not is_probed

    def start_probe(self, endpoint_id: str) -> None:
        """Record that a probe is sent; others wait for its result."""
        ejection = self._state(endpoint_id).ejection
        if ejection is not None:
            ejection.probed_s = self._clock()

    def forget(self, endpoint_id: str) -> None:
        """Forget the results of an endpoint whose process has restarted."""
        self._endpoints.pop(endpoint_id, None)
        for rates in self._reporters.values():
            rates.pop(endpoint_id, None)

    def tick(self, endpoint_ids: collections_abc.Collection[str]) -> None:
        """Drop the state of other endpoints, and end unprobed ejections."""
        now_s = self._clock()
        self._endpoints = {
            endpoint_id: state
            for endpoint_id, state in self._endpoints.items()
            if endpoint_id in endpoint_ids
        }
        # Endpoints without results yet also count for the ejected share.
        for endpoint_id in endpoint_ids:
            self._state(endpoint_id)
        for state in self._endpoints.values():
            ejection = state.ejection
            if ejection is None:
                continue
            latest_s = max(ejection.probe_due_s, ejection.probed_s)
            if now_s - latest_s > UNPROBED_RETURN_S:
                self._return_to_use(state)
        self._reporters = {
            reporter: rates
            for reporter, rates in self._reporters.items()
            if any(
                now_s - rate.updated_s < REPORTER_RETENTION_S
                for rate in rates.values()
            )
        }

    def _state(self, endpoint_id: str) -> _EndpointState:
        return self._endpoints.setdefault(endpoint_id, _EndpointState())

    def _median_rate_of_others(self, endpoint_id: str) -> float:
        """Return the failure rate to expect if the endpoint is sound."""
        now_s = self._clock()
        others = [
            state
            for name, state in self._endpoints.items()
            if name != endpoint_id
        ]
        in_use = [state for state in others if state.ejection is None]
        rates = [
            _rate(state.rate.counts(now_s), ENDPOINT_PRIOR_COUNT)
            for state in in_use or others
        ]
        return statistics.median_low(rates) if rates else 0.0

    def _rate_elsewhere(self, endpoint_id: str, reporter: str) -> float:
        """Return the failure rate that a node sees at other endpoints."""
        now_s = self._clock()
        counts = [
            rate.counts(now_s)
            for name, rate in self._reporters.get(reporter, {}).items()
            if name != endpoint_id
        ]
        total = (
            sum(failures for failures, _ in counts),
            sum(results for _, results in counts),
        )
        return _rate(total, REPORTER_PRIOR_COUNT)

    def _eject(self, state: _EndpointState) -> None:
        ejected = sum(
            other.ejection is not None for other in self._endpoints.values()
        )
        if ejected + 1 > MAX_EJECTED_SHARE * len(self._endpoints):
            return
        now_s = self._clock()
        duration_s = EJECTION_MIN_S
        if now_s - state.returned_s < RELAPSE_S:
            duration_s = min(2 * state.last_duration_s, EJECTION_MAX_S)
        state.ejection = _Ejection(duration_s, now_s + duration_s)

    def _return_to_use(self, state: _EndpointState) -> None:
        assert state.ejection is not None
        state.last_duration_s = state.ejection.duration_s
        state.returned_s = self._clock()
        state.ejection = None
        state.score = _PROBATION_SCORE

    def _return_all(self) -> None:
        for state in self._endpoints.values():
            state.ejection = None
            state.score = 0.0


def _rate(counts: tuple[float, float], prior_count: float) -> float:
    failures, results = counts
    return failures / (results + prior_count)


def _evidence(usual_rate: float, *, is_failure: bool) -> float:
    """Return the log-likelihood ratio of one result."""
    if usual_rate >= FAILING_RATE:
        return 0.0
    if is_failure:
        return math.log(FAILING_RATE / usual_rate)
    return math.log((1 - FAILING_RATE) / (1 - usual_rate))
