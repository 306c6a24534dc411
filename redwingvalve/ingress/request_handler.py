"""Handles one caller's request, from its arrival to its last byte."""

import asyncio
import time
import types

from redwingvalve.http1 import client, messages, pool, server
from redwingvalve.ingress import (
    admission_control,
    load_balancing,
    poison,
    refusals,
    reservations,
    responses,
    routes,
    slot_requests,
    stall_detection,
    stream_forwarding,
    timing,
    upstream,
)
from redwingvalve.ingress import (
    state as state_module,
)
from redwingvalve.platform import caller_requests

_MS_IN_S = 1000.0
_TIMEOUT = 'timeout'
# The peer may close an idle connection at any moment. A request that must not
# run twice can't be retried then, so it uses a connection that was in use
# moments ago, or a new one.
NON_REPEATABLE_MAX_IDLE_S = 0.5
REPEATABLE_MAX_IDLE_S = 4.0
# Failed connections don't count against the route's attempts, because nothing
# ran: the request tries other endpoints until this number is exceeded.
MAX_CONNECT_FAILURES = 3


class RequestHandler(state_module.InFlightRequest):
    """Sends one request to endpoints until it is answered or given up."""

    def __init__(
        self,
        state: state_module.IngressState,
        request: messages.Request,
        responder: server.Responder,
    ) -> None:
        """Read the request's headers; run() handles it."""
        self._state = state
        self._request = request
        self._responder = responder
        self._caller = caller_requests.read_request(request)
        self._times = timing.RequestTiming()
        self._upstream_request: upstream.UpstreamRequest | None = None
        self._connection: client.Connection | None = None
        self._forwarder = stream_forwarding.StreamForwarder(
            state.stall_detector,
            responder,
            self._caller.last_event,
            self._times,
        )
        self._tried_endpoints: set[str] = set()
        self._sent_count = 0
        self._may_have_run = False
        self._failure_response: upstream.UpstreamRequest | None = None
        self._connect_failures = 0
        self._admission: admission_control.Admission | None = None
        self._fingerprint = 0
        # The next retry is already taken from the budget.
        self._is_retry_paid = False
        self._retry_after_s = refusals.RETRY_AFTER_S

    async def run(self) -> None:
        """Handle the request until the response is complete."""
        self._responder.on_disconnect = self._on_caller_gone
        admission = self._admit()
        if admission is None:
            return
        self._admission = admission
        self._fingerprint = poison.fingerprint(
            self._request.target, admission.account, self._request.body
        )
        if self._state.poison.is_poison(self._fingerprint):
            responses.send_refusal(
                self._responder, self._caller, refusals.POISON
            )
            return
        self._state.prompt_read_times(admission.model).observe(
            admission.prompt_read_s
        )
        self._state.retry_budget(admission.service).record_request(
            self._times.started_s
        )
        while not self._responder.is_disconnected:
            wait_started_s = time.monotonic()
            reservation = await slot_requests.reserve_slot(
                self._state, self._caller, admission, self._tried_endpoints
            )
            self._times.add_wait_since(wait_started_s)
            if isinstance(reservation, reservations.NoSlot):
                self._retry_after_s = reservation.retry_after_s
                self._fail('no free slot')
                return
            outcome = await self._try_target(admission, reservation)
            if self._finish_unless_retry(
                admission, reservation.target, outcome
            ):
                return

    def _admit(self) -> admission_control.Admission | None:
        decision = admission_control.admit(
            self._state.configuration,
            self._caller,
            self._state.rng,
            self._times.started_s,
        )
        if isinstance(decision, refusals.Refusal):
            responses.send_refusal(self._responder, self._caller, decision)
            return None
        return admission_control.mark_caller_retry(
            decision,
            self._caller,
            self._state.deadline_history,
            self._times.started_s,
        )

    async def _try_target(
        self,
        admission: admission_control.Admission,
        reservation: reservations.Reservation,
    ) -> upstream.Outcome:
        target = reservation.target
        self._tried_endpoints.add(target.endpoint_id)
        sent_s = time.monotonic()
        outcome = upstream.Outcome.BROKEN
        try:
            outcome = await self._send_upstream(admission, target)
        finally:
            reservation.release(
                _RELEASE_STATES.get(
                    outcome, reservations.ReleaseState.UNCERTAIN
                )
            )
        if outcome is upstream.Outcome.COMPLETE and self._sent_count == 1:
            self._times.update_estimate(
                self._state.first_event_estimate(
                    admission.service, admission.model
                ),
                sent_s,
                admission.prompt_read_s,
            )
        return outcome

    async def _send_upstream(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
    ) -> upstream.Outcome:
        connections = self._state.connections
        max_idle_s = (
            REPEATABLE_MAX_IDLE_S
            if admission.route.may_repeat
            else NON_REPEATABLE_MAX_IDLE_S
        )
        try:
            connection = await connections.take(target.address, max_idle_s)
        except pool.ConnectError as error:
            self._connect_failures += 1
            self._state.targets.suspect(target.endpoint_id, str(error))
            return upstream.Outcome.NOT_RUN
        if self._responder.is_disconnected:
            connections.release(target.address, connection)
            return upstream.Outcome.CALLER_GONE
        self._sent_count += 1
        upstream_request = self._make_upstream_request(admission)
        self._upstream_request = upstream_request
        self._connection = connection
        connection.send(
            self._render_request(admission, target),
            upstream_request,
            connections.release_callback(target.address),
        )
        return await self._await_outcome(admission, target, upstream_request)

    def _make_upstream_request(
        self, admission: admission_control.Admission
    ) -> upstream.UpstreamRequest:
        attempt_id = self._caller.attempt_id
        if admission.route.kind is routes.RouteKind.STREAM:
            return upstream.UpstreamStream(attempt_id, self._forwarder)
        return upstream.UpstreamRequest(attempt_id)

    def _render_request(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
    ) -> bytes:
        left_s = admission.caller_deadline_s - time.monotonic()
        forwarding_headers = caller_requests.ForwardingHeaders(
            endpoint_id=target.endpoint_id,
            deadline_ms=max(1, int(left_s * _MS_IN_S)),
            client_account=admission.account,
            urgency=admission.urgency,
            last_event=self._forwarder.last_event,
        )
        return caller_requests.render_request(
            self._request, self._caller, forwarding_headers
        )

    async def _await_outcome(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
        upstream_request: upstream.UpstreamRequest,
    ) -> upstream.Outcome:
        self._forwarder.attach(
            self._connection, self._make_monitored_stream(admission, target)
        )
        in_flight_requests = self._state.in_flight_requests.setdefault(
            target.endpoint_id, set()
        )
        in_flight_requests.add(self)
        try:
            outcome = await self._wait_for_outcome(admission, upstream_request)
        finally:
            in_flight_requests.discard(self)
            self._forwarder.detach()
        if outcome in _ABANDONED:
            self._connection.abandon()
        self._connection = None
        return outcome

    async def _wait_for_outcome(
        self,
        admission: admission_control.Admission,
        upstream_request: upstream.UpstreamRequest,
    ) -> upstream.Outcome:
        if self._may_hedge(admission):
            goal_s = time.monotonic() + admission.route.goal_ms / _MS_IN_S
            until_s = min(goal_s, admission.timeout_at_s)
            outcome = await self._wait_until(upstream_request, until_s)
            if outcome is not None:
                return outcome
            if (
                time.monotonic() < admission.timeout_at_s
                and self._spend_retry()
            ):
                return upstream.Outcome.STALLED
        outcome = await self._wait_until(
            upstream_request, admission.timeout_at_s
        )
        return outcome or upstream.Outcome.TIMEOUT

    async def _wait_until(
        self, upstream_request: upstream.UpstreamRequest, until_s: float
    ) -> upstream.Outcome | None:
        try:
            async with asyncio.timeout(until_s - time.monotonic()):
                return await asyncio.shield(upstream_request.ended)
        except TimeoutError:
            return None

    def _spend_retry(self) -> bool:
        """Take the next retry from the budget, before this send is ended.

        Without a retry it is better to wait for a send than to end it.
        """
        admission = self._admission
        if admission is None:
            return False
        retry_budget = self._state.retry_budget(admission.service)
        self._is_retry_paid = retry_budget.try_spend(
            time.monotonic(), self._state.node_count
        )
        return self._is_retry_paid

    def head_stalled(self) -> None:
        """End the current upstream request if another attempt is allowed.

        The last attempt of the route is kept: a head that is only slow still
        completes it.
        """
        admission = self._admission
        if admission is None or self._upstream_request is None:
            return
        if self._upstream_request.ended.done():
            return
        if (
            self._sent_count < admission.route.max_attempts
            and self._spend_retry()
        ):
            self._upstream_request.finish(upstream.Outcome.STALLED)

    def _may_hedge(self, admission: admission_control.Admission) -> bool:
        route = admission.route
        return (
            route.kind is routes.RouteKind.IDEMPOTENT
            and self._sent_count < route.max_attempts
        )

    def _make_monitored_stream(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
    ) -> stall_detection.MonitoredStream | None:
        route = admission.route
        is_stream = route.kind is routes.RouteKind.STREAM
        if not (is_stream and admission.model and route.may_repeat):
            return None
        return stall_detection.MonitoredStream(
            head=target.endpoint_id,
            sent_s=time.monotonic(),
            prompt_read_s=admission.prompt_read_s,
            event_interval_s=admission.event_interval_s,
            other_prompts_s=self._state.prompt_read_times(
                admission.model
            ).other_prompts_s(),
        )

    def _finish_unless_retry(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
        outcome: upstream.Outcome,
    ) -> bool:
        """Respond unless another attempt follows; return whether finished."""
        if outcome is upstream.Outcome.CALLER_GONE:
            self._log_outcome(admission, target, 'caller left')
            return True
        if outcome is upstream.Outcome.COMPLETE:
            self._log_outcome(admission, target, responses.ANSWERED)
            assert self._upstream_request is not None
            self._state.poison.record_answer(self._fingerprint)
            responses.send_response(self._responder, self._upstream_request)
            return True
        if outcome is upstream.Outcome.TIMEOUT:
            self._may_have_run = True
            # A started stream ends without a status: only this line tells
            # which endpoint it waited for.
            self._log_outcome(admission, target, f'given up: {_TIMEOUT}')
            self._fail(_TIMEOUT)
            return True
        self._record_failure(outcome, target)
        if self._may_retry(admission, outcome):
            self._log_outcome(admission, target, f'sent again: {outcome.value}')
            return False
        self._log_outcome(admission, target, f'given up: {outcome.value}')
        self._fail(outcome.value)
        return True

    def _record_failure(
        self, outcome: upstream.Outcome, target: load_balancing.Target
    ) -> None:
        if outcome is upstream.Outcome.NOT_RUN:
            return
        self._may_have_run = True
        if outcome is upstream.Outcome.BROKEN:
            self._state.poison.record_disconnect(
                self._fingerprint, target.incarnation
            )
        if outcome is upstream.Outcome.FAILURE:
            self._failure_response = self._upstream_request
        elif outcome is upstream.Outcome.BROKEN and target.replica:
            # Answers also get lost in the network, sometimes many at once. If
            # each took its head out of use, no head would be left within a
            # second. A crashed head refuses the next connection and is taken
            # out of use then.
            self._state.targets.check_endpoint(
                target.endpoint_id, 'broken stream'
            )

    def _may_retry(
        self, admission: admission_control.Admission, outcome: upstream.Outcome
    ) -> bool:
        route = admission.route
        if outcome is not upstream.Outcome.NOT_RUN and not route.may_repeat:
            return False
        if self._connect_failures > MAX_CONNECT_FAILURES:
            return False
        if self._sent_count >= route.max_attempts:
            return False
        if time.monotonic() >= admission.timeout_at_s:
            return False
        if not self._sent_count:
            return True
        is_retry_paid = self._is_retry_paid or self._spend_retry()
        self._is_retry_paid = False
        return is_retry_paid

    def _fail(self, reason: str) -> None:
        if self._responder.is_started:
            self._responder.abort()
            return
        if self._failure_response is not None:
            responses.send_response(self._responder, self._failure_response)
            return
        refusal = refusals.for_failed_request(
            self._may_have_run,
            reason == _TIMEOUT,
            refusals.with_jitter_s(self._retry_after_s, self._state.rng),
        )
        responses.send_refusal(self._responder, self._caller, refusal)

    def _log_outcome(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
        outcome: str,
    ) -> None:
        responses.log_upstream_outcome(
            outcome,
            self._caller,
            admission,
            target,
            sends=self._sent_count,
            last_event=self._forwarder.last_event,
            reason=self._upstream_request.reason
            if self._upstream_request
            else '',
            times=self._times,
        )

    def _on_caller_gone(self) -> None:
        if self._upstream_request is not None:
            self._upstream_request.finish(upstream.Outcome.CALLER_GONE)


_ABANDONED = frozenset(
    (
        upstream.Outcome.CALLER_GONE,
        upstream.Outcome.STALLED,
        upstream.Outcome.TIMEOUT,
        upstream.Outcome.BROKEN,
    )
)
# After any other outcome the endpoint may have crashed.
_RELEASE_STATES = types.MappingProxyType(
    {
        upstream.Outcome.COMPLETE: reservations.ReleaseState.FREE,
        upstream.Outcome.FAILURE: reservations.ReleaseState.FREE,
        upstream.Outcome.CALLER_GONE: reservations.ReleaseState.FREE,
        upstream.Outcome.NOT_RUN: reservations.ReleaseState.REFUSED,
    }
)
