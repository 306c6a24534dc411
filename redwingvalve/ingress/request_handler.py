"""One caller's request, from its arrival to its last byte."""

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
# A kept connection may be closed by its peer at any moment. A request that
# must not run twice can't be sent again then, so it goes on a connection that
# was in use just now, or on a new one.
FRESH_IDLE_S = 0.5
KEPT_IDLE_S = 4.0
# Sends beyond the attempts that a route allows, for refusals that say that
# nothing ran: one more look elsewhere.
MAX_CONNECT_FAILURES = 3


class RequestHandler(state_module.InFlightRequest):
    """Sends one request until it has its answer."""

    def __init__(
        self,
        state: state_module.IngressState,
        request: messages.Request,
        responder: server.Responder,
    ) -> None:
        """Prepare; run starts."""
        self._state = state
        self._request = request
        self._responder = responder
        self._caller = caller_requests.read_request(request)
        self._times = timing.RequestTiming()
        self._send: upstream.Send | None = None
        self._connection: client.Connection | None = None
        self._passing = stream_forwarding.EventPassing(
            state.stall_detector,
            responder,
            self._caller.last_event,
            self._times,
        )
        self._tried: set[str] = set()
        self._sent = 0
        self._may_have_run = False
        self._failure: upstream.Send | None = None
        self._connect_failures = 0
        self._admission: admission_control.Admission | None = None
        self._fingerprint = 0
        # A repeated send was taken from the budget already.
        self._is_paid = False
        self._retry_after_s = refusals.RETRY_AFTER_S

    async def run(self) -> None:
        """Answer the request."""
        self._responder.on_gone = self._caller_left
        admission = self._admit()
        if admission is None:
            return
        self._admission = admission
        self._fingerprint = poison.fingerprint(
            self._request.target, admission.account, self._request.body
        )
        if self._state.poison.is_poison(self._fingerprint):
            responses.refuse(self._responder, self._caller, refusals.POISON)
            return
        self._state.prompts(admission.model).observe(admission.prompt_s)
        self._state.retry_budget(admission.service).count_request(
            self._times.began_s
        )
        while not self._responder.is_gone:
            asked_s = time.monotonic()
            place = await slot_requests.reserve_slot(
                self._state, self._caller, admission, self._tried
            )
            self._times.waited_since(asked_s)
            if isinstance(place, reservations.NoSlot):
                self._retry_after_s = place.retry_after_s
                self._give_up('no free place')
                return
            ending = await self._offer(admission, place)
            if self._is_settled(admission, place.target, ending):
                return

    def _admit(self) -> admission_control.Admission | None:
        decided = admission_control.admit(
            self._state.configuration,
            self._caller,
            self._state.chance,
            self._times.began_s,
        )
        if isinstance(decided, refusals.Refusal):
            responses.refuse(self._responder, self._caller, decided)
            return None
        return admission_control.with_return(
            decided,
            self._caller,
            self._state.first_deadlines,
            self._times.began_s,
        )

    async def _offer(
        self,
        admission: admission_control.Admission,
        place: reservations.Reservation,
    ) -> upstream.Ending:
        target = place.target
        self._tried.add(target.endpoint_id)
        began_s = time.monotonic()
        ending = upstream.Ending.BROKEN
        try:
            ending = await self._send_to(admission, target)
        finally:
            place.release(
                _LEAVING.get(ending, reservations.ReleaseState.UNCERTAIN)
            )
        if ending is upstream.Ending.WHOLE and self._sent == 1:
            self._times.teach(
                self._state.begin(admission.service, admission.model),
                began_s,
                admission.prompt_s,
            )
        return ending

    async def _send_to(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
    ) -> upstream.Ending:
        connections = self._state.connections
        max_idle_s = KEPT_IDLE_S if admission.route.may_repeat else FRESH_IDLE_S
        try:
            connection = await connections.take(target.address, max_idle_s)
        except pool.ConnectError as error:
            self._connect_failures += 1
            self._state.targets.suspect(target.endpoint_id, str(error))
            return upstream.Ending.NOT_RUN
        if self._responder.is_gone:
            connections.keep(target.address, connection)
            return upstream.Ending.GONE
        self._sent += 1
        send = self._make_send(admission)
        self._send = send
        self._connection = connection
        connection.send(
            self._render(admission, target),
            send,
            connections.keeper(target.address),
        )
        return await self._watch(admission, target, send)

    def _make_send(
        self, admission: admission_control.Admission
    ) -> upstream.Send:
        attempt_id = self._caller.attempt_id
        if admission.route.kind is routes.RouteKind.STREAM:
            return upstream.StreamSend(attempt_id, self._passing)
        return upstream.Send(attempt_id)

    def _render(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
    ) -> bytes:
        left_s = admission.caller_until_s - time.monotonic()
        sending = caller_requests.ForwardingHeaders(
            endpoint_id=target.endpoint_id,
            deadline_ms=max(1, int(left_s * _MS_IN_S)),
            client_account=admission.account,
            urgency=admission.urgency,
            last_event=self._passing.last_event,
        )
        return caller_requests.render_request(
            self._request, self._caller, sending
        )

    async def _watch(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
        send: upstream.Send,
    ) -> upstream.Ending:
        self._passing.begin(
            self._connection, self._make_pulse(admission, target)
        )
        in_flight_requests = self._state.in_flight_requests.setdefault(
            target.endpoint_id, set()
        )
        in_flight_requests.add(self)
        try:
            ending = await self._wait_for(admission, send)
        finally:
            in_flight_requests.discard(self)
            self._passing.end()
        if ending in _CUT_SHORT:
            self._connection.abandon()
        self._connection = None
        return ending

    async def _wait_for(
        self, admission: admission_control.Admission, send: upstream.Send
    ) -> upstream.Ending:
        if self._may_hedge(admission):
            goal_s = time.monotonic() + admission.route.goal_ms / _MS_IN_S
            until_s = min(goal_s, admission.timeout_at_s)
            ending = await self._wait_until(send, until_s)
            if ending is not None:
                return ending
            if time.monotonic() < admission.timeout_at_s and self._pay():
                return upstream.Ending.SILENT
        ending = await self._wait_until(send, admission.timeout_at_s)
        return ending or upstream.Ending.TIMEOUT

    async def _wait_until(
        self, send: upstream.Send, until_s: float
    ) -> upstream.Ending | None:
        try:
            async with asyncio.timeout(until_s - time.monotonic()):
                return await asyncio.shield(send.ended)
        except TimeoutError:
            return None

    def _pay(self) -> bool:
        """Take one repeated send from the budget, for later.

        A send that can't be repeated is better waited for than given up.
        """
        admission = self._admission
        if admission is None:
            return False
        window = self._state.retry_budget(admission.service)
        self._is_paid = window.try_spend(
            time.monotonic(), self._state.node_count
        )
        return self._is_paid

    def head_stalled(self) -> None:
        """End the send that is under way if it may go on elsewhere.

        The last send that the route allows stays: a head that is only slow
        still finishes it.
        """
        admission = self._admission
        if admission is None or self._send is None:
            return
        if self._send.ended.done():
            return
        if self._sent < admission.route.max_attempts and self._pay():
            self._send.end(upstream.Ending.SILENT)

    def _may_hedge(self, admission: admission_control.Admission) -> bool:
        route = admission.route
        return (
            route.kind is routes.RouteKind.IDEMPOTENT
            and self._sent < route.max_attempts
        )

    def _make_pulse(
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
            prompt_s=admission.prompt_s,
            pause_s=admission.pause_s,
            others_s=self._state.prompts(admission.model).others_s(),
        )

    def _is_settled(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
        ending: upstream.Ending,
    ) -> bool:
        """Answer if nothing more can be done; return whether it was."""
        if ending is upstream.Ending.GONE:
            self._log(admission, target, 'caller left')
            return True
        if ending is upstream.Ending.WHOLE:
            self._log(admission, target, responses.ANSWERED)
            assert self._send is not None
            self._state.poison.answered(self._fingerprint)
            responses.answer(self._responder, self._send)
            return True
        if ending is upstream.Ending.TIMEOUT:
            self._may_have_run = True
            # A stream that has begun ends without a status: nothing else
            # tells which endpoint it waited for.
            self._log(admission, target, f'given up: {_TIMEOUT}')
            self._give_up(_TIMEOUT)
            return True
        self._note_failure(ending, target)
        if self._may_try_again(admission, ending):
            self._log(admission, target, f'sent again: {ending.value}')
            return False
        self._log(admission, target, f'given up: {ending.value}')
        self._give_up(ending.value)
        return True

    def _note_failure(
        self, ending: upstream.Ending, target: load_balancing.Target
    ) -> None:
        if ending is upstream.Ending.NOT_RUN:
            return
        self._may_have_run = True
        if ending is upstream.Ending.BROKEN:
            self._state.poison.broke(self._fingerprint, target.incarnation)
        if ending is upstream.Ending.FAILURE:
            self._failure = self._send
        elif ending is upstream.Ending.BROKEN and target.replica:
            # Answers are also lost on the way, at times many at once: taken out
            # of use for each, all heads would be gone in a second. One that
            # crashed refuses the next connection and goes out of use by that.
            self._state.targets.check_endpoint(
                target.endpoint_id, 'broken stream'
            )

    def _may_try_again(
        self, admission: admission_control.Admission, ending: upstream.Ending
    ) -> bool:
        route = admission.route
        if ending is not upstream.Ending.NOT_RUN and not route.may_repeat:
            return False
        if self._connect_failures > MAX_CONNECT_FAILURES:
            return False
        if self._sent >= route.max_attempts:
            return False
        if time.monotonic() >= admission.timeout_at_s:
            return False
        if not self._sent:
            return True
        is_paid = self._is_paid or self._pay()
        self._is_paid = False
        return is_paid

    def _give_up(self, reason: str) -> None:
        if self._responder.is_started:
            self._responder.abort()
            return
        if self._failure is not None:
            responses.answer(self._responder, self._failure)
            return
        refusal = refusals.of(
            self._may_have_run,
            reason == _TIMEOUT,
            refusals.spread_s(self._retry_after_s, self._state.chance),
        )
        responses.refuse(self._responder, self._caller, refusal)

    def _log(
        self,
        admission: admission_control.Admission,
        target: load_balancing.Target,
        outcome: str,
    ) -> None:
        responses.log_decision(
            outcome,
            self._caller,
            admission,
            target,
            sends=self._sent,
            last_event=self._passing.last_event,
            reason=self._send.reason if self._send else '',
            times=self._times,
        )

    def _caller_left(self) -> None:
        if self._send is not None:
            self._send.end(upstream.Ending.GONE)


_CUT_SHORT = frozenset(
    (
        upstream.Ending.GONE,
        upstream.Ending.SILENT,
        upstream.Ending.TIMEOUT,
        upstream.Ending.BROKEN,
    )
)
# After any other ending the endpoint may be dead.
_LEAVING = types.MappingProxyType(
    {
        upstream.Ending.WHOLE: reservations.ReleaseState.FREE,
        upstream.Ending.FAILURE: reservations.ReleaseState.FREE,
        upstream.Ending.GONE: reservations.ReleaseState.FREE,
        upstream.Ending.NOT_RUN: reservations.ReleaseState.REFUSED,
    }
)
