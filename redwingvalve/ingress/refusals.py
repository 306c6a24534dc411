"""Refusals that this node generates, and limits of the wait for a slot."""

import json
import random
import typing

import attrs

from redwingvalve.http1 import messages
from redwingvalve.ingress import (
    crash_blame,
    crash_keys,
    poison,
    routes,
)

NOT_FOUND = 404
UNAUTHORIZED = 401
UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# A burst lasts some seconds; most callers that retry after this time get a
# slot. Callers honour it up to a third of their remaining time.
RETRY_AFTER_S = 0.4
# While another node tries the request.
MIN_POISON_RETRY_AFTER_S = 5.0
# By then endpoints in doubt have answered a probe, if they can.
POISON_SUSPECT_RETRY_AFTER_S = 1.0
# Callers abandon a silent stream after the longest of these: a fixed time,
# multiples of the first-event goal, multiples of the gap goal. A request may
# wait for most of that time and still reach its caller.
MIN_CALLER_PATIENCE_S = 2.0
CALLER_PATIENCE_GOALS = 4.0
CALLER_PATIENCE_GAPS = 8.0
PATIENCE_WAIT_SHARE = 0.75
# Limit of the wait as a share of the time left until the answer must be
# complete.
TIME_LEFT_WAIT_SHARE = 0.5
# Bounds of the wait that counts as on time, as shares of the goal, whatever
# the estimated time to the first event is.
MIN_ON_TIME_SHARE = 0.1
MAX_ON_TIME_SHARE = 0.8
RETRY_AFTER_JITTER = 0.25
_MS_IN_S = 1000.0


@attrs.frozen
class Refusal:
    """A status that this node generates, and its reason."""

    status: int
    reason: str
    retry_after_s: float | None = None

    def headers(self) -> messages.Headers:
        """Return the response headers."""
        headers: messages.Headers = [(b'content-type', b'application/json')]
        if self.retry_after_s is not None:
            text = f'{self.retry_after_s:g}'
            headers.append((b'retry-after', text.encode()))
        return headers

    def body(self) -> bytes:
        """Return the response body, the reason as JSON."""
        return json.dumps({'error': self.reason}).encode()


NO_CONFIGURATION: typing.Final = Refusal(
    UNAVAILABLE, 'no configuration is known yet', RETRY_AFTER_S
)
FAILED: typing.Final = Refusal(
    UNAVAILABLE, 'this node failed to handle the request', RETRY_AFTER_S
)
STOPPING: typing.Final = Refusal(
    UNAVAILABLE, 'this node is stopping', RETRY_AFTER_S
)
NO_ROUTE: typing.Final = Refusal(NOT_FOUND, 'no route')
UNKNOWN_KEY: typing.Final = Refusal(UNAUTHORIZED, 'unknown key')
NO_FREE_SLOT: typing.Final = Refusal(
    UNAVAILABLE, 'no endpoint has a free place', RETRY_AFTER_S
)
UNKNOWN_MODEL: typing.Final = Refusal(
    UNAVAILABLE, 'no endpoint has this model', RETRY_AFTER_S
)
POISON_SUSPECT: typing.Final = Refusal(
    UNAVAILABLE,
    'this request may have crashed endpoints',
    POISON_SUSPECT_RETRY_AFTER_S,
)
POISON: typing.Final = Refusal(
    UNAVAILABLE, 'this request has crashed endpoints', MIN_POISON_RETRY_AFTER_S
)
INCOMPLETE_ANSWER: typing.Final = Refusal(
    BAD_GATEWAY, 'the endpoint gave no whole answer; it may have run'
)
TIMED_OUT: typing.Final = Refusal(GATEWAY_TIMEOUT, 'no answer in time')
POISON_PART_SUSPECT: typing.Final = Refusal(
    UNAVAILABLE,
    'a part of the prompt may have crashed endpoints',
    POISON_SUSPECT_RETRY_AFTER_S,
)
POISON_PART: typing.Final = Refusal(
    UNAVAILABLE,
    'a part of the prompt has crashed endpoints',
    MIN_POISON_RETRY_AFTER_S,
)


def for_crashing_request(
    tracker: poison.PoisonRequestTracker, keys: crash_keys.RequestKeys
) -> Refusal | None:
    """Return the refusal for a request that may crash endpoints, or None."""
    judgement = tracker.blame.judge(*keys.all)
    if judgement.key is None:
        return None
    is_part = crash_keys.is_part(judgement.key)
    if judgement.verdict is crash_blame.Verdict.HOLD:
        return POISON_PART_SUSPECT if is_part else POISON_SUSPECT
    trial_s = round(tracker.time_to_trial_s(*keys.all), 1)
    min_s = MIN_POISON_RETRY_AFTER_S
    if tracker.blame.is_worth_a_trial(judgement, keys.all):
        min_s = POISON_SUSPECT_RETRY_AFTER_S
    refusal = POISON_PART if is_part else POISON
    return attrs.evolve(refusal, retry_after_s=max(trial_s, min_s))


def for_failed_request(
    may_have_run: bool,
    is_timeout: bool,
    retry_after_s: float = RETRY_AFTER_S,
) -> Refusal:
    """Return the refusal for a request that is given up.

    503 guarantees that the request did not run and never will, so it is used
    only if no endpoint can have started it; it includes Retry-After.
    """
    if not may_have_run:
        return attrs.evolve(NO_FREE_SLOT, retry_after_s=retry_after_s)
    return TIMED_OUT if is_timeout else INCOMPLETE_ANSWER


def with_jitter_s(retry_after_s: float, rng: random.Random) -> float:
    """Return retry_after_s with random jitter.

    It spreads the retries of callers that are refused at the same time.
    """
    factor = rng.uniform(1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER)
    return round(retry_after_s * factor, 2)


def before_jitter_s(not_before_s: float) -> float:
    """Return the Retry-After that jitter makes no shorter than a time."""
    return not_before_s / (1 - RETRY_AFTER_JITTER)


def on_time_wait_s(route: routes.Route, first_event_s: float) -> float:
    """Return the longest wait after which an answer still starts in time.

    first_event_s is the time from getting a slot to the first event.
    """
    goal_s = route.goal_ms / _MS_IN_S
    min_s = MIN_ON_TIME_SHARE * goal_s
    max_s = MAX_ON_TIME_SHARE * goal_s
    return min(max(goal_s - first_event_s, min_s), max_s)


def wait_s(route: routes.Route, left_s: float) -> float:
    """Return how long a request may wait for a slot, in seconds.

    left_s is the time until its answer must be complete: a refused caller
    needs part of it to retry, and a request that gets a slot needs part of it
    to be served.
    """
    patience_s = max(
        MIN_CALLER_PATIENCE_S,
        CALLER_PATIENCE_GOALS * route.goal_ms / _MS_IN_S,
        CALLER_PATIENCE_GAPS * route.gap_goal_ms / _MS_IN_S,
    )
    return max(
        0, min(PATIENCE_WAIT_SHARE * patience_s, TIME_LEFT_WAIT_SHARE * left_s)
    )
