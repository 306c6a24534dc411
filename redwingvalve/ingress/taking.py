"""Takes a place at an endpoint for one request, or says why there is none."""

import time
from collections import abc as collections_abc

from redwingvalve.ingress import (
    admitting,
    answering,
    placing,
    refusals,
    waiting,
)
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
    service, model = admission.service, admission.model
    room = state.room(service, model)
    places = state.places(service, model)

    def select(freed: placing.Target | None) -> placing.Target | None:
        slow = state.silence.slow_heads(time.monotonic())
        return places.take(freed, avoid, slow)

    ask = _ask(state, admission, is_resumed=bool(avoid))
    began_s = time.monotonic()
    target = await room.take(ask, select)
    node_metrics.METRICS.observe(
        'redwingvalve_wait_seconds',
        time.monotonic() - began_s,
        outcome='no place' if target is None else 'place',
        model=model,
    )
    if target is None:
        held_s = time.monotonic() - began_s
        _log_no_place(state, caller, admission, held_s)
    return target


def _ask(
    state: state_module.IngressState,
    admission: admitting.Admission,
    *,
    is_resumed: bool,
) -> waiting.Ask:
    times = state.times(admission.service, admission.model)
    left_s = admission.timeout_at_s - time.monotonic()
    begin_s = times.begin.seconds + admission.prompt_s
    return waiting.Ask(
        urgency=admission.urgency,
        on_time_s=refusals.on_time_wait_s(admission.route, begin_s),
        wait_s=refusals.wait_s(admission.route, left_s),
        has_returned=admission.has_returned,
        is_resumed=is_resumed,
    )


def _log_no_place(
    state: state_module.IngressState,
    caller: caller_requests.CallerRequest,
    admission: admitting.Admission,
    held_s: float,
) -> None:
    service, model = admission.service, admission.model
    answering.log_no_place(
        caller,
        admission,
        targets=len(state.targets.of(service, model)),
        under_way=state.under_way(service, model),
        waiting=len(state.room(service, model)),
        held_s=held_s,
    )
