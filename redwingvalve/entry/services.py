"""Relays requests to plain services."""

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
    answer_body,
    caller_request,
    dependencies,
    response_check,
    response_writer,
    service_admission,
    service_suspects,
    suspects,
    upstream,
)
from redwingvalve.http1 import held_bodies
from redwingvalve.poison import channel

# RFC 9110, section 9.2.2; a POST is idempotent only if the caller states it.
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
NO_BODY_STATUSES = frozenset((204, 304))
# RFC 9110, section 7.6.1, and the headers that this hop sets itself.
HOP_BY_HOP_HEADERS = frozenset(
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

    head: caller_request.RequestHead
    account: schema.ClientAccount
    service: schema.PlainService
    body: bytes

    @property
    def idempotent(self) -> bool:
        """Return whether it may run twice; never on a non-idempotent path."""
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
    """Return the service with the longest path prefix that matches."""
    matching = [
        service
        for service in services
        if path == service.path_prefix
        or path.startswith(f'{service.path_prefix.rstrip("/")}/')
    ]
    return max(
        matching, key=lambda service: len(service.path_prefix), default=None
    )


class ServiceRelay:
    """Sends to the address with the fewest requests of this entry."""

    def __init__(
        self, entry_dependencies: dependencies.EntryDependencies
    ) -> None:
        """Relay requests through entry_dependencies."""
        self._suspects = suspects.SuspectTracker(
            entry_dependencies.members,
            entry_dependencies.news,
            entry_dependencies.clock,
            entry_dependencies.switches,
            channel.SERVICE_KEY,
        )
        self._dependencies = entry_dependencies
        self._numbers = itertools.count(1)
        self._in_flight: dict[str, int] = {}
        local_member = entry_dependencies.members.local_member()
        self._entry = f'{local_member.name}-{local_member.incarnation}-s'
        self._admission = service_admission.make_service_admission(
            entry_dependencies.members, entry_dependencies.clock
        )

    async def run(
        self,
        request: ServiceRequest,
        writer: response_writer.ResponseWriter,
        span: trace.Span,
        may_send: dependencies.MaySend | None,
    ) -> None:
        """Respond to the request by its deadline, or refuse it early."""
        async with self._admission.admit(
            request.head, request.account, request.service
        ) as admission:
            refusal = admission.error if admission.is_error() else None
            if refusal is None:
                refusal = await self._send_tracked(
                    request, writer, span, may_send or _always_allowed
                )
        if refusal is not None:
            span.set_attribute('redwingvalve.refused', refusal.code)
            await writer.send_error(refusal)

    async def _send_tracked(
        self,
        request: ServiceRequest,
        writer: response_writer.ResponseWriter,
        span: trace.Span,
        may_send: dependencies.MaySend,
    ) -> outcomes.ErrorResponse | None:
        # Checked after admission: the request may have become suspect while it
        # waited.
        with contextlib.closing(self._track(request)) as tracked_call:
            return tracked_call.refusal() or await self._send_until_complete(
                request, writer, span, may_send, tracked_call
            )

    async def _send_until_complete(
        self,
        request: ServiceRequest,
        writer: response_writer.ResponseWriter,
        span: trace.Span,
        may_send: dependencies.MaySend,
        tracked_call: service_suspects.TrackedCall,
    ) -> outcomes.ErrorResponse | None:
        tried: set[str] = set()
        refusal = _service_busy()
        address = self._choose(request.service, tried, tracked_call)
        while address is not None and may_send():
            tried.add(address)
            failure = await tracked_call.send(
                address,
                functools.partial(self._send, request, address, writer, span),
            )
            if failure is None:
                return None
            span.add_event('send failed', {'why': str(failure)})
            suspect_refusal = tracked_call.refusal_after_failure(writer.outcome)
            if suspect_refusal is not None:
                return suspect_refusal
            refusal = _failed(failure, refusal)
            address = None
            if failure.not_sent or request.idempotent:
                address = self._choose(request.service, tried, tracked_call)
        return refusal

    def _track(self, request: ServiceRequest) -> service_suspects.TrackedCall:
        head = request.head
        return service_suspects.make_tracked_call(
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
        tracked_call: service_suspects.TrackedCall,
    ) -> str | None:
        allowed = tracked_call.allowed_addresses()
        candidates = [
            address
            for address in service.addresses
            if address not in tried
            and address in allowed
            and self._in_flight.get(address, 0)
            < service.max_in_flight_per_address
        ]
        return min(
            candidates,
            key=lambda address: self._in_flight.get(address, 0),
            default=None,
        )

    async def _send(
        self,
        request: ServiceRequest,
        address: str,
        writer: response_writer.ResponseWriter,
        span: trace.Span,
    ) -> upstream.UpstreamError | None:
        previous = writer.outcome
        writer.outcome = outcomes.Outcome.UNKNOWN
        attempt_span = self._start_attempt_span(request, address, span)
        self._in_flight[address] = self._in_flight.get(address, 0) + 1
        try:
            await self._exchange(request, address, writer, attempt_span)
        except upstream.UpstreamError as error:
            if error.not_sent:
                writer.outcome = previous
            attempt_span.set_attribute('redwingvalve.failure', str(error))
            self._dependencies.metrics.count('entry.service_send_failed')
            return error
        finally:
            self._in_flight[address] -= 1
            attempt_span.end()
        return None

    def _start_attempt_span(
        self, request: ServiceRequest, address: str, span: trace.Span
    ) -> trace.Span:
        """Start the span of one attempt."""
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
        writer: response_writer.ResponseWriter,
        attempt_span: trace.Span,
    ) -> None:
        outgoing = self._build(request, address, attempt_span)
        with anyio.move_on_after(outgoing.timeout_s):
            async with self._fetch(outgoing) as (response, body):
                attempt_span.set_attribute(
                    'http.response.status_code', response.status
                )
                await writer.send_response(
                    response.status,
                    dict(response.headers).get('content-type', ''),
                    body,
                    outcomes.Outcome.RAN,
                    _forwarded_headers(response.headers, ('content-type',)),
                )
                return
        raise service_suspects.EndpointAliveError(
            'no response before the timeout', not_sent=False
        )

    @contextlib.asynccontextmanager
    async def _fetch(
        self, outgoing: upstream.UpstreamRequest
    ) -> collections_abc.AsyncIterator[tuple[upstream.UpstreamResponse, bytes]]:
        """Hold the whole response during the block."""
        response = await self._dependencies.upstream.send(outgoing)
        try:
            self._check_identity(response, outgoing)
            async with answer_body.read(response, self._dependencies) as body:
                _check_length(response, outgoing)
                yield response, body
        except held_bodies.OverLimitError as error:
            raise service_suspects.EndpointAliveError(
                str(error), not_sent=False
            ) from error
        finally:
            await self._dependencies.upstream.release(response)

    def _build(
        self, request: ServiceRequest, address: str, attempt_span: trace.Span
    ) -> upstream.UpstreamRequest:
        head = request.head
        endpoint_id = response_check.make_endpoint_id(
            head.request_id, self._entry, next(self._numbers)
        )
        attempt_span.set_attribute(
            'redwingvalve.endpoint_request_id', endpoint_id
        )
        own = {
            outcomes.REQUEST_ID_HEADER: endpoint_id,
            **self._dependencies.tracing.headers(attempt_span),
        }
        query = f'?{head.query}' if head.query else ''
        remaining_s = head.remaining_s(self._dependencies.clock.monotonic_s())
        return upstream.UpstreamRequest(
            address=address,
            method=head.method,
            path=f'{head.path}{query}',
            headers=(*_forwarded_headers(head.headers.items()), *own.items()),
            body=request.body,
            request_id=endpoint_id,
            timeout_s=max(min(remaining_s, request.service.timeout_s), 0.001),
        )

    def _check_identity(
        self,
        response: upstream.UpstreamResponse,
        outgoing: upstream.UpstreamRequest,
    ) -> None:
        identity = response_check.ResponseIdentity(outgoing.request_id, '')
        try:
            response_check.check_headers(
                response.headers, identity, self._dependencies.switches
            )
        except response_check.ResponseMismatchError as error:
            raise service_suspects.EndpointAliveError(
                str(error), not_sent=False
            ) from error


def _check_length(
    response: upstream.UpstreamResponse, outgoing: upstream.UpstreamRequest
) -> None:
    length_headers = {'content-length', 'transfer-encoding'}
    if (
        response.status not in NO_BODY_STATUSES
        and outgoing.method != 'HEAD'
        and length_headers.isdisjoint(dict(response.headers))
    ):
        # Without a length, a truncated body can't be told from a complete one.
        raise service_suspects.EndpointAliveError(
            'response without content-length or transfer-encoding',
            not_sent=False,
        )


def _always_allowed() -> bool:
    return True


def _service_busy() -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=503,
        code='service-busy',
        message='all addresses of the service are busy',
        outcome=outcomes.Outcome.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )


def _failed(
    failure: upstream.UpstreamError, previous: outcomes.ErrorResponse
) -> outcomes.ErrorResponse:
    outcome = previous.outcome
    if not failure.not_sent:
        outcome = outcomes.Outcome.UNKNOWN
    return outcomes.ErrorResponse(
        status=502,
        code='service-failed',
        message=str(failure),
        outcome=outcome,
        retry_after_s=RETRY_AFTER_S,
    )


def _forwarded_headers(
    headers: collections_abc.Iterable[tuple[str, str]],
    exclude: tuple[str, ...] = (),
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, text)
        for name, text in headers
        if name not in HOP_BY_HOP_HEADERS and name not in exclude
    )
