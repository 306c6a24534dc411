"""Sends one request to endpoints and awaits the outcome of each attempt."""

import functools
import time
import typing
from collections import abc as collections_abc

import anyio

from redwingvalve.http1 import client, messages, pool
from redwingvalve.ingress import (
    admission_control,
    answer_ends,
    caller_wait,
    crash_keys,
    load_balancing,
    parked_sends,
    request_sends,
    responses,
    routes,
    stall_detection,
    stream_forwarding,
    upstream,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.platform import caller_requests

_MS_IN_S = 1000.0
_OTHER_ENDPOINT = 421
# The peer may close an idle connection at any moment. A request that must not
# run twice can't be retried then, so it uses a connection that was in use
# moments ago, or a new one.
NON_REPEATABLE_MAX_IDLE_S = 0.5
REPEATABLE_MAX_IDLE_S = 4.0
# Reasons for a retry while the previous send still runs.
_STALLED_HEAD = 'head stalled'
_HEDGE = 'answer overdue'


# Waits while another send of the request runs; returns whether none does.
WaitUntilAlone: typing.TypeAlias = collections_abc.Callable[
    [upstream.UpstreamRequest], collections_abc.Awaitable[bool]
]


async def _is_alone(request: upstream.UpstreamRequest) -> bool:
    """Return True, as there is no other send."""
    return True


class UpstreamSender(state_module.InFlightRequest):
    """Sends one admitted request, to one endpoint at a time."""

    def __init__(
        self,
        state: state_module.IngressState,
        request: messages.Request,
        caller: caller_requests.CallerRequest,
        admission: admission_control.Admission,
        wait: caller_wait.CallerWait,
        forwarder: stream_forwarding.StreamForwarder,
        keys: crash_keys.RequestKeys,
        sends: request_sends.RequestSends,
    ) -> None:
        """Send the request while wait lasts; events go to forwarder."""
        # The latest attempt, None until it is sent.
        self.upstream_request: upstream.UpstreamRequest | None = None
        self.sends = sends
        self.wait_until_alone: WaitUntilAlone = _is_alone
        self._state = state
        self._request = request
        self._caller = caller
        self._admission = admission
        self._wait = wait
        self._forwarder = forwarder
        self._keys = keys

    async def send(
        self, target: load_balancing.Target, on_statement: upstream.OnStatement
    ) -> upstream.Outcome:
        """Send the request to an endpoint and return the outcome."""
        self.upstream_request = None
        connection = await self._connect(target)
        if isinstance(connection, upstream.Outcome):
            return connection
        # Nothing is awaited between this check and the write.
        if self._state.targets.is_evacuated(target):
            self._state.connections.release(target.address, connection)
            return upstream.Outcome.EVACUATED
        self.sends.tried_endpoints.add(target.endpoint_id)
        self.sends.sent_count += 1
        self.sends.is_retry_paid = False
        upstream_request = self._make_upstream_request(on_statement)
        self.sends.hold_answer(upstream_request, self._state.account)
        self.upstream_request = upstream_request
        self.target = target
        self.connection = connection
        upstream_request.exchange = connection.send(
            self._render_request(target),
            upstream_request,
            self._state.connections.release_callback(target.address),
            self._request.body,
        )
        return await self._await_outcome(target, upstream_request)

    async def send_parked(
        self, parked: parked_sends.ParkedSend
    ) -> upstream.Outcome:
        """Await the outcome of a send that was parked."""
        self.upstream_request = parked.request
        self.target = parked.target
        if parked.request.exchange is not None:
            self.connection = parked.request.exchange.connection
        if isinstance(parked.request, upstream.UpstreamStream):
            # It may have been sent by a hedge.
            parked.request.sink = parked_sends.TakeoverSink(
                self._forwarder, self.sends.parked
            )
        parked.resume()
        return await self._await_outcome(parked.target, parked.request)

    @property
    def was_answered_by_target(self) -> bool:
        """Return whether the target of the latest attempt has answered it.

        421 may come from another endpoint that now has its address.
        """
        latest = self.upstream_request
        if latest is None or latest.head is None:
            return False
        return latest.head.status != _OTHER_ENDPOINT

    def cancel(self) -> None:
        """End the current attempt, as the caller has left."""
        if self.upstream_request is not None:
            self.upstream_request.stop(upstream.Outcome.CALLER_GONE)

    def supersede(self) -> None:
        """End the current attempt, as another send was answered."""
        if self.upstream_request is not None:
            self.upstream_request.stop(upstream.Outcome.SUPERSEDED)

    def head_stalled(self) -> None:
        """Move the request if another attempt is allowed.

        The last attempt of the route is kept: a head that is only slow still
        completes it.
        """
        if self.upstream_request is not None:
            self.upstream_request.mark_stalled()

    def abandon(self) -> None:
        """Close the connection of an attempt that is cancelled."""
        latest = self.upstream_request
        if latest is not None and not latest.is_parked:
            _abandon(latest)

    async def check_links(self) -> None:
        """Find out whether the endpoint has failed or this node is cut off.

        All streams of a node that is cut off break at once: taken for crashes,
        they would put their requests and the parts that they share in doubt.
        """
        with self._wait.open_scope():
            await self._state.reach.confirm()

    def spend_retry(self, reason: str) -> bool:
        """Take a retry from the budget, unless the next one is already paid."""
        return self.sends.is_retry_paid or self._reserve_retry(reason)

    def _reserve_retry(self, reason: str) -> bool:
        """Take the next retry from the budget, before this send is ended.

        Without a retry it is better to wait for a send than to end it.
        """
        service = self._admission.service
        budget = self._state.retry_budget(service)
        now_s = time.monotonic()
        self.sends.is_retry_paid = budget.try_spend(now_s)
        responses.log_retry(
            self._caller,
            service,
            reason,
            budget.use(now_s),
            is_allowed=self.sends.is_retry_paid,
        )
        return self.sends.is_retry_paid

    @property
    def _may_move(self) -> bool:
        route = self._admission.route
        if time.monotonic() >= self._admission.timeout_at_s:
            return False
        if not self._admission.is_stream and (
            route.kind is not routes.RouteKind.IDEMPOTENT
        ):
            return False
        return route.may_repeat and self.sends.sent_count < route.max_attempts

    async def _connect(
        self, target: load_balancing.Target
    ) -> client.Connection | upstream.Outcome:
        """Return a connection, or the outcome of an attempt without one."""
        connections = self._state.connections
        idle_s = max_idle_s(self._admission.route)
        connection = None
        try:
            with self._wait.open_scope():
                connection = await connections.take(target.address, idle_s)
        except pool.ConnectError as error:
            self.sends.connect_failures += 1
            self.sends.tried_endpoints.add(target.endpoint_id)
            self._state.targets.connect_failed(
                target.endpoint_id, str(error), target.born_ms
            )
            await self._check_links()
            return upstream.Outcome.NOT_RUN
        if connection is not None and not self._wait.has_ended:
            return connection
        if connection is not None:
            connections.release(target.address, connection)
        return (
            upstream.Outcome.CALLER_GONE
            if self._wait.is_caller_gone
            else upstream.Outcome.EXPIRED
        )

    async def _check_links(self) -> None:
        """Find out whether the endpoint has failed or this node is cut off."""
        if self._state.reach.is_cut_off:
            return
        with self._wait.open_scope():
            await self._state.reach.confirm()

    def _make_upstream_request(
        self, on_statement: upstream.OnStatement
    ) -> upstream.UpstreamRequest:
        attempt_id = self._caller.attempt_id
        if self._admission.is_stream:
            return upstream.UpstreamStream(
                attempt_id,
                on_statement,
                parked_sends.TakeoverSink(self._forwarder, self.sends.parked),
                self._forwarder.last_event,
                may_be_empty=self._forwarder.may_have_ended,
            )
        return upstream.UpstreamRequest(attempt_id, on_statement)

    def _render_request(self, target: load_balancing.Target) -> bytes:
        admission = self._admission
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
        target: load_balancing.Target,
        upstream_request: upstream.UpstreamRequest,
    ) -> upstream.Outcome:
        self._forwarder.attach(
            upstream_request.exchange, self._make_monitored_stream(target)
        )
        in_flight_requests = self._state.in_flight_requests.setdefault(
            target.endpoint_id, set()
        )
        in_flight_requests.add(self)
        try:
            outcome = await self._wait_for_outcome(target, upstream_request)
        finally:
            in_flight_requests.discard(self)
            self._forwarder.detach()
        if outcome in _ENDED and upstream_request.ends_with_connection:
            outcome = await self._check_end(target, upstream_request, outcome)
        if outcome in ABANDONED:
            _abandon(upstream_request)
        self.connection = None
        return outcome

    async def _check_end(
        self,
        target: load_balancing.Target,
        upstream_request: upstream.UpstreamRequest,
        outcome: upstream.Outcome,
    ) -> upstream.Outcome:
        """Return BROKEN if an answer may have ended early."""
        answer = answer_ends.EndedAnswer(
            target,
            is_stream=self._admission.is_stream,
            head_s=upstream_request.head_s,
            was_held=upstream_request.was_held,
            ended_s=time.monotonic(),
            is_in_doubt=self._state.poison.blame.is_in_doubt(self._keys),
            may_repeat=self._admission.route.may_repeat,
        )
        end = answer_ends.AnswerEnd.UNKNOWN
        with anyio.CancelScope(deadline=self._admission.timeout_at_s):
            end = await self._state.end_checker.check(answer)
        upstream_request.end = end
        if end.is_whole:
            return outcome
        if outcome is upstream.Outcome.COMPLETE:
            self._forwarder.record_possible_end(upstream_request.last_event)
        upstream_request.reason = f'ended with its connection: {end.value}'
        return upstream.Outcome.BROKEN

    async def _wait_for_outcome(
        self,
        target: load_balancing.Target,
        upstream_request: upstream.UpstreamRequest,
    ) -> upstream.Outcome:
        until_s = self._admission.timeout_at_s
        sent_s = time.monotonic()
        if not self._admission.is_stream:
            goal_s = self._admission.route.goal_ms / _MS_IN_S
            until_s = min(until_s, sent_s + goal_s)
        outcome = await upstream.wait_until_stalled(upstream_request, until_s)
        if outcome is not None:
            return outcome
        if not self._admission.is_stream:
            self._state.reach.answer_overdue(sent_s)
        while not await self.wait_until_alone(upstream_request):
            upstream_request.clear_stall()
            outcome = await upstream.wait_until_stalled(
                upstream_request, until_s
            )
            if outcome is not None:
                return outcome
        if not self._may_move:
            return await upstream.wait_until(
                upstream_request, self._admission.timeout_at_s
            )
        reason = _STALLED_HEAD if self._admission.is_stream else _HEDGE
        return await self.sends.relocation.wait_or_move(
            upstream_request,
            self.sends.tried_endpoints,
            functools.partial(self._reserve_retry, reason),
            functools.partial(
                self.sends.parked.park,
                parked_sends.ParkedSend(upstream_request, target),
            ),
        )

    def _make_monitored_stream(
        self, target: load_balancing.Target
    ) -> stall_detection.MonitoredStream | None:
        admission = self._admission
        route = admission.route
        if not (admission.is_stream and admission.model and route.may_repeat):
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


def max_idle_s(route: routes.Route) -> float:
    """Return how long a connection may have been idle before a request."""
    if route.may_repeat:
        return REPEATABLE_MAX_IDLE_S
    return NON_REPEATABLE_MAX_IDLE_S


def _abandon(upstream_request: upstream.UpstreamRequest) -> None:
    if upstream_request.exchange is not None:
        upstream_request.exchange.abandon()


_ENDED = frozenset((upstream.Outcome.COMPLETE, upstream.Outcome.FAILURE))
ABANDONED = frozenset(
    (
        upstream.Outcome.CALLER_GONE,
        upstream.Outcome.SUPERSEDED,
        upstream.Outcome.GAP,
        upstream.Outcome.TIMEOUT,
        upstream.Outcome.BROKEN,
    )
)
