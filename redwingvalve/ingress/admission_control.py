"""Decides on route, account, priority and time limits of a request."""

import math
import random

import attrs

from redwingvalve.ingress import caller_retries, refusals, routes
from redwingvalve.platform import caller_requests

_MS_IN_S = 1000.0
# For routes without a timeout.
DEFAULT_TIMEOUT_MS = 30_000
# The least urgent value that endpoints accept.
MAX_URGENCY = 9


@attrs.frozen
class Admission:
    """The admission decision for a request that is not refused."""

    route: routes.Route
    service: str
    model: str
    account: str | None
    urgency: int
    # Timestamps of this process's monotonic clock.
    timeout_at_s: float
    caller_deadline_s: float
    # Time to read the prompt, and the usual interval between two events.
    prompt_read_s: float
    event_interval_s: float
    # How long the answer takes by the numbers of tokens that the caller
    # announced, 0 if it announced none.
    announced_s: float = 0
    # The caller retries after a refusal.
    has_returned: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.kind is routes.RouteKind.STREAM


def admit(
    configuration: routes.Configuration | None,
    caller: caller_requests.CallerRequest,
    rng: random.Random,
    now_s: float,
) -> Admission | refusals.Refusal:
    """Return the admission of a request, or the reason to refuse it."""
    if configuration is None:
        return refusals.NO_CONFIGURATION
    route = configuration.find_route(caller.host, caller.path)
    if route is None:
        return refusals.NO_ROUTE
    account = configuration.accounts_by_key.get(caller.key)
    requires_key = configuration.needs_keys and not route.anonymous
    if requires_key and account is None:
        return refusals.UNKNOWN_KEY
    service = routes.pick_service(route, rng)
    engine = configuration.find_engine(service)
    timeout_ms, caller_ms = _timeouts_ms(route, caller)
    return Admission(
        route=route,
        service=service,
        model=caller.model if engine else '',
        account=account.name if account else None,
        urgency=min(_priority(route, account), MAX_URGENCY),
        timeout_at_s=now_s + timeout_ms / _MS_IN_S,
        caller_deadline_s=now_s + caller_ms / _MS_IN_S,
        prompt_read_s=_prompt_read_s(engine, caller),
        event_interval_s=_event_interval_s(engine, caller.model),
        announced_s=_announced_s(engine, caller),
    )


def mark_caller_retry(
    admission: Admission,
    caller: caller_requests.CallerRequest,
    deadlines: caller_retries.DeadlineHistory,
    now_s: float,
) -> Admission:
    """Return the admission, marked if the caller retries after a refusal."""
    if caller.deadline_ms is None:
        return admission
    key = (admission.route.name, admission.account)
    if not deadlines.is_caller_retry(key, caller.deadline_ms, now_s):
        return admission
    return attrs.evolve(admission, has_returned=True)


def limit_forwarded(
    admission: Admission, forwarded: caller_requests.Forwarded
) -> Admission:
    """Return the admission with what the forwarding node has left of it."""
    attempts = min(admission.route.max_attempts, forwarded.attempts)
    return attrs.evolve(
        admission,
        route=attrs.evolve(admission.route, max_attempts=attempts),
        has_returned=forwarded.has_returned,
    )


def _timeouts_ms(
    route: routes.Route, caller: caller_requests.CallerRequest
) -> tuple[int, int]:
    """Return the time limit of this node, and the caller's deadline."""
    timeout_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
    if caller.deadline_ms is None:
        return timeout_ms, timeout_ms
    return min(timeout_ms, caller.deadline_ms), caller.deadline_ms


def _priority(route: routes.Route, account: routes.ClientAccount | None) -> int:
    if account is None or account.priority is None:
        return route.priority
    return account.priority


def _prompt_read_s(
    engine: routes.Engine | None, caller: caller_requests.CallerRequest
) -> float:
    model = engine.find_model(caller.model) if engine else None
    if engine is None or model is None:
        return 0
    return caller.prompt_tokens / engine.prompt_tokens_per_s * model.time_factor


def _announced_s(
    engine: routes.Engine | None, caller: caller_requests.CallerRequest
) -> float:
    if engine is None or not caller.answer_tokens:
        return 0
    events = math.ceil(caller.answer_tokens / engine.steps_per_event)
    return _prompt_read_s(engine, caller) + events * _event_interval_s(
        engine, caller.model
    )


def _event_interval_s(engine: routes.Engine | None, name: str) -> float:
    model = engine.find_model(name) if engine else None
    if engine is None or model is None:
        return 0
    step_ms = engine.step_ms + engine.slots * engine.step_ms_per_request
    return step_ms * engine.steps_per_event * model.time_factor / _MS_IN_S
