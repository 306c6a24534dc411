"""Reserves a slot for one request, and records waits and refusals."""

import time
from collections import abc as collections_abc

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
    return wait_queue.SlotRequest(
        urgency=admission.urgency,
        on_time_s=refusals.on_time_wait_s(admission.route, first_event_s),
        wait_s=refusals.wait_s(admission.route, left_s),
        has_returned=admission.has_returned,
        is_resumed=is_resumed,
        may_probe=not is_resumed and _may_be_sent_twice(admission.route),
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
