"""Reserves a slot for one request, and records waits and refusals."""

import time
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import (
    admission_control,
    refusals,
    reservations,
    responses,
    routes,
    wait_queue,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.observability import node_metrics
from redwingvalve.platform import caller_requests

_MS_IN_S = 1000.0


async def reserve_slot(
    state: state_module.IngressState,
    caller: caller_requests.CallerRequest,
    admission: admission_control.Admission,
    avoid: collections_abc.Collection[str],
) -> reservations.Reservation | reservations.NoSlot:
    """Reserve a slot, or return when the caller may retry.

    avoid lists the endpoints that were tried already.
    """
    started_s = time.monotonic()
    reservation = await find_slot(state, admission, avoid)
    has_slot = isinstance(reservation, reservations.Reservation)
    held_s = time.monotonic() - started_s
    node_metrics.METRICS.observe(
        'redwingvalve_wait_seconds',
        held_s,
        outcome='place' if has_slot else 'no place',
        model=admission.model,
    )
    if not has_slot:
        _log_no_slot(state, caller, admission, held_s)
    return reservation


async def find_slot(
    state: state_module.IngressState,
    admission: admission_control.Admission,
    avoid: collections_abc.Collection[str],
) -> reservations.Reservation | reservations.NoSlot:
    """Do the same without counting or logging the result."""
    assert state.reserver is not None
    return await state.reserver.reserve(
        admission.service,
        admission.model,
        _make_slot_request(state, admission, is_resumed=bool(avoid)),
        avoid,
        state.stall_detector.slow_heads(time.monotonic()),
    )


def _make_slot_request(
    state: state_module.IngressState,
    admission: admission_control.Admission,
    *,
    is_resumed: bool,
) -> wait_queue.SlotRequest:
    estimate = state.first_event_estimate(admission.service, admission.model)
    left_s = admission.timeout_at_s - time.monotonic()
    first_event_s = estimate.seconds + admission.prompt_read_s
    need = wait_queue.SlotRequest(
        urgency=admission.urgency,
        on_time_s=refusals.on_time_wait_s(admission.route, first_event_s),
        wait_s=refusals.wait_s(admission.route, left_s),
        has_returned=admission.has_returned,
        is_resumed=is_resumed,
        may_probe=not is_resumed and _may_be_sent_twice(admission.route),
    )
    if not _has_competition(state, admission):
        return need
    return _for_competition(state, admission, need)


def _has_competition(
    state: state_module.IngressState, admission: admission_control.Admission
) -> bool:
    configuration = state.configuration
    return configuration is not None and configuration.has_competing_accounts(
        admission.service
    )


def _for_competition(
    state: state_module.IngressState,
    admission: admission_control.Admission,
    need: wait_queue.SlotRequest,
) -> wait_queue.SlotRequest:
    """Return the request with what its queue needs to share slots."""
    route = admission.route
    is_too_large = admission.prompt_read_s * _MS_IN_S >= route.goal_ms
    return attrs.evolve(
        need,
        on_time_s=0 if is_too_large else need.on_time_s,
        account=admission.account or '',
        kind=route.name,
        size_rank=state.prompt_ranks.rank(route.name, admission.prompt_read_s),
    )


def _may_be_sent_twice(route: routes.Route) -> bool:
    return route.may_repeat and route.max_attempts > 1


def _log_no_slot(
    state: state_module.IngressState,
    caller: caller_requests.CallerRequest,
    admission: admission_control.Admission,
    held_s: float,
) -> None:
    service, model = admission.service, admission.model
    responses.log_no_slot(
        caller,
        admission,
        targets=len(state.targets.find_targets(service, model)),
        under_way=state.slot_demand(service, model),
        waiting=state.waiting_requests(service, model),
        held_s=held_s,
    )
