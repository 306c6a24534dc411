"""Requests to an admission queue, and its decisions."""

import enum

import attrs


class JobKind(enum.IntEnum):
    """The lane of a job; smaller numbers go first, other things equal."""

    LIGHT = 0
    SHORT = 1
    LONG = 2


class RefusalReason(enum.StrEnum):
    """Why a request was refused before it was sent."""

    WOULD_MISS_TARGET = 'would-miss-target'
    TARGET_PASSED = 'target-passed'
    NO_CAPACITY = 'no-capacity'
    QUEUE_FULL = 'queue-full'


@attrs.define(eq=False)
class AdmissionRequest:
    """A request for admission.

    deadline_s is the time by which the caller must have the first token (or
    the response of a service). Higher priority and higher penalty go first.
    """

    request_id: str
    account: str
    estimated_tokens: float
    arrived_s: float
    deadline_s: float
    priority: int = 0
    weight: float = 1.0
    penalty: float = 0.0
    kind: JobKind = JobKind.SHORT


@attrs.frozen
class Admitted:
    """The request may be sent now."""

    request_id: str


@attrs.frozen
class Queued:
    """The request is queued; next_ready or expired returns it later."""

    request_id: str
    expected_wait_s: float


@attrs.frozen
class RefusedNow:
    """The request is refused and was not run."""

    request_id: str
    reason: RefusalReason
    retry_after_s: float


Decision = Admitted | Queued | RefusedNow


@attrs.frozen
class Capacity:
    """The capacity of a deployment or service that is available to this entry.

    in_flight limits the jobs sent and not yet finished; tokens_per_s is the
    declared speed at that limit. For a service, a token is one millisecond for
    which a call holds its slot.
    """

    in_flight: float
    tokens_per_s: float


@attrs.frozen
class AdmissionSettings:
    """Settings for operators; see docs/operating/who-is-served.md."""

    preferred_share: float = 0.5
    preference_bound: float = 2.0
    preference_burst_s: float = 1.0
    light_floor_share: float = 0.1
    short_floor_share: float = 0.5
    long_floor_share: float = 0.15
    short_reserve_share: float = 0.1
    max_short_reserve_share: float = 0.5
    moderate_wait_margin: float = 0.6
    greedy_wait_margin: float = 0.3
    first_token_s: float = 0.2
    most_over_declared: float = 2.0
    token_gap_s: float = 0.06
    min_retry_after_s: float = 0.5
    max_waiting: int = 5000
