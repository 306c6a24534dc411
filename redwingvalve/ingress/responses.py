"""Sends responses to callers and logs the decisions behind them."""

from redwingvalve.http1 import messages, server
from redwingvalve.ingress import (
    admission_control,
    load_balancing,
    peer_routes,
    refusals,
    retry_budget,
    timing,
    upstream,
)
from redwingvalve.observability import bounded_logs, logs, node_metrics
from redwingvalve.platform import (
    caller_requests,
    endpoint_statements,
    names,
)

LOG = logs.make_logger('ingress')
_MS_IN_S = 1000.0
ANSWERED = 'answered'
MAX_LOGGED_PARTS = 16


def send_response(
    responder: server.Responder, upstream_request: upstream.UpstreamRequest
) -> None:
    """Send a complete answer, or end a stream that was already forwarded."""
    if responder.is_started:
        responder.finish()
        return
    head = upstream_request.head
    assert head is not None
    headers = messages.end_to_end(head.headers)
    if (
        isinstance(upstream_request, upstream.UpstreamStream)
        and upstream_request.is_stream
    ):
        responder.start(head.status, headers)
        responder.finish()
        return
    responder.send_response(head.status, headers, upstream_request.body)


def send_refusal(
    responder: server.Responder,
    caller: caller_requests.CallerRequest,
    refusal: refusals.Refusal,
) -> None:
    """Send a refusal that this node generates."""
    node_metrics.METRICS.count('redwingvalve_refusals', reason=refusal.reason)
    LOG.info(
        'refused',
        extra={
            'request': _decode(caller.attempt_id),
            'status': refusal.status,
            'reason': refusal.reason,
            'retry_after_s': refusal.retry_after_s,
        },
    )
    attempt = (names.ATTEMPT_ID_HEADER, caller.attempt_id)
    responder.send_response(
        refusal.status, [attempt, *refusal.headers()], refusal.body()
    )


def decline(
    responder: server.Responder,
    caller: caller_requests.CallerRequest,
    reason: str,
) -> None:
    """Let the node that forwarded a request try another one."""
    node_metrics.METRICS.count('redwingvalve_declined_requests', reason=reason)
    LOG.info(
        f'declined: {reason}', extra={'request': _decode(caller.attempt_id)}
    )
    attempt = (names.ATTEMPT_ID_HEADER, caller.attempt_id)
    responder.send_response(peer_routes.DECLINED, [attempt], b'')


def log_no_slot(
    caller: caller_requests.CallerRequest,
    admission: admission_control.Admission,
    *,
    targets: int,
    under_way: int,
    waiting: int,
    held_s: float,
) -> None:
    """Log why a request got no slot."""
    LOG.info(
        'no place',
        extra={
            'request': _decode(caller.attempt_id),
            'route': admission.route.name,
            'model': admission.model,
            'targets': targets,
            'under_way': under_way,
            'waiting': waiting,
            'held_ms': int(held_s * _MS_IN_S),
            'has_returned': admission.has_returned,
            'deadline_ms': caller.deadline_ms,
        },
    )


def log_retry(
    caller: caller_requests.CallerRequest,
    service: str,
    reason: str,
    use: retry_budget.BudgetUse,
    *,
    is_allowed: bool,
) -> None:
    """Log a retry, or why none was sent; use is that after it."""
    result = 'allowed' if is_allowed else 'refused'
    node_metrics.METRICS.count(
        'redwingvalve_retries', service=service, reason=reason, result=result
    )
    LOG.info(
        f'retry {result}',
        extra={
            'request': _decode(caller.attempt_id),
            'service': service,
            'reason': reason,
            'window_requests': use.requests,
            'window_retries': use.retries,
            'nodes': use.nodes,
            'extra': round(use.extra, 2),
            'left': round(use.left, 2),
        },
    )


def log_upstream_outcome(
    outcome: str,
    caller: caller_requests.CallerRequest,
    admission: admission_control.Admission,
    target: load_balancing.Target,
    *,
    sends: int,
    last_event: int | None,
    latest: upstream.UpstreamRequest | None,
    times: timing.RequestTiming,
) -> None:
    """Log the outcome of the latest upstream request, None without one."""
    node_metrics.METRICS.count(
        'redwingvalve_sends',
        outcome=outcome,
        route_kind=admission.route.kind.value,
    )
    if outcome == ANSWERED:
        node_metrics.METRICS.observe(
            'redwingvalve_answer_seconds',
            times.elapsed_s,
            route_kind=admission.route.kind.value,
        )
    is_first_event_late = times.is_first_event_late(admission)
    statement = endpoint_statements.NOTHING
    if latest is not None and latest.statement is not None:
        statement = latest.statement
    on_time = not (is_first_event_late or times.is_gap_late(admission))
    LOG.info(
        outcome,
        extra={
            # Late answers are logged one by one, whatever the load.
            bounded_logs.ROUTINE_ATTRIBUTE: outcome == ANSWERED and on_time,
            'request': _decode(caller.attempt_id),
            'route': admission.route.name,
            'endpoint': target.endpoint_id,
            'replica': target.replica,
            'epoch': target.epoch,
            'sends': sends,
            'last_event': last_event,
            'took_ms': int(times.elapsed_s * _MS_IN_S),
            'waited_ms': int(times.waited_s * _MS_IN_S),
            'first_ms': int(times.first_event_delay_s * _MS_IN_S),
            'pause_ms': int(times.longest_gap_s * _MS_IN_S),
            'has_returned': admission.has_returned,
            'is_late_first': is_first_event_late,
            'on_time': on_time,
            'reason': latest.reason if latest else '',
            'ending': _ending(latest),
            'parts': list(caller.shared_parts[:MAX_LOGGED_PARTS]),
            'endpoint_limit_per_s': statement.requests_per_s,
            'endpoint_rest_s': statement.rest_s,
            'endpoint_leaves': statement.is_leaving,
            'endpoint_at_fault': statement.at_fault,
        },
    )


def _ending(latest: upstream.UpstreamRequest | None) -> str:
    """Return what marks the end of the latest answer, '' without a head."""
    if latest is None or latest.head is None:
        return ''
    return latest.head.body_end.value


def _decode(raw: bytes) -> str:
    return raw.decode('latin-1')
