"""One caller's request, from its arrival to its last byte."""

import asyncio
import time

import attrs

from redwingvalve.http1 import client, messages, pool, server
from redwingvalve.ingress import (
    events,
    placing,
    refusals,
    routes,
    sends,
    silence,
    state as state_module,
)
from redwingvalve.observability import logs
from redwingvalve.platform import caller_requests, names

LOG = logs.make_logger('ingress')
_MS_IN_S = 1000.0
# Callers that state no deadline and routes without a timeout.
DEFAULT_TIMEOUT_MS = 30_000
MAX_URGENCY = 9
# A kept connection may be closed by its peer at any moment. A request that
# must not run twice can't be sent again then, so it goes on a connection that
# was in use just now, or on a new one.
FRESH_IDLE_S = 0.5
KEPT_IDLE_S = 4.0
# Sends beyond the attempts that a route allows, for refusals that say that
# nothing ran: one more look elsewhere.
MAX_CONNECT_FAILURES = 3


@attrs.frozen
class Admission:
    """What was decided about a request before any send."""

    route: routes.Route
    service: str
    model: str
    account: str | None
    urgency: int
    # Moments of this process's monotonic clock.
    timeout_at_s: float
    caller_until_s: float
    # Seconds to read the prompt, and between two events, at an endpoint.
    prompt_s: float
    pause_s: float


class RequestRun(state_module.OpenSend):
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
        self._began_s = time.monotonic()
        self._send: sends.Send | None = None
        self._connection: client.Connection | None = None
        self._pulse: silence.StreamPulse | None = None
        self._last_event = self._caller.last_event
        self._tried: set[str] = set()
        self._sent = 0
        self._may_have_run = False
        self._failure: sends.Send | None = None
        self._connect_failures = 0
        self._admission: Admission | None = None

    async def run(self) -> None:
        """Answer the request."""
        self._responder.on_gone = self._caller_left
        self._responder.on_drained = self._caller_reads_on
        admission = self._admit()
        if admission is None:
            return
        self._admission = admission
        self._state.prompts(admission.model).saw(admission.prompt_s)
        self._state.window(admission.service).count_request(self._began_s)
        while not self._responder.is_gone:
            target = await self._take_place(admission)
            if target is None:
                self._give_up(admission, 'no free place')
                return
            ending = await self._offer(admission, target)
            if self._is_settled(admission, target, ending):
                return

    def take(self, event: events.Event, send: sends.StreamSend) -> None:
        """Hand an event on unless the caller has it already."""
        pulse = self._pulse
        if pulse is not None:
            self._state.silence.noted(pulse, time.monotonic())
        number = event.number
        if number is not None:
            if self._last_event is not None and number <= self._last_event:
                return
            self._last_event = number
        if not self._responder.is_started:
            assert send.head is not None
            self._responder.start(
                send.head.status, messages.end_to_end(send.head.headers)
            )
        self._responder.write(event.raw)
        if self._responder.is_full:
            self._hold()

    def _admit(self) -> Admission | None:
        configuration = self._state.configuration
        if configuration is None:
            self._refuse(refusals.NO_CONFIGURATION)
            return None
        caller = self._caller
        route = configuration.find_route(caller.host, caller.path)
        if route is None:
            self._refuse(refusals.NO_ROUTE)
            return None
        account = configuration.accounts_by_key.get(caller.key)
        must_have_key = configuration.needs_keys and not route.anonymous
        if must_have_key and account is None:
            self._refuse(refusals.UNKNOWN_KEY)
            return None
        return self._make_admission(configuration, route, account)

    def _make_admission(
        self,
        configuration: routes.Configuration,
        route: routes.Route,
        account: routes.ClientAccount | None,
    ) -> Admission:
        service = routes.pick_service(route, self._state.chance)
        engine = configuration.engine_of(service)
        deadline_ms = self._caller.deadline_ms
        timeout_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
        if deadline_ms is not None:
            timeout_ms = min(timeout_ms, deadline_ms)
        caller_ms = timeout_ms if deadline_ms is None else deadline_ms
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return Admission(
            route=route,
            service=service,
            model=self._caller.model if engine else '',
            account=account.name if account else None,
            urgency=min(priority, MAX_URGENCY),
            timeout_at_s=self._began_s + timeout_ms / _MS_IN_S,
            caller_until_s=self._began_s + caller_ms / _MS_IN_S,
            prompt_s=_prompt_s(engine, self._caller),
            pause_s=_pause_s(engine, self._caller.model),
        )

    async def _take_place(self, admission: Admission) -> placing.Target | None:
        state = self._state
        room = state.room(admission.service, admission.model)
        left_s = admission.timeout_at_s - time.monotonic()
        wait_s = max(0, min(left_s, refusals.wait_s(admission.route)))

        def select() -> placing.Target | None:  # noqa: WPS430
            found = placing.choose(
                state.targets.of(admission.service, admission.model),
                state.loads,
                state.chance,
                self._tried,
            )
            if found is not None:
                # Counted at once, so that no other request takes the place.
                state.loads.begin(found.endpoint_id)
            return found

        return await room.take(admission.urgency, select, wait_s)

    async def _offer(
        self, admission: Admission, target: placing.Target
    ) -> sends.Ending:
        self._tried.add(target.endpoint_id)
        try:
            return await self._send_to(admission, target)
        finally:
            self._state.loads.end(target.endpoint_id)
            self._state.room(admission.service, admission.model).poke()

    async def _send_to(
        self, admission: Admission, target: placing.Target
    ) -> sends.Ending:
        connections = self._state.connections
        max_idle_s = KEPT_IDLE_S if admission.route.may_repeat else FRESH_IDLE_S
        try:
            connection = await connections.take(target.address, max_idle_s)
        except pool.ConnectError as error:
            self._connect_failures += 1
            self._state.targets.suspect(target.endpoint_id, str(error))
            return sends.Ending.NOT_RUN
        if self._responder.is_gone:
            connections.keep(target.address, connection)
            return sends.Ending.GONE
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

    def _make_send(self, admission: Admission) -> sends.Send:
        attempt_id = self._caller.attempt_id
        if admission.route.kind is routes.RouteKind.STREAM:
            return sends.StreamSend(attempt_id, self)
        return sends.Send(attempt_id)

    def _render(self, admission: Admission, target: placing.Target) -> bytes:
        left_s = admission.caller_until_s - time.monotonic()
        sending = caller_requests.Sending(
            endpoint_id=target.endpoint_id,
            deadline_ms=max(1, int(left_s * _MS_IN_S)),
            client_account=admission.account,
            urgency=admission.urgency,
            last_event=self._last_event,
        )
        return caller_requests.render_request(
            self._request, self._caller, sending
        )

    async def _watch(
        self,
        admission: Admission,
        target: placing.Target,
        send: sends.Send,
    ) -> sends.Ending:
        self._begin_pulse(admission, target)
        open_sends = self._state.open_sends.setdefault(
            target.endpoint_id, set()
        )
        open_sends.add(self)
        until_s = admission.timeout_at_s
        if self._may_hedge(admission):
            goal_s = admission.route.goal_ms / _MS_IN_S
            until_s = min(until_s, time.monotonic() + goal_s)
        try:
            async with asyncio.timeout(until_s - time.monotonic()):
                ending = await asyncio.shield(send.ended)
        except TimeoutError:
            ending = self._timed_out(admission)
        finally:
            open_sends.discard(self)
            self._end_pulse()
        if ending in _CUT_SHORT:
            self._connection.abandon()
        self._connection = None
        return ending

    def head_is_silent(self) -> None:
        """End the send that is under way if it may go on elsewhere.

        The last send that the route allows stays: a head that is only slow
        still finishes it.
        """
        admission = self._admission
        if admission is None or self._send is None:
            return
        if self._sent < admission.route.max_attempts:
            self._send.end(sends.Ending.SILENT)

    def _timed_out(self, admission: Admission) -> sends.Ending:
        if time.monotonic() < admission.timeout_at_s - 0.001:
            return sends.Ending.SILENT
        return sends.Ending.TIMEOUT

    def _may_hedge(self, admission: Admission) -> bool:
        route = admission.route
        return (
            route.kind is routes.RouteKind.IDEMPOTENT
            and self._sent < route.max_attempts
        )

    def _begin_pulse(
        self, admission: Admission, target: placing.Target
    ) -> None:
        if admission.route.kind is not routes.RouteKind.STREAM:
            return
        if not admission.model or not admission.route.may_repeat:
            return
        self._pulse = silence.StreamPulse(
            head=target.endpoint_id,
            sent_s=time.monotonic(),
            prompt_s=admission.prompt_s,
            pause_s=admission.pause_s,
            others_s=self._state.prompts(admission.model).others_s(),
        )
        self._state.silence.begin(self._pulse)

    def _end_pulse(self) -> None:
        if self._pulse is not None:
            self._state.silence.end(self._pulse)
            self._pulse = None

    def _is_settled(
        self,
        admission: Admission,
        target: placing.Target,
        ending: sends.Ending,
    ) -> bool:
        """Answer if nothing more can be done; return whether it was."""
        if ending is sends.Ending.GONE:
            self._log(admission, target, 'caller left')
            return True
        if ending is sends.Ending.WHOLE:
            self._log(admission, target, 'answered')
            self._answer_whole()
            return True
        if ending is sends.Ending.TIMEOUT:
            self._may_have_run = True
            self._give_up(admission, 'timeout')
            return True
        self._note_failure(ending, target)
        if self._may_try_again(admission, ending):
            self._log(admission, target, f'sent again: {ending.value}')
            return False
        self._log(admission, target, f'given up: {ending.value}')
        self._give_up(admission, ending.value)
        return True

    def _note_failure(
        self, ending: sends.Ending, target: placing.Target
    ) -> None:
        if ending is sends.Ending.NOT_RUN:
            return
        self._may_have_run = True
        if ending is sends.Ending.FAILURE:
            self._failure = self._send
        elif ending is sends.Ending.BROKEN and target.replica:
            self._state.targets.suspect(target.endpoint_id, 'broken stream')

    def _may_try_again(
        self, admission: Admission, ending: sends.Ending
    ) -> bool:
        route = admission.route
        if ending is not sends.Ending.NOT_RUN and not route.may_repeat:
            return False
        if self._connect_failures > MAX_CONNECT_FAILURES:
            return False
        if self._sent >= route.max_attempts:
            return False
        if time.monotonic() >= admission.timeout_at_s:
            return False
        if not self._sent:
            return True
        window = self._state.window(admission.service)
        return window.try_spend(time.monotonic(), self._state.node_count)

    def _answer_whole(self) -> None:
        send = self._send
        assert send is not None and send.head is not None
        if self._responder.is_started:
            self._responder.finish()
            return
        headers = messages.end_to_end(send.head.headers)
        if isinstance(send, sends.StreamSend):
            self._responder.start(send.head.status, headers)
            self._responder.finish()
            return
        self._responder.answer(send.head.status, headers, send.body)

    def _give_up(self, admission: Admission, reason: str) -> None:
        if self._responder.is_started:
            self._responder.abort()
            return
        failure = self._failure
        if failure is not None and failure.head is not None:
            headers = messages.end_to_end(failure.head.headers)
            self._responder.answer(failure.head.status, headers, failure.body)
            return
        refusal = refusals.of(self._may_have_run, reason == 'timeout')
        self._refuse(refusal)

    def _refuse(self, refusal: refusals.Refusal) -> None:
        LOG.info(
            'refused',
            extra={
                'request': self._caller.attempt_id.decode('latin-1'),
                'status': refusal.status,
                'reason': refusal.reason,
            },
        )
        attempt = (names.ATTEMPT_ID, self._caller.attempt_id)
        self._responder.answer(
            refusal.status, [attempt, *refusal.headers()], refusal.body()
        )

    def _log(
        self, admission: Admission, target: placing.Target, outcome: str
    ) -> None:
        took_ms = (time.monotonic() - self._began_s) * _MS_IN_S
        LOG.info(
            outcome,
            extra={
                'request': self._caller.attempt_id.decode('latin-1'),
                'route': admission.route.name,
                'endpoint': target.endpoint_id,
                'replica': target.replica,
                'sends': self._sent,
                'last_event': self._last_event,
                'took_ms': int(took_ms),
                'reason': self._send.reason if self._send else '',
            },
        )

    def _caller_left(self) -> None:
        if self._send is not None:
            self._send.end(sends.Ending.GONE)

    def _hold(self) -> None:
        if self._connection is not None:
            self._connection.pause()
        if self._pulse is not None:
            self._pulse.is_held = True

    def _caller_reads_on(self) -> None:
        if self._connection is not None:
            self._connection.resume()
        if self._pulse is not None:
            self._pulse.is_held = False
            self._state.silence.noted(self._pulse, time.monotonic())


_CUT_SHORT = frozenset(
    (
        sends.Ending.GONE,
        sends.Ending.SILENT,
        sends.Ending.TIMEOUT,
        sends.Ending.BROKEN,
    )
)


def _prompt_s(
    engine: routes.Engine | None, caller: caller_requests.CallerRequest
) -> float:
    model = engine.find_model(caller.model) if engine else None
    if engine is None or model is None:
        return 0
    return caller.prompt_tokens / engine.read_per_s * model.pace


def _pause_s(engine: routes.Engine | None, name: str) -> float:
    model = engine.find_model(name) if engine else None
    if engine is None or model is None:
        return 0
    step_ms = engine.step_ms + engine.slots * engine.request_step_ms
    return step_ms * engine.stride * model.pace / _MS_IN_S
