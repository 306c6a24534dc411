"""Carries requests to plain services."""

import contextlib
import functools
import itertools
from collections import abc as collections_abc

import anyio
import attrs
from opentelemetry import trace

from redwingvalve.core import outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import (
    answer_check,
    caller,
    dependencies,
    responder,
    service_queue,
    service_suspects,
    suspects,
    upstream,
)
from redwingvalve.poison import channel

# RFC 9110, section 9.2.2; a POST is idempotent only if the caller says so.
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
NO_BODY_STATUSES = frozenset((204, 304))
# RFC 9110, section 7.6.1, and what this hop sets by itself.
HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'authorization',
        'accept-encoding',
        'expect',
        'date',
        outcomes.REQUEST_ID_HEADER,
        outcomes.OUTCOME_HEADER,
        'traceparent',
        'tracestate',
    )
)
RETRY_AFTER_S = 1.0


@attrs.frozen
class ServiceRequest:
    """A request for a plain service."""

    head: caller.CallerHead
    account: schema.ClientAccount
    service: schema.PlainService
    body: bytes

    @property
    def idempotent(self) -> bool:
        """Tell whether it may run twice; a declared path never may."""
        if self.head.request_key:
            return False
        path = self.head.path
        if any(
            path == listed or path.startswith(f'{listed.rstrip("/")}/')
            for listed in self.service.non_idempotent_paths
        ):
            return False
        if self.head.idempotent is not None:
            return self.head.idempotent
        return self.head.method in IDEMPOTENT_METHODS


def find_service(
    path: str, services: tuple[schema.PlainService, ...]
) -> schema.PlainService | None:
    """Return the service with the longest prefix of path."""
    fitting = [
        service
        for service in services
        if path == service.path_prefix
        or path.startswith(f'{service.path_prefix.rstrip("/")}/')
    ]
    return max(
        fitting, key=lambda service: len(service.path_prefix), default=None
    )


class ServiceRelay:
    """Sends to the address with the fewest own requests in flight."""

    def __init__(
        self, entry_dependencies: dependencies.EntryDependencies
    ) -> None:
        """Carry requests with entry_dependencies."""
        self._suspects = suspects.SuspectGate(
            entry_dependencies.members,
            entry_dependencies.news,
            entry_dependencies.clock,
            entry_dependencies.switches,
            channel.SERVICE_KEY,
        )
        self._dependencies = entry_dependencies
        self._numbers = itertools.count(1)
        self._in_flight: dict[str, int] = {}
        myself = entry_dependencies.members.local_member()
        self._entry = f'{myself.name}-{myself.incarnation}-s'
        self._queue = service_queue.make_service_queue(
            entry_dependencies.members, entry_dependencies.clock
        )

    async def run(
        self,
        request: ServiceRequest,
        responds: responder.Responder,
        span: trace.Span,
        may_send: dependencies.MaySend | None,
    ) -> None:
        """Answer the request by its deadline, or refuse it early."""
        async with self._queue.turn(
            request.head, request.account, request.service
        ) as turn:
            refusal = turn.error if turn.is_error() else None
            if refusal is None:
                refusal = await self._send_watched(
                    request, responds, span, may_send or _always
                )
        if refusal is not None:
            span.set_attribute('redwingvalve.refused', refusal.code)
            await responds.send_error(refusal)

    async def _send_watched(
        self,
        request: ServiceRequest,
        responds: responder.Responder,
        span: trace.Span,
        may_send: dependencies.MaySend,
    ) -> outcomes.ErrorResponse | None:
        # Asked after the wait for a turn: what waited may have become suspect
        # meanwhile.
        with contextlib.closing(self._watch(request)) as watched:
            return watched.refusal() or await self._send_until_whole(
                request, responds, span, may_send, watched
            )

    async def _send_until_whole(
        self,
        request: ServiceRequest,
        responds: responder.Responder,
        span: trace.Span,
        may_send: dependencies.MaySend,
        watched: service_suspects.WatchedCall,
    ) -> outcomes.ErrorResponse | None:
        tried: set[str] = set()
        refusal = _busy()
        address = self._choose(request.service, tried, watched)
        while address is not None and may_send():
            tried.add(address)
            failure = await watched.send(
                address,
                functools.partial(self._send, request, address, responds, span),
            )
            if failure is None:
                return None
            span.add_event('send failed', {'why': str(failure)})
            suspected = watched.refusal_after(responds.outcome)
            if suspected is not None:
                return suspected
            refusal = _failed(failure, refusal)
            address = None
            if failure.surely_not_run or request.idempotent:
                address = self._choose(request.service, tried, watched)
        return refusal

    def _watch(self, request: ServiceRequest) -> service_suspects.WatchedCall:
        head = request.head
        return service_suspects.make_watched_call(
            self._suspects,
            request.service.addresses,
            request.service.name.encode(),
            head.method.encode(),
            head.path.encode(),
            head.query.encode(),
            request.body,
        )

    def _choose(
        self,
        service: schema.PlainService,
        tried: set[str],
        watched: service_suspects.WatchedCall,
    ) -> str | None:
        allowed = watched.allowed()
        free = [
            address
            for address in service.addresses
            if address not in tried
            and address in allowed
            and self._in_flight.get(address, 0)
            < service.max_in_flight_per_address
        ]
        return min(
            free,
            key=lambda address: self._in_flight.get(address, 0),
            default=None,
        )

    async def _send(
        self,
        request: ServiceRequest,
        address: str,
        responds: responder.Responder,
        span: trace.Span,
    ) -> upstream.UpstreamError | None:
        before = responds.outcome
        responds.outcome = outcomes.Outcome.UNKNOWN
        hop = self._start_hop(request, address, span)
        self._in_flight[address] = self._in_flight.get(address, 0) + 1
        try:
            await self._exchange(request, address, responds, hop)
        except upstream.UpstreamError as error:
            if error.surely_not_run:
                responds.outcome = before
            hop.set_attribute('redwingvalve.failure', str(error))
            self._dependencies.metrics.count('entry.service_send_failed')
            return error
        finally:
            self._in_flight[address] -= 1
            hop.end()
        return None

    def _start_hop(
        self, request: ServiceRequest, address: str, span: trace.Span
    ) -> trace.Span:
        """Start the span of one send; each send has its own."""
        return self._dependencies.tracing.start_span(
            'service request',
            parent=span,
            attributes={
                'redwingvalve.service': request.service.name,
                'server.address': address,
            },
        )

    async def _exchange(
        self,
        request: ServiceRequest,
        address: str,
        responds: responder.Responder,
        hop: trace.Span,
    ) -> None:
        outgoing = self._build(request, address, hop)
        with anyio.move_on_after(outgoing.timeout_s):
            answer, body = await self._fetch(outgoing)
            hop.set_attribute('http.response.status_code', answer.status)
            await responds.send_whole(
                answer.status,
                dict(answer.headers).get('content-type', ''),
                body,
                outcomes.Outcome.RAN,
                _passed_headers(answer.headers, ('content-type',)),
            )
            return
        raise service_suspects.AnsweredError(
            'no answer by the timeout', surely_not_run=False
        )

    async def _fetch(
        self, outgoing: upstream.UpstreamRequest
    ) -> tuple[upstream.UpstreamAnswer, bytes]:
        answer = await self._dependencies.upstream.send(outgoing)
        try:
            body = await self._read(answer, outgoing)
        except BaseException:
            await self._dependencies.upstream.release(answer)
            raise
        await self._dependencies.upstream.release(answer)
        return answer, body

    def _build(
        self, request: ServiceRequest, address: str, hop: trace.Span
    ) -> upstream.UpstreamRequest:
        head = request.head
        endpoint_id = answer_check.make_endpoint_id(
            head.request_id, self._entry, next(self._numbers)
        )
        hop.set_attribute('redwingvalve.endpoint_request_id', endpoint_id)
        own = {
            outcomes.REQUEST_ID_HEADER: endpoint_id,
            **self._dependencies.tracing.headers(hop),
        }
        query = f'?{head.query}' if head.query else ''
        remaining_s = head.remaining_s(self._dependencies.clock.monotonic_s())
        return upstream.UpstreamRequest(
            address=address,
            method=head.method,
            path=f'{head.path}{query}',
            headers=(*_passed_headers(head.headers.items()), *own.items()),
            body=request.body,
            request_id=endpoint_id,
            timeout_s=max(min(remaining_s, request.service.timeout_s), 0.001),
        )

    async def _read(
        self,
        answer: upstream.UpstreamAnswer,
        outgoing: upstream.UpstreamRequest,
    ) -> bytes:
        identity = answer_check.AnswerIdentity(outgoing.request_id, '')
        try:
            answer_check.check_head(
                answer.headers, identity, self._dependencies.switches
            )
        except answer_check.WrongAnswerError as error:
            raise service_suspects.AnsweredError(
                str(error), surely_not_run=False
            ) from error
        body = b''.join([chunk async for chunk in answer.chunks])
        framed = {'content-length', 'transfer-encoding'}
        if (
            answer.status not in NO_BODY_STATUSES
            and outgoing.method != 'HEAD'
            and framed.isdisjoint(dict(answer.headers))
        ):
            # Without a length, a body that was cut off ends like a whole one.
            raise service_suspects.AnsweredError(
                'the end of the body cannot be told', surely_not_run=False
            )
        return body


def _always() -> bool:
    return True


def _busy() -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=503,
        code='service-busy',
        message='every address of the service is busy',
        outcome=outcomes.Outcome.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )


def _failed(
    failure: upstream.UpstreamError, before: outcomes.ErrorResponse
) -> outcomes.ErrorResponse:
    outcome = before.outcome
    if not failure.surely_not_run:
        outcome = outcomes.Outcome.UNKNOWN
    return outcomes.ErrorResponse(
        status=502,
        code='service-failed',
        message=str(failure),
        outcome=outcome,
        retry_after_s=RETRY_AFTER_S,
    )


def _passed_headers(
    headers: collections_abc.Iterable[tuple[str, str]],
    but: tuple[str, ...] = (),
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, text)
        for name, text in headers
        if name not in HOP_HEADERS and name not in but
    )
