"""Carries a model request to a replica and its answer back."""

import contextlib
from collections import abc as collections_abc

import anyio
import attrs
from opentelemetry import trace

from redwingvalve.admission import capacity
from redwingvalve.configuration import snapshot
from redwingvalve.core import outcomes
from redwingvalve.entry import (
    account_gate,
    delivered,
    dependencies,
    model_request,
    relay_refusals,
    relay_retries,
    replica_choice,
    request_metrics,
    responder,
    sends,
    stall_watch,
    suspects,
    waiting_room,
)
from redwingvalve.observability import logs
from redwingvalve.retries import decisions, stalls
from redwingvalve.routing import messages as routing_messages

LOGGER = logs.make_logger('relay')
NextStep = decisions.NextStep


@attrs.define
class _Attempt:
    """One send under way."""

    replica: snapshot.Replica
    route: routing_messages.RouteRequest
    whole: bool = False


class ModelRelay:
    """Chooses, sends, tries again where that is safe, and answers."""

    def __init__(
        self,
        entry_dependencies: dependencies.EntryDependencies,
        gate: account_gate.AccountGate,
    ) -> None:
        """Carry requests with entry_dependencies, within the limits of gate."""
        self._dependencies = entry_dependencies
        self._gate = gate
        self._sender = sends.Sender(entry_dependencies)
        self.choice = replica_choice.ReplicaChoice(
            entry_dependencies.source,
            entry_dependencies.permits,
            entry_dependencies.members.local_member(),
            entry_dependencies.clock,
            entry_dependencies.switches,
        )
        self._suspects = suspects.SuspectGate(
            entry_dependencies.members,
            entry_dependencies.news,
            entry_dependencies.clock,
            entry_dependencies.switches,
        )
        self._room = waiting_room.WaitingRoom(
            entry_dependencies.members, entry_dependencies.clock
        )
        self._retries = relay_retries.RelayRetries(entry_dependencies.clock)
        self.stalls = stall_watch.make_stall_watch(entry_dependencies.clock)

    async def run(
        self,
        request: model_request.ModelRequest,
        responds: responder.Responder,
        span: trace.Span,
        may_send: dependencies.MaySend | None,
    ) -> None:
        """Answer the request by its deadline."""
        remaining_s = request.head.remaining_s(
            self._dependencies.clock.monotonic_s()
        )
        journey = sends.Journey(
            request,
            responds,
            span,
            delivered.Delivered(
                kept=request.idempotent
                and request.stream
                and delivered.is_resumable(request.fields)
            ),
        )
        refusal: outcomes.ErrorResponse | None = None
        scope = anyio.move_on_after(max(remaining_s, 0))
        with scope:
            refusal = await self._carry(journey, may_send)
        if responds.finished:
            return
        if scope.cancelled_caught:
            refusal = relay_refusals.deadline_passed(responds.outcome)
        if refusal is not None:
            span.set_attribute('redwingvalve.refused', refusal.code)
            await responds.send_error(refusal)

    async def _carry(
        self, journey: sends.Journey, may_send: dependencies.MaySend | None
    ) -> outcomes.ErrorResponse | None:
        """Send until the caller has its answer; return a refusal otherwise."""
        digest = self._suspects.digest(journey.request)
        refusal = self._suspects.refusal(digest)
        serving = self.choice.serving(journey.request.deployment.name)
        if refusal is not None:
            return refusal
        if not serving:
            return relay_refusals.no_replica(journey, None)
        account = journey.request.account
        estimated = waiting_room.estimated_tokens(journey.request)
        refusal = self._gate.refuse_tokens(account, estimated)
        if refusal is not None:
            return refusal
        try:
            return await self._carry_admitted(journey, digest, may_send)
        finally:
            # Only streams are counted token by token; an answer in one piece
            # is charged as estimated.
            if journey.request.stream:
                used = journey.delivered.count
                self._dependencies.metrics.count(request_metrics.TOKENS, used)
                self._gate.correct_tokens(account, used - estimated)

    async def _carry_admitted(
        self,
        journey: sends.Journey,
        digest: bytes,
        may_send: dependencies.MaySend | None,
    ) -> outcomes.ErrorResponse | None:
        serving = self.choice.serving(journey.request.deployment.name)
        job_id = self._sender.next_identity(journey.request).endpoint_id
        deployment = journey.request.deployment
        async with self._room.admitted(
            deployment.name,
            capacity.make_model_capacity(
                deployment, len(serving), self._room.part()
            ),
            waiting_room.admission_request(journey.request, job_id),
        ) as turn:
            if turn.is_error():
                return turn.error
            journey.turn = turn.ok
            refusal = await self._send_until_whole(journey, digest, may_send)
            self._suspects.gave_up(digest)
            turn.ok.used_tokens = float(journey.delivered.count)
        return refusal

    async def _send_until_whole(
        self,
        journey: sends.Journey,
        digest: bytes,
        may_send: dependencies.MaySend | None,
    ) -> outcomes.ErrorResponse | None:
        refusal: outcomes.ErrorResponse | None = None
        tried: set[str] = set()
        failure: sends.SendFailure | None = None
        while refusal is None:
            attempt = self._choose(journey, digest, frozenset(tried))
            if attempt is None:
                return relay_refusals.no_replica(journey, failure)
            if may_send is not None and not may_send():
                return dependencies.grant_expired()
            tried.add(attempt.replica.name)
            failure = await self._send(
                journey, attempt, digest, frozenset(tried)
            )
            if journey.delivered.count and journey.begun is None:
                journey.begun = attempt.replica
            if failure is None:
                self._retries.succeeded(journey.request.deployment.name)
                return None
            refusal = await self._after(journey, failure, digest)
        return refusal if not journey.responds.finished else None

    def _choose(
        self,
        journey: sends.Journey,
        digest: bytes,
        tried: frozenset[str],
    ) -> _Attempt | None:
        request = journey.request
        identity = self._sender.next_identity(request)
        route = self.choice.route_request(
            request,
            identity.endpoint_id,
            tried | self.choice.of_other_versions(journey.begun),
            len(journey.resume_tokens),
        )
        only = self._suspects.allowed(
            digest, self.choice.serving(request.deployment.name)
        )
        replica = self.choice.choose(request, route, journey.span, only)
        return None if replica is None else _Attempt(replica, route)

    async def _send(
        self,
        journey: sends.Journey,
        attempt: _Attempt,
        digest: bytes,
        tried: frozenset[str],
    ) -> sends.SendFailure | None:
        policy = self.choice.routing(journey.request.deployment.name)
        identity = sends.answer_check.AnswerIdentity(
            attempt.route.request_id, journey.request.head.request_id
        )

        def on_first_token() -> None:
            now_s = self._dependencies.clock.monotonic_s()
            journey.turn.first_token()
            policy.first_token(identity.endpoint_id, now_s)
            if not journey.delivered.count:
                waited_s = now_s - journey.request.head.arrived_s
                self._dependencies.metrics.timing(
                    request_metrics.FIRST_TOKEN_TIME,
                    waited_s * request_metrics.MS_PER_S,
                )

        watched = stall_watch.Watched(
            stalls.MonitoredStream(
                attempt.replica.name, attempt.route.prompt_tokens
            ),
            identity.endpoint_id,
            journey.request.deployment.name,
            policy,
            lambda: self._may_stop(journey, attempt, watched.pulse, tried),
        )
        with (
            self._counted(journey, attempt, digest),
            self._watched(journey, watched),
        ):
            try:
                failure = await self._sender.send(
                    journey, attempt.replica, identity, watched, on_first_token
                )
            finally:
                # A send that ends early for another reason, as by a wrong
                # answer or a caller that leaves, hides the death of its
                # endpoint: sent again, a poison request would have one more.
                if watched.endpoint_gone:
                    self._suspects.endpoint_died(attempt.replica)
            attempt.whole = failure is None
            if failure is not None and failure.blames_endpoint:
                self._blame(attempt.replica, failure)
            if failure is not None and failure.stalled:
                LOGGER.warning(
                    'a stream stood still',
                    extra={'replica': attempt.replica.name},
                )
                self._dependencies.metrics.count('entry.stalled')
        return failure

    def _watched(
        self, journey: sends.Journey, watched: stall_watch.Watched
    ) -> contextlib.AbstractContextManager[None]:
        if journey.request.stream:
            return self.stalls.watching(watched)
        # An answer in one piece shows nothing until it is whole.
        return contextlib.nullcontext()

    def _may_stop(
        self,
        journey: sends.Journey,
        attempt: _Attempt,
        pulse: stalls.MonitoredStream,
        tried: frozenset[str],
    ) -> bool:
        """Tell whether giving a stalled send up serves its caller.

        What can't be continued ends at once, so that the caller may decide,
        but only once it has begun: before, a long prompt looks the same, and
        the answer of what may run only once is worth the wait.
        """
        if not relay_retries.may_repeat(journey):
            return bool(pulse.tokens)
        # Asked at each look for each stream that waits on: cheap ones first.
        if not self._retries.any_left(journey.request.deployment.name):
            return False
        begun = attempt.replica if pulse.tokens else journey.begun
        if not self.choice.has_other(
            journey.request.deployment.name,
            tried | self.choice.of_other_versions(begun),
        ):
            return False
        return self._retries.pay_ahead(journey)

    @contextlib.contextmanager
    def _counted(
        self, journey: sends.Journey, attempt: _Attempt, digest: bytes
    ) -> collections_abc.Iterator[None]:
        policy = self.choice.routing(journey.request.deployment.name)
        policy.sent(
            attempt.route,
            attempt.replica.name,
            self._dependencies.clock.monotonic_s(),
        )
        self._suspects.began(digest, attempt.replica)
        try:
            yield
        finally:
            self._suspects.ended(digest, attempt.replica, whole=attempt.whole)
            policy.finished(
                attempt.route.request_id, self._dependencies.clock.monotonic_s()
            )

    def _blame(
        self, replica: snapshot.Replica, failure: sends.SendFailure
    ) -> None:
        LOGGER.warning(
            'a send failed',
            extra={'replica': replica.name, 'why': failure.message},
        )
        self._dependencies.metrics.count('entry.send_failed')
        self._dependencies.permits.report_failure(
            replica,
            replica.members[0].vm,
            self._dependencies.clock.monotonic_s(),
        )
        if failure.died:
            self._suspects.endpoint_died(replica)

    async def _after(
        self,
        journey: sends.Journey,
        failure: sends.SendFailure,
        digest: bytes,
    ) -> outcomes.ErrorResponse | None:
        """Prepare the next send, or return the refusal that ends it."""
        if not failure.retriable:
            return relay_refusals.refused_by_endpoint(failure, journey)
        suspected = self._suspects.refusal_after_death(digest)
        if suspected is not None:
            return attrs.evolve(suspected, outcome=journey.responds.outcome)
        had = delivered.DeliveredText((), ended=False)
        if journey.delivered.kept and journey.delivered.count:
            had = journey.delivered.read()
        if had.ended:
            # Only the end mark was lost: the caller has every token.
            await sends.finish_stream(journey.responds)
            return relay_refusals.failed(failure, outcomes.Outcome.RAN)
        decision = self._retries.decide(journey, failure)
        journey.span.add_event(
            'after failure',
            {
                'why': failure.message,
                'step': decision.step.value,
                'reason': (decision.reason or '') and decision.reason.value,
            },
        )
        if decision.step == NextStep.GIVE_UP:
            if failure.stalled:
                # It began, and may stand still or run on to its end.
                journey.responds.outcome = outcomes.Outcome.UNKNOWN
                return relay_refusals.failed(failure, outcomes.Outcome.UNKNOWN)
            return relay_refusals.failed(failure, decision.outcome)
        self._dependencies.metrics.count(f'entry.{decision.step.value}')
        journey.resume_tokens = had.tokens
        return None
