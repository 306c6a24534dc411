"""Sends a model request to one replica and relays its response."""

import contextlib
import itertools
import json
import typing
from collections import abc as collections_abc

import anyio
import attrs
from opentelemetry import trace

from redwingvalve.configuration import snapshot
from redwingvalve.core import invariants, outcomes
from redwingvalve.entry import (
    admission_queues,
    answer_body,
    attempt_failures,
    delivered_events,
    dependencies,
    held_event,
    model_request,
    response_check,
    response_writer,
    stall_monitor,
    upstream,
)
from redwingvalve.http1 import held_bodies

OK_STATUS = 200
CANCEL_TIMEOUT_S = 2.0
# A hung replica doesn't answer a cancellation either, and its caller waits to
# resume elsewhere; the closed connection has the same effect.
STALL_CANCEL_TIMEOUT_S = 0.2
CANCEL_PATH = '/v1/cancel'
MS_PER_S = 1000


@attrs.define
class RequestProgress:
    """State of one request over all of its attempts."""

    request: model_request.ModelRequest
    writer: response_writer.ResponseWriter
    span: trace.Span
    delivered: delivered_events.DeliveredEvents
    admission: admission_queues.Admission | None = None
    attempts: int = 0
    resume_tokens: tuple[str, ...] = ()
    last_endpoint_id: str = ''
    first_replica: snapshot.Replica | None = None
    # The retry budget was already charged for the next attempt.
    retry_prepaid: bool = False


class StalledError(Exception):
    """The stream stalled and was aborted."""


@attrs.define
class _Exchange:
    """A response in progress; ended if the endpoint has no work left on it."""

    monitored: stall_monitor.MonitoredAttempt
    response: upstream.UpstreamResponse | None = None
    ended: bool = False


class AttemptSender:
    """Sends model requests to replicas and relays their responses."""

    def __init__(
        self, entry_dependencies: dependencies.EntryDependencies
    ) -> None:
        """Number the attempts of this incarnation from 1."""
        self._dependencies = entry_dependencies
        self._numbers = itertools.count(1)
        local_member = entry_dependencies.members.local_member()
        self._entry = f'{local_member.name}-{local_member.incarnation}'

    def next_identity(
        self, request: model_request.ModelRequest
    ) -> response_check.ResponseIdentity:
        """Return the identity of the next attempt."""
        return response_check.ResponseIdentity(
            endpoint_id=response_check.make_endpoint_id(
                request.head.request_id, self._entry, next(self._numbers)
            ),
            caller_id=request.head.request_id,
        )

    async def send(
        self,
        progress: RequestProgress,
        replica: snapshot.Replica,
        identity: response_check.ResponseIdentity,
        monitored: stall_monitor.MonitoredAttempt,
        on_first_token: collections_abc.Callable[[], None],
    ) -> attempt_failures.AttemptFailure | None:
        """Run one attempt; return None if the caller got a complete response.

        Cancelling the scope of monitored aborts the stream.
        """
        span = self._dependencies.tracing.start_span(
            'endpoint request',
            parent=progress.span,
            attributes={
                'redwingvalve.replica': replica.name,
                'redwingvalve.endpoint_request_id': identity.endpoint_id,
                'redwingvalve.resumed_tokens': len(progress.resume_tokens),
            },
        )
        upstream_request = self._build(progress, replica, identity, span)
        progress.attempts += 1
        progress.last_endpoint_id = identity.endpoint_id
        outcome_before = progress.writer.outcome
        if outcome_before == outcomes.Outcome.NOT_RUN:
            progress.writer.outcome = outcomes.Outcome.UNKNOWN
        with contextlib.closing(_SpanCloser(span)):
            failure = await self._run(
                progress, upstream_request, identity, monitored, on_first_token
            )
            if failure is not None:
                span.set_attribute('redwingvalve.failure', failure.message)
        if failure is not None and failure.outcome == outcomes.Outcome.NOT_RUN:
            progress.writer.outcome = outcome_before
        return failure

    async def _run(
        self,
        progress: RequestProgress,
        upstream_request: upstream.UpstreamRequest,
        identity: response_check.ResponseIdentity,
        monitored: stall_monitor.MonitoredAttempt,
        on_first_token: collections_abc.Callable[[], None],
    ) -> attempt_failures.AttemptFailure | None:
        try:
            with monitored.scope, contextlib.suppress(StalledError):
                return await self._exchange_once(
                    progress,
                    upstream_request,
                    identity,
                    monitored,
                    on_first_token,
                )
        except upstream.UpstreamError as error:
            return attempt_failures.for_lost_connection(
                error, self._dependencies.switches
            )
        except response_check.ResponseMismatchError as error:
            return attempt_failures.AttemptFailure(
                outcomes.Outcome.UNKNOWN, str(error)
            )
        except (
            response_check.IncompleteResponseError,
            held_bodies.OverLimitError,
        ) as error:
            return attempt_failures.AttemptFailure(
                outcomes.Outcome.UNKNOWN, str(error), endpoint_fault=True
            )
        return attempt_failures.for_stall()

    async def _exchange_once(
        self,
        progress: RequestProgress,
        upstream_request: upstream.UpstreamRequest,
        identity: response_check.ResponseIdentity,
        monitored: stall_monitor.MonitoredAttempt,
        on_first_token: collections_abc.Callable[[], None],
    ) -> attempt_failures.AttemptFailure | None:
        async with self._exchange(upstream_request, monitored) as exchange:
            return await self._receive(
                exchange, progress, identity, on_first_token
            )

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        upstream_request: upstream.UpstreamRequest,
        monitored: stall_monitor.MonitoredAttempt,
    ) -> collections_abc.AsyncIterator['_Exchange']:
        """Open a response; cancel it at the endpoint if it isn't read fully."""
        exchange = _Exchange(monitored)
        try:
            exchange.response = await self._dependencies.upstream.send(
                upstream_request
            )
            yield exchange
        except upstream.UpstreamError as error:
            exchange.ended = error.not_sent
            raise
        finally:
            await self._clean_up(exchange, upstream_request)

    def _build(
        self,
        progress: RequestProgress,
        replica: snapshot.Replica,
        identity: response_check.ResponseIdentity,
        span: trace.Span,
    ) -> upstream.UpstreamRequest:
        request = progress.request
        remaining_s = max(
            request.head.remaining_s(self._dependencies.clock.monotonic_s()),
            0.001,
        )
        fields: dict[str, typing.Any] = dict(
            request.fields,
            model=model_request.engine_model(request),
            priority=request.priority,
        )
        if progress.resume_tokens:
            fields['resume'] = {
                'request_id': progress.last_endpoint_id,
                'tokens': list(progress.resume_tokens),
            }
        headers = {
            'content-type': response_writer.JSON_TYPE,
            outcomes.REQUEST_ID_HEADER: identity.endpoint_id,
            outcomes.PRIORITY_HEADER: str(request.priority),
            outcomes.DEADLINE_HEADER: str(int(remaining_s * MS_PER_S)),
            'x-redwingvalve-replica': replica.name,
            'x-redwingvalve-epoch': str(replica.epoch),
            **self._dependencies.tracing.headers(span),
        }
        return upstream.UpstreamRequest(
            address=replica.members[0].address,
            method='POST',
            path=request.head.path,
            headers=tuple(headers.items()),
            body=json.dumps(fields).encode(),
            request_id=identity.endpoint_id,
            timeout_s=remaining_s,
        )

    async def _receive(
        self,
        exchange: '_Exchange',
        progress: RequestProgress,
        identity: response_check.ResponseIdentity,
        on_first_token: collections_abc.Callable[[], None],
    ) -> attempt_failures.AttemptFailure | None:
        response = exchange.response
        if response.status != OK_STATUS:
            refusal = await attempt_failures.read_refusal(
                response, answer_body.max_bytes(self._dependencies)
            )
            exchange.ended = True
            return refusal
        response_check.check_headers(
            response.headers, identity, self._dependencies.switches
        )
        if progress.request.stream:
            validator = response_check.StreamValidator(
                identity, self._dependencies.switches
            )
            await self._relay_stream(
                exchange, validator, progress, on_first_token
            )
            exchange.ended = True
            return None
        async with answer_body.read(response, self._dependencies) as body:
            exchange.ended = True
            on_first_token()
            whole = response_check.check_json_body(
                body, identity, self._dependencies.switches
            )
            await progress.writer.send_json(
                OK_STATUS, whole, outcomes.Outcome.RAN
            )
        return None

    async def _relay_stream(
        self,
        exchange: '_Exchange',
        validator: response_check.StreamValidator,
        progress: RequestProgress,
        on_first_token: collections_abc.Callable[[], None],
    ) -> None:
        held = held_event.HeldEvent(validator, self._dependencies.account)
        with contextlib.closing(held):
            await self._relay_events(
                exchange, validator, held, progress, on_first_token
            )
        complete = validator.done or not self._dependencies.switches.enabled(
            invariants.Safeguard.ANSWER_COMPLETENESS
        )
        if not complete:
            raise response_check.IncompleteResponseError(
                'the stream ended without [DONE]'
            )
        await finish_stream(progress.writer)

    async def _relay_events(
        self,
        exchange: '_Exchange',
        validator: response_check.StreamValidator,
        held: held_event.HeldEvent,
        progress: RequestProgress,
        on_first_token: collections_abc.Callable[[], None],
    ) -> None:
        writer = progress.writer
        stream = exchange.monitored.stream
        notified = False
        async for chunk in exchange.response.chunks:
            if stream.stalled:
                # The chunk arrived together with the cancellation, which would
                # interrupt its delivery after it was counted. The next replica
                # generates it again.
                raise StalledError
            held.require_room()
            events = validator.feed(chunk)
            # What follows until the next read is no wait for the replica.
            stream.is_paused = True
            if not events:
                await held.wait_for_room()
                stream.is_paused = False
                continue
            if not notified:
                notified = True
                on_first_token()
                await _ensure_started(writer)
            # Counted before they are written: a caller that disconnects in
            # between gets no further response, so nothing is sent twice.
            progress.delivered.add(events)
            stream.tokens += len(events)
            await writer.write(b''.join(events))
            await held.wait_for_room()
            stream.is_paused = False
        stream.is_paused = True

    async def _clean_up(
        self, exchange: '_Exchange', upstream_request: upstream.UpstreamRequest
    ) -> None:
        with anyio.CancelScope(shield=True):
            if exchange.response is not None:
                await self._dependencies.upstream.release(exchange.response)
            if not exchange.ended:
                timeout_s = CANCEL_TIMEOUT_S
                if exchange.monitored.stream.stalled:
                    timeout_s = STALL_CANCEL_TIMEOUT_S
                reached = await self._cancel(upstream_request, timeout_s)
                exchange.monitored.endpoint_unreachable = not reached

    async def _cancel(
        self, upstream_request: upstream.UpstreamRequest, timeout_s: float
    ) -> bool:
        """Cancel a request whose response nobody will read.

        Returns False if the endpoint can't be reached any more.
        """
        cancel = attrs.evolve(
            upstream_request,
            path=CANCEL_PATH,
            body=json.dumps(
                {'request_id': upstream_request.request_id}
            ).encode(),
            timeout_s=timeout_s,
        )
        with anyio.move_on_after(timeout_s):
            try:
                response = await self._dependencies.upstream.send(cancel)
            except upstream.UpstreamError:
                return False
            await self._dependencies.upstream.release(response)
        return True


@attrs.frozen
class _SpanCloser:
    """Closes a span through contextlib.closing."""

    span: trace.Span

    def close(self) -> None:
        """End the span."""
        self.span.end()


async def finish_stream(writer: response_writer.ResponseWriter) -> None:
    """End a complete stream."""
    await _ensure_started(writer)
    await writer.finish(response_check.DONE_EVENT)


async def _ensure_started(writer: response_writer.ResponseWriter) -> None:
    if not writer.started:
        await writer.start(
            OK_STATUS, response_writer.SSE_TYPE, outcomes.Outcome.RAN
        )
