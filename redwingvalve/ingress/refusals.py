"""Answers of this system's own, and how long a request may wait for a place."""

import json
import random
import typing

import attrs

from redwingvalve.http1 import messages
from redwingvalve.ingress import routes

NOT_FOUND = 404
UNAUTHORIZED = 401
UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# A wave lasts some seconds; most of those that come back after this find a
# place, and callers honour it up to a third of the time that they have left.
RETRY_AFTER_S = 0.4
# A request that crashes endpoints is not wanted back soon.
POISON_RETRY_AFTER_S = 30.0
# Callers leave a stream on which nothing comes for the longest of these; a
# request may wait for most of it and still reach its caller.
MIN_CALLER_PATIENCE_S = 2.0
CALLER_PATIENCE_GOALS = 4.0
CALLER_PATIENCE_GAPS = 8.0
PATIENCE_WAIT_SHARE = 0.75
# Of the time that a request still has.
TIME_LEFT_WAIT_SHARE = 0.5
# What a request may wait and be on time is at least and at most this share of
# its goal, however long answers seem to take to begin.
MIN_ON_TIME_SHARE = 0.1
MAX_ON_TIME_SHARE = 0.8
RETRY_AFTER_JITTER = 0.25
_MS_IN_S = 1000.0


@attrs.frozen
class Refusal:
    """A status of our own and why."""

    status: int
    reason: str
    retry_after_s: float | None = None

    def headers(self) -> messages.Headers:
        """Return the headers that go with the status."""
        headers: messages.Headers = [(b'content-type', b'application/json')]
        if self.retry_after_s is not None:
            text = f'{self.retry_after_s:g}'
            headers.append((b'retry-after', text.encode()))
        return headers

    def body(self) -> bytes:
        """Return the reason as JSON."""
        return json.dumps({'error': self.reason}).encode()


NO_CONFIGURATION: typing.Final = Refusal(
    UNAVAILABLE, 'no configuration is known yet', RETRY_AFTER_S
)
NO_ROUTE: typing.Final = Refusal(NOT_FOUND, 'no route')
UNKNOWN_KEY: typing.Final = Refusal(UNAUTHORIZED, 'unknown key')
NO_FREE_SLOT: typing.Final = Refusal(
    UNAVAILABLE, 'no endpoint has a free place', RETRY_AFTER_S
)
POISON: typing.Final = Refusal(
    UNAVAILABLE, 'this request has crashed endpoints', POISON_RETRY_AFTER_S
)
INCOMPLETE_ANSWER: typing.Final = Refusal(
    BAD_GATEWAY, 'the endpoint gave no whole answer; it may have run'
)
TIMED_OUT: typing.Final = Refusal(GATEWAY_TIMEOUT, 'no answer in time')


def for_failed_request(
    may_have_run: bool,
    is_timeout: bool,
    retry_after_s: float = RETRY_AFTER_S,
) -> Refusal:
    """Return the answer to a request that is given up.

    503 promises that the request did not run and never will, so that it is
    only used if no endpoint may have begun it; it says when to come back.
    """
    if not may_have_run:
        return attrs.evolve(NO_FREE_SLOT, retry_after_s=retry_after_s)
    return TIMED_OUT if is_timeout else INCOMPLETE_ANSWER


def with_jitter_s(retry_after_s: float, rng: random.Random) -> float:
    """Return a time about retry_after_s, in seconds.

    Callers that are refused together don't come back together.
    """
    factor = rng.uniform(1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER)
    return round(retry_after_s * factor, 2)


def on_time_wait_s(route: routes.Route, first_event_s: float) -> float:
    """Return after what wait an answer begins late, in seconds.

    begin_s is how long an answer takes to begin once its request has a place.
    """
    goal_s = route.goal_ms / _MS_IN_S
    min_s = MIN_ON_TIME_SHARE * goal_s
    max_s = MAX_ON_TIME_SHARE * goal_s
    return min(max(goal_s - first_event_s, min_s), max_s)


def wait_s(route: routes.Route, left_s: float) -> float:
    """Return how long a request may wait for a place, in seconds.

    left_s is the time until its answer must be whole: who is refused needs
    some of it to come back, and who gets a place needs some to be served.
    """
    patience_s = max(
        MIN_CALLER_PATIENCE_S,
        CALLER_PATIENCE_GOALS * route.goal_ms / _MS_IN_S,
        CALLER_PATIENCE_GAPS * route.gap_goal_ms / _MS_IN_S,
    )
    return max(
        0, min(PATIENCE_WAIT_SHARE * patience_s, TIME_LEFT_WAIT_SHARE * left_s)
    )
