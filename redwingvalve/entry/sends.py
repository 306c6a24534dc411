"""One send of a model request to one replica, and how it ended."""

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
    answer_check,
    delivered,
    dependencies,
    model_request,
    responder,
    stall_watch,
    upstream,
    waiting_room,
)

OK_STATUS = 200
FIRST_SERVER_ERROR = 500
CANCEL_TIMEOUT_S = 2.0
# A replica that hangs answers no cancellation either, and its caller waits to
# go on elsewhere; the closed connection says the same.
STALL_CANCEL_TIMEOUT_S = 0.2
CANCEL_PATH = '/v1/cancel'
MS_PER_S = 1000


@attrs.frozen
class SendFailure:
    """A send that brought no whole answer; outcome is of this send alone.

    retriable tells whether another replica could do better; status is the
    endpoint's own where it answered; died says that the connection broke, as
    it does when an endpoint dies under a request. stalled says that the stream
    stood still while its connection stood.
    """

    outcome: outcomes.Outcome
    message: str
    retriable: bool = True
    status: int = 0
    blames_endpoint: bool = False
    died: bool = False
    stalled: bool = False


@attrs.define
class Journey:
    """One request on its way: what its sends have brought so far."""

    request: model_request.ModelRequest
    responds: responder.Responder
    span: trace.Span
    delivered: delivered.Delivered
    turn: waiting_room.Turn | None = None
    sends: int = 0
    resume_tokens: tuple[str, ...] = ()
    last_endpoint_id: str = ''
    begun: snapshot.Replica | None = None
    # The retry budget has paid for going on elsewhere.
    paid: bool = False


class StalledError(Exception):
    """The stream stood still and was given up."""


@attrs.define
class _Exchange:
    """An answer under way; ended once the endpoint has nothing left of it."""

    watched: stall_watch.Watched
    answer: upstream.UpstreamAnswer | None = None
    ended: bool = False


class Sender:
    """Sends model requests to replicas and passes their answers on."""

    def __init__(
        self, entry_dependencies: dependencies.EntryDependencies
    ) -> None:
        """Number the sends of this incarnation from 1."""
        self._dependencies = entry_dependencies
        self._numbers = itertools.count(1)
        myself = entry_dependencies.members.local_member()
        self._entry = f'{myself.name}-{myself.incarnation}'

    def next_identity(
        self, request: model_request.ModelRequest
    ) -> answer_check.AnswerIdentity:
        """Return the identity of a send that is about to begin."""
        return answer_check.AnswerIdentity(
            endpoint_id=answer_check.make_endpoint_id(
                request.head.request_id, self._entry, next(self._numbers)
            ),
            caller_id=request.head.request_id,
        )

    async def send(
        self,
        journey: Journey,
        replica: snapshot.Replica,
        identity: answer_check.AnswerIdentity,
        watched: stall_watch.Watched,
        on_first_token: collections_abc.Callable[[], None],
    ) -> SendFailure | None:
        """Send once; None when the caller has the whole answer.

        The stream is given up when the scope of watched is cancelled.
        """
        span = self._dependencies.tracing.start_span(
            'endpoint request',
            parent=journey.span,
            attributes={
                'redwingvalve.replica': replica.name,
                'redwingvalve.endpoint_request_id': identity.endpoint_id,
                'redwingvalve.resumed_tokens': len(journey.resume_tokens),
            },
        )
        outgoing = self._build(journey, replica, identity, span)
        journey.sends += 1
        journey.last_endpoint_id = identity.endpoint_id
        before = journey.responds.outcome
        if before == outcomes.Outcome.NOT_RUN:
            journey.responds.outcome = outcomes.Outcome.UNKNOWN
        with contextlib.closing(_Ending(span)):
            failure = await self._try(
                journey, outgoing, identity, watched, on_first_token
            )
            if failure is not None:
                span.set_attribute('redwingvalve.failure', failure.message)
        if failure is not None and failure.outcome == outcomes.Outcome.NOT_RUN:
            journey.responds.outcome = before
        return failure

    async def _try(
        self,
        journey: Journey,
        outgoing: upstream.UpstreamRequest,
        identity: answer_check.AnswerIdentity,
        watched: stall_watch.Watched,
        on_first_token: collections_abc.Callable[[], None],
    ) -> SendFailure | None:
        try:
            with watched.scope, contextlib.suppress(StalledError):
                return await self._exchange_once(
                    journey, outgoing, identity, watched, on_first_token
                )
        except upstream.UpstreamError as error:
            return self._failed_send(error)
        except answer_check.WrongAnswerError as error:
            return SendFailure(outcomes.Outcome.UNKNOWN, str(error))
        except answer_check.IncompleteAnswerError as error:
            return SendFailure(
                outcomes.Outcome.UNKNOWN, str(error), blames_endpoint=True
            )
        return _stalled()

    async def _exchange_once(
        self,
        journey: Journey,
        outgoing: upstream.UpstreamRequest,
        identity: answer_check.AnswerIdentity,
        watched: stall_watch.Watched,
        on_first_token: collections_abc.Callable[[], None],
    ) -> SendFailure | None:
        async with self._exchange(outgoing, watched) as exchange:
            return await self._receive(
                exchange, journey, identity, on_first_token
            )

    @contextlib.asynccontextmanager
    async def _exchange(
        self, outgoing: upstream.UpstreamRequest, watched: stall_watch.Watched
    ) -> collections_abc.AsyncIterator['_Exchange']:
        """Open an answer; on leaving early, cancel it and free its tokens."""
        exchange = _Exchange(watched)
        try:
            exchange.answer = await self._dependencies.upstream.send(outgoing)
            yield exchange
        except upstream.UpstreamError as error:
            exchange.ended = error.surely_not_run
            raise
        finally:
            await self._tidy(exchange, outgoing)

    def _build(
        self,
        journey: Journey,
        replica: snapshot.Replica,
        identity: answer_check.AnswerIdentity,
        span: trace.Span,
    ) -> upstream.UpstreamRequest:
        request = journey.request
        remaining_s = max(
            request.head.remaining_s(self._dependencies.clock.monotonic_s()),
            0.001,
        )
        fields: dict[str, typing.Any] = dict(
            request.fields,
            model=model_request.engine_model(request),
            priority=request.priority,
        )
        if journey.resume_tokens:
            fields['resume'] = {
                'request_id': journey.last_endpoint_id,
                'tokens': list(journey.resume_tokens),
            }
        headers = {
            'content-type': responder.JSON_TYPE,
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
        journey: Journey,
        identity: answer_check.AnswerIdentity,
        on_first_token: collections_abc.Callable[[], None],
    ) -> SendFailure | None:
        answer = exchange.answer
        if answer.status != OK_STATUS:
            refusal = await _read_refusal(answer)
            exchange.ended = True
            return refusal
        answer_check.check_head(
            answer.headers, identity, self._dependencies.switches
        )
        if journey.request.stream:
            await self._relay_stream(
                exchange, identity, journey, on_first_token
            )
            exchange.ended = True
            return None
        body = b''.join([chunk async for chunk in answer.chunks])
        exchange.ended = True
        on_first_token()
        whole = answer_check.check_whole_json(
            body, identity, self._dependencies.switches
        )
        await journey.responds.send_json(OK_STATUS, whole, outcomes.Outcome.RAN)
        return None

    async def _relay_stream(
        self,
        exchange: '_Exchange',
        identity: answer_check.AnswerIdentity,
        journey: Journey,
        on_first_token: collections_abc.Callable[[], None],
    ) -> None:
        checker = answer_check.StreamChecker(
            identity, self._dependencies.switches
        )
        responds = journey.responds
        pulse = exchange.watched.pulse
        told = False
        async for chunk in exchange.answer.chunks:
            if pulse.stalled:
                # The chunk came with the cancellation. Delivering would be
                # cut off after counting; the next replica makes it again.
                raise StalledError
            events = checker.feed(chunk)
            if not events:
                continue
            pulse.is_paused = True
            if not told:
                told = True
                on_first_token()
                await _start_once(responds)
            # Counted before they are written: a caller that hangs up in
            # between gets no second answer, so nothing can be sent twice.
            journey.delivered.add(events)
            pulse.tokens += len(events)
            await responds.write(b''.join(events))
            pulse.is_paused = False
        pulse.is_paused = True
        complete = checker.done or not self._dependencies.switches.enabled(
            invariants.Safeguard.ANSWER_COMPLETENESS
        )
        if not complete:
            raise answer_check.IncompleteAnswerError('no [DONE] was seen')
        await finish_stream(responds)

    def _failed_send(self, error: upstream.UpstreamError) -> SendFailure:
        # Only a connection that never stood proves that nothing ran. After
        # the first byte the endpoint may have run all of it and died.
        not_run = error.surely_not_run
        if not self._dependencies.switches.enabled(
            invariants.Safeguard.TRUTHFUL_NOT_RUN
        ):
            not_run = True
        return SendFailure(
            outcomes.Outcome.NOT_RUN if not_run else outcomes.Outcome.UNKNOWN,
            str(error),
            blames_endpoint=True,
            died=not error.surely_not_run,
        )

    async def _tidy(
        self, exchange: '_Exchange', outgoing: upstream.UpstreamRequest
    ) -> None:
        with anyio.CancelScope(shield=True):
            if exchange.answer is not None:
                await self._dependencies.upstream.release(exchange.answer)
            if not exchange.ended:
                timeout_s = CANCEL_TIMEOUT_S
                if exchange.watched.pulse.stalled:
                    timeout_s = STALL_CANCEL_TIMEOUT_S
                reached = await self._cancel(outgoing, timeout_s)
                exchange.watched.endpoint_gone = not reached

    async def _cancel(
        self, outgoing: upstream.UpstreamRequest, timeout_s: float
    ) -> bool:
        """Free the tokens of a request whose answer nobody will read.

        False when nobody is there: the endpoint has gone since.
        """
        cancel = attrs.evolve(
            outgoing,
            path=CANCEL_PATH,
            body=json.dumps({'request_id': outgoing.request_id}).encode(),
            timeout_s=timeout_s,
        )
        with anyio.move_on_after(timeout_s):
            try:
                answer = await self._dependencies.upstream.send(cancel)
            except upstream.UpstreamError:
                return False
            await self._dependencies.upstream.release(answer)
        return True


@attrs.frozen
class _Ending:
    """Ends a span on every way out."""

    span: trace.Span

    def close(self) -> None:
        """End the span."""
        self.span.end()


def _stalled() -> SendFailure:
    # Easing the replica off is routing's part: it hangs, and isn't gone.
    return SendFailure(
        outcomes.Outcome.UNKNOWN, 'the stream stood still', stalled=True
    )


async def finish_stream(responds: responder.Responder) -> None:
    """End a stream that is whole."""
    await _start_once(responds)
    await responds.finish(answer_check.DONE_EVENT)


async def _start_once(responds: responder.Responder) -> None:
    if not responds.started:
        await responds.start(
            OK_STATUS, responder.SSE_TYPE, outcomes.Outcome.RAN
        )


async def _read_refusal(answer: upstream.UpstreamAnswer) -> SendFailure:
    """Understand an answer that isn't a success."""
    drained = [len(chunk) async for chunk in answer.chunks]
    said = dict(answer.headers).get(outcomes.OUTCOME_HEADER, '')
    not_run = said == outcomes.Outcome.NOT_RUN
    ran = said == outcomes.Outcome.RAN
    outcome = outcomes.Outcome.UNKNOWN
    if not_run or ran:
        outcome = outcomes.Outcome(said)
    return SendFailure(
        outcome=outcome,
        message=f'the endpoint answered {answer.status}, {sum(drained)} bytes',
        retriable=not_run or answer.status >= FIRST_SERVER_ERROR,
        status=answer.status,
    )
