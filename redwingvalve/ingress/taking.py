"""Takes a place at an endpoint for one request, or says why there is none."""

import time
from collections import abc as collections_abc

from redwingvalve.ingress import admitting, answering, placing, refusals
from redwingvalve.ingress import state as state_module
from redwingvalve.observability import node_metrics
from redwingvalve.platform import caller_requests


async def take_place(
    state: state_module.IngressState,
    caller: caller_requests.CallerRequest,
    admission: admitting.Admission,
    avoid: collections_abc.Container[str],
) -> placing.Target | None:
    """Return a target that counts the request already, or None.

    avoid names the endpoints that were tried.
    """
    room = state.room(admission.service, admission.model)
    left_s = admission.timeout_at_s - time.monotonic()
    wait_s = max(0, min(left_s, refusals.wait_s(admission.route)))

    def select() -> placing.Target | None:
        found = _choose(state, admission, avoid)
        if found is not None:
            # Counted at once, so that no other request takes the place.
            state.loads.begin(found.endpoint_id)
        return found

    on_time_s = refusals.on_time_wait_s(admission.route)
    began_s = time.monotonic()
    target = await room.take(admission.urgency, select, wait_s, on_time_s)
    node_metrics.METRICS.observe(
        'redwingvalve_wait_seconds',
        time.monotonic() - began_s,
        outcome='no place' if target is None else 'place',
        model=admission.model,
    )
    if target is None:
        _log_no_place(state, caller, admission)
    return target


def _choose(
    state: state_module.IngressState,
    admission: admitting.Admission,
    avoid: collections_abc.Container[str],
) -> placing.Target | None:
    targets = state.targets.of(admission.service, admission.model)
    drawn = placing.draw(targets, state.node_count, state.chance)
    found = placing.choose(drawn, state.loads, state.chance, avoid)
    if found is not None or drawn is targets:
        return found
    return placing.choose(targets, state.loads, state.chance, avoid)


def _log_no_place(
    state: state_module.IngressState,
    caller: caller_requests.CallerRequest,
    admission: admitting.Admission,
) -> None:
    service, model = admission.service, admission.model
    answering.log_no_place(
        caller,
        admission,
        targets=len(state.targets.of(service, model)),
        under_way=state.under_way(service, model),
        waiting=len(state.room(service, model)),
    )
