"""Relays model requests to replicas, with admission and retries."""

import contextlib
from collections import abc as collections_abc

import anyio
import attrs
from opentelemetry import trace

from redwingvalve.admission import capacity
from redwingvalve.configuration import snapshot
from redwingvalve.core import outcomes
from redwingvalve.entry import (
    account_limiter,
    admission_queues,
    attempt_failures,
    delivered_events,
    dependencies,
    model_attempts,
    model_request,
    relay_refusals,
    relay_retries,
    replica_selection,
    request_metrics,
    response_writer,
    stall_monitor,
    suspects,
)
from redwingvalve.observability import logs
from redwingvalve.retries import decisions, stalls
from redwingvalve.routing import messages as routing_messages

LOGGER = logs.make_logger('relay')
NextStep = decisions.NextStep


@attrs.define
class _Attempt:
    """One attempt in progress."""

    replica: snapshot.Replica
    route: routing_messages.RouteRequest
    whole: bool = False


class ModelRelay:
    """Selects replicas, sends requests, retries if safe, and responds."""

    def __init__(
        self,
        entry_dependencies: dependencies.EntryDependencies,
        limiter: account_limiter.AccountLimiter,
    ) -> None:
        """Relay requests through entry_dependencies, limited by limiter."""
        self._dependencies = entry_dependencies
        self._account_limiter = limiter
        self._sender = model_attempts.AttemptSender(entry_dependencies)
        self.selector = replica_selection.ReplicaSelector(
            entry_dependencies.source,
            entry_dependencies.permits,
            entry_dependencies.members.local_member(),
            entry_dependencies.clock,
            entry_dependencies.switches,
        )
        self._suspects = suspects.SuspectTracker(
            entry_dependencies.members,
            entry_dependencies.news,
            entry_dependencies.clock,
            entry_dependencies.switches,
        )
        self._admission_queues = admission_queues.AdmissionQueues(
            entry_dependencies.members, entry_dependencies.clock
        )
        self._retries = relay_retries.RelayRetries(entry_dependencies.clock)
        self.stall_monitor = stall_monitor.make_stall_monitor(
            entry_dependencies.clock
        )

    async def run(
        self,
        request: model_request.ModelRequest,
        writer: response_writer.ResponseWriter,
        span: trace.Span,
        may_send: dependencies.MaySend | None,
    ) -> None:
        """Respond to the request by its deadline."""
        remaining_s = request.head.remaining_s(
            self._dependencies.clock.monotonic_s()
        )
        progress = model_attempts.RequestProgress(
            request,
            writer,
            span,
            delivered_events.DeliveredEvents(
                recorded=request.idempotent
                and request.stream
                and delivered_events.is_resumable(request.fields),
                room=self._dependencies.records,
            ),
        )
        refusal: outcomes.ErrorResponse | None = None
        scope = anyio.move_on_after(max(remaining_s, 0))
        with scope, contextlib.closing(progress.delivered):
            refusal = await self._process(progress, may_send)
        if writer.finished:
            return
        if scope.cancelled_caught:
            refusal = relay_refusals.deadline_passed(writer.outcome)
        if refusal is not None:
            span.set_attribute('redwingvalve.refused', refusal.code)
            await writer.send_error(refusal)

    async def _process(
        self,
        progress: model_attempts.RequestProgress,
        may_send: dependencies.MaySend | None,
    ) -> outcomes.ErrorResponse | None:
        """Relay the request; return the error if it can't be completed."""
        digest = self._suspects.digest(progress.request)
        refusal = self._suspects.refusal(digest)
        serving = self.selector.serving(progress.request.deployment.name)
        if refusal is not None:
            return refusal
        if not serving:
            return relay_refusals.no_replica(progress, None)
        account = progress.request.account
        estimated = admission_queues.estimated_tokens(progress.request)
        refusal = self._account_limiter.check_tokens(account, estimated)
        if refusal is not None:
            return refusal
        try:
            return await self._process_admitted(progress, digest, may_send)
        finally:
            # Tokens are counted only in streams; a response that isn't
            # streamed is charged by its estimate.
            if progress.request.stream:
                used = progress.delivered.count
                self._dependencies.metrics.count(request_metrics.TOKENS, used)
                self._account_limiter.adjust_tokens(account, used - estimated)

    async def _process_admitted(
        self,
        progress: model_attempts.RequestProgress,
        digest: bytes,
        may_send: dependencies.MaySend | None,
    ) -> outcomes.ErrorResponse | None:
        serving = self.selector.serving(progress.request.deployment.name)
        job_id = self._sender.next_identity(progress.request).endpoint_id
        deployment = progress.request.deployment
        async with self._admission_queues.admit(
            deployment.name,
            capacity.make_model_capacity(
                deployment, len(serving), self._admission_queues.share()
            ),
            admission_queues.admission_request(progress.request, job_id),
        ) as admission:
            if admission.is_error():
                return admission.error
            progress.admission = admission.ok
            refusal = await self._attempt_until_complete(
                progress, digest, may_send
            )
            self._suspects.abandon(digest)
            admission.ok.used_tokens = float(progress.delivered.count)
        return refusal

    async def _attempt_until_complete(
        self,
        progress: model_attempts.RequestProgress,
        digest: bytes,
        may_send: dependencies.MaySend | None,
    ) -> outcomes.ErrorResponse | None:
        refusal: outcomes.ErrorResponse | None = None
        tried: set[str] = set()
        failure: attempt_failures.AttemptFailure | None = None
        while refusal is None:
            attempt = self._next_attempt(progress, digest, frozenset(tried))
            if attempt is None:
                return relay_refusals.no_replica(progress, failure)
            if may_send is not None and not may_send():
                return dependencies.grant_expired()
            tried.add(attempt.replica.name)
            failure = await self._run_attempt(
                progress, attempt, digest, frozenset(tried)
            )
            if progress.delivered.count and progress.first_replica is None:
                progress.first_replica = attempt.replica
            if failure is None:
                self._retries.succeeded(progress.request.deployment.name)
                return None
            refusal = await self._after_failure(progress, failure, digest)
        return refusal if not progress.writer.finished else None

    def _next_attempt(
        self,
        progress: model_attempts.RequestProgress,
        digest: bytes,
        tried: frozenset[str],
    ) -> _Attempt | None:
        request = progress.request
        identity = self._sender.next_identity(request)
        route = self.selector.route_request(
            request,
            identity.endpoint_id,
            tried
            | self.selector.replicas_of_other_versions(progress.first_replica),
            len(progress.resume_tokens),
        )
        only = self._suspects.allowed(
            digest, self.selector.serving(request.deployment.name)
        )
        replica = self.selector.choose(request, route, progress.span, only)
        return None if replica is None else _Attempt(replica, route)

    async def _run_attempt(
        self,
        progress: model_attempts.RequestProgress,
        attempt: _Attempt,
        digest: bytes,
        tried: frozenset[str],
    ) -> attempt_failures.AttemptFailure | None:
        policy = self.selector.routing(progress.request.deployment.name)
        identity = model_attempts.response_check.ResponseIdentity(
            attempt.route.request_id, progress.request.head.request_id
        )

        def on_first_token() -> None:
            now_s = self._dependencies.clock.monotonic_s()
            progress.admission.first_token()
            policy.first_token(identity.endpoint_id, now_s)
            if not progress.delivered.count:
                waited_s = now_s - progress.request.head.arrived_s
                self._dependencies.metrics.timing(
                    request_metrics.FIRST_TOKEN_TIME,
                    waited_s * request_metrics.MS_PER_S,
                )

        monitored = stall_monitor.MonitoredAttempt(
            stalls.MonitoredStream(
                attempt.replica.name, attempt.route.prompt_tokens
            ),
            identity.endpoint_id,
            progress.request.deployment.name,
            policy,
            lambda: self._may_abort(progress, attempt, monitored.stream, tried),
        )
        with (
            self._tracked(progress, attempt, digest),
            self._monitored(progress, monitored),
        ):
            try:
                failure = await self._sender.send(
                    progress,
                    attempt.replica,
                    identity,
                    monitored,
                    on_first_token,
                )
            finally:
                # An attempt that ends early for another reason, such as a
                # mismatched response or a caller that disconnects, hides the
                # crash of its endpoint. If that were not recorded, resending a
                # poison request would crash one more endpoint.
                if monitored.endpoint_unreachable:
                    self._suspects.record_endpoint_failure(attempt.replica)
            attempt.whole = failure is None
            if failure is not None and failure.endpoint_fault:
                self._report_failure(attempt.replica, failure)
            if failure is not None and failure.stalled:
                LOGGER.warning(
                    'a stream stood still',
                    extra={'replica': attempt.replica.name},
                )
                self._dependencies.metrics.count('entry.stalled')
        return failure

    def _monitored(
        self,
        progress: model_attempts.RequestProgress,
        monitored: stall_monitor.MonitoredAttempt,
    ) -> contextlib.AbstractContextManager[None]:
        if progress.request.stream:
            return self.stall_monitor.monitor(monitored)
        # A response that isn't streamed shows no progress until it is complete.
        return contextlib.nullcontext()

    def _may_abort(
        self,
        progress: model_attempts.RequestProgress,
        attempt: _Attempt,
        stream: stalls.MonitoredStream,
        tried: frozenset[str],
    ) -> bool:
        """Return whether aborting a stalled attempt helps its caller.

        A request that can't be repeated is aborted at once, so that the caller
        can decide, but only after its first token. Before that a long prompt
        looks like a stall, and the response of a non-idempotent request is
        worth waiting for.
        """
        if not relay_retries.may_repeat(progress):
            return bool(stream.tokens)
        # Evaluated at each check for each stalled stream: cheap conditions
        # first.
        if not self._retries.has_retry(progress.request.deployment.name):
            return False
        first_replica = (
            attempt.replica if stream.tokens else progress.first_replica
        )
        if not self.selector.has_other(
            progress.request.deployment.name,
            tried | self.selector.replicas_of_other_versions(first_replica),
        ):
            return False
        return self._retries.prepay(progress)

    @contextlib.contextmanager
    def _tracked(
        self,
        progress: model_attempts.RequestProgress,
        attempt: _Attempt,
        digest: bytes,
    ) -> collections_abc.Iterator[None]:
        policy = self.selector.routing(progress.request.deployment.name)
        policy.sent(
            attempt.route,
            attempt.replica.name,
            self._dependencies.clock.monotonic_s(),
        )
        self._suspects.attempt_started(digest, attempt.replica)
        try:
            yield
        finally:
            self._suspects.attempt_ended(
                digest, attempt.replica, whole=attempt.whole
            )
            policy.finished(
                attempt.route.request_id, self._dependencies.clock.monotonic_s()
            )

    def _report_failure(
        self,
        replica: snapshot.Replica,
        failure: attempt_failures.AttemptFailure,
    ) -> None:
        LOGGER.warning(
            'upstream request failed',
            extra={'replica': replica.name, 'why': failure.message},
        )
        self._dependencies.metrics.count('entry.send_failed')
        self._dependencies.permits.report_failure(
            replica,
            replica.members[0].vm,
            self._dependencies.clock.monotonic_s(),
        )
        if failure.connection_lost:
            self._suspects.record_endpoint_failure(replica)

    async def _after_failure(
        self,
        progress: model_attempts.RequestProgress,
        failure: attempt_failures.AttemptFailure,
        digest: bytes,
    ) -> outcomes.ErrorResponse | None:
        """Prepare the next attempt, or return the error of the request."""
        if not failure.retriable:
            return relay_refusals.refused_by_endpoint(failure, progress)
        suspect_refusal = self._suspects.refusal_after_failure(digest)
        if suspect_refusal is not None:
            return attrs.evolve(
                suspect_refusal, outcome=progress.writer.outcome
            )
        delivered_text = delivered_events.DeliveredText((), ended=False)
        if progress.delivered.recorded and progress.delivered.count:
            delivered_text = progress.delivered.parse()
        if delivered_text.ended:
            # Only the [DONE] event was lost: the caller has every token.
            await model_attempts.finish_stream(progress.writer)
            return relay_refusals.failed(failure, outcomes.Outcome.RAN)
        decision = self._retries.decide(progress, failure)
        progress.span.add_event(
            'after failure',
            {
                'why': failure.message,
                'step': decision.step.value,
                'reason': (decision.reason or '') and decision.reason.value,
            },
        )
        if decision.step == NextStep.GIVE_UP:
            if failure.stalled:
                # It was started, and may hang or still run to its end.
                progress.writer.outcome = outcomes.Outcome.UNKNOWN
                return relay_refusals.failed(failure, outcomes.Outcome.UNKNOWN)
            return relay_refusals.failed(failure, decision.outcome)
        self._dependencies.metrics.count(f'entry.{decision.step.value}')
        progress.resume_tokens = delivered_text.tokens
        return None
