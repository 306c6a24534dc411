"""The ASGI application of an entry: authenticates and routes requests."""

import contextlib
import typing
from collections import abc as collections_abc

import anyio
import attrs
from opentelemetry import trace

from redwingvalve.core import invariants, outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import (
    account_limiter,
    accounts,
    caller_request,
    dependencies,
    load_forwarder,
    model_request,
    planned_stop,
    prefix_cache_sync,
    relay,
    request_keys,
    request_metrics,
    response_writer,
    running_requests,
    services,
)
from redwingvalve.observability import logs

LOGGER = logs.make_logger('entry')
MODELS_PATH = '/v1/models'
ENTRIES_PATH = '/v1/entries'
KEYS_PATH = '/v1/request-keys'


class EntryApp:
    """The ASGI 3 application of one entry."""

    def __init__(
        self, entry_dependencies: dependencies.EntryDependencies
    ) -> None:
        """Serve requests through entry_dependencies."""
        self._dependencies = entry_dependencies
        self._authenticator = accounts.AccountAuthenticator(
            entry_dependencies.source
        )
        self.account_limiter = account_limiter.make_account_limiter(
            entry_dependencies
        )
        self._models = relay.ModelRelay(
            entry_dependencies, self.account_limiter
        )
        self.loads = load_forwarder.make_load_forwarder(
            entry_dependencies.source,
            entry_dependencies.permits,
            self._models.selector,
            entry_dependencies.clock,
        )
        self.stall_monitor = self._models.stall_monitor
        self.cache_sync = prefix_cache_sync.make_prefix_cache_sync(
            entry_dependencies, self._models.selector
        )
        self._services = services.ServiceRelay(entry_dependencies)
        self._request_keys = _make_request_key_guard(entry_dependencies)
        self.in_progress = 0
        self.stop = planned_stop.PlannedStop()
        self.running = running_requests.RunningRequests()

    async def __call__(
        self,
        scope: caller_request.Scope,
        receive: caller_request.Receive,
        send: response_writer.Send,
    ) -> None:
        """Serve one request, or handle the server's lifespan events."""
        if scope['type'] == 'lifespan':
            await _lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        writer = response_writer.ResponseWriter(
            '', send, is_last=lambda: self.stop.has_begun
        )
        with self._recorded(writer):
            await self._handle(scope, receive, writer)

    @contextlib.contextmanager
    def _recorded(
        self, writer: response_writer.ResponseWriter
    ) -> collections_abc.Iterator[None]:
        began_s = self._dependencies.clock.monotonic_s()
        self._add_in_progress(1)
        try:
            yield
        finally:
            self._add_in_progress(-1)
            took_s = self._dependencies.clock.monotonic_s() - began_s
            request_metrics.record(self._dependencies.metrics, writer, took_s)

    def _add_in_progress(self, change: int) -> None:
        self.in_progress += change
        self._dependencies.metrics.gauge(
            request_metrics.IN_PROGRESS, self.in_progress
        )

    async def _handle(
        self,
        scope: caller_request.Scope,
        receive: caller_request.Receive,
        writer: response_writer.ResponseWriter,
    ) -> None:
        read = caller_request.read_head(
            scope,
            self._dependencies.settings,
            self._dependencies.clock.monotonic_s(),
        )
        if read.is_error():
            writer.request_id = read.error.request_id
            await writer.send_error(read.error)
            return
        head = read.ok
        writer.request_id = head.request_id
        span = self._dependencies.tracing.start_span(
            'entry request',
            head.headers,
            attributes={
                'redwingvalve.request_id': head.request_id,
                'url.path': head.path,
                'redwingvalve.entry': (
                    self._dependencies.members.local_member().name
                ),
            },
        )
        try:
            with invariants.unwrap_breaches(), self.running.track(writer):
                await self._serve(head, receive, writer, span)
        except caller_request.CallerDisconnectedError:
            span.add_event('caller gone')
        except invariants.InvariantBreachError:
            LOGGER.exception('invariant violated')
            raise
        except Exception:
            LOGGER.exception('internal error while serving a request')
            await writer.send_error(_internal_error(writer.outcome))
        finally:
            span.end()

    async def _serve(
        self,
        head: caller_request.RequestHead,
        receive: caller_request.Receive,
        writer: response_writer.ResponseWriter,
        span: trace.Span,
    ) -> None:
        if head.path == ENTRIES_PATH and head.method == 'GET':
            await self._list_entries(writer)
            return
        authenticated = self._authenticator.authenticate(head)
        if authenticated.is_error():
            await writer.send_error(authenticated.error)
            return
        if head.path == KEYS_PATH and head.method == 'POST':
            await self._issue_key(writer)
            return
        if head.path == MODELS_PATH and head.method == 'GET':
            await self._list_models(writer)
            return
        with contextlib.closing(
            caller_request.BodyReader(self._dependencies.account)
        ) as reader:
            read = await reader.read(
                receive, head, self._dependencies.settings.max_body_bytes
            )
            if read.is_error():
                await writer.send_error(read.error)
                return
            routed = self._route(head, authenticated.ok, read.ok)
            if isinstance(routed, outcomes.ErrorResponse):
                await writer.send_error(routed)
                return
            async with anyio.create_task_group() as group:
                scope = group.cancel_scope
                group.start_soon(
                    _cancel_on_disconnect, receive, scope, writer, span
                )
                await self._run_routed(routed, writer, span)
                scope.cancel()

    async def _run_routed(
        self,
        routed: 'RoutedRequest',
        writer: response_writer.ResponseWriter,
        span: trace.Span,
    ) -> None:
        """Run a request; claim its key first unless it is idempotent."""
        refusal = self._refuse(routed)
        if refusal is not None:
            span.set_attribute('redwingvalve.refused', refusal.code)
            await writer.send_error(refusal)
            return
        await self._run_claimed(routed, writer, span)
        if writer.finished and writer.outcome == outcomes.Outcome.RAN:
            now_s = self._dependencies.clock.monotonic_s()
            took_s = now_s - routed.request.head.arrived_s
            self.stop.observe(routed.kind, took_s, now_s)

    def _refuse(self, routed: 'RoutedRequest') -> outcomes.ErrorResponse | None:
        now_s = self._dependencies.clock.monotonic_s()
        late = self.stop.refuse_late(routed.kind, routed.request.head, now_s)
        return late or self.account_limiter.check_request(routed.account)

    async def _run_claimed(
        self,
        routed: 'RoutedRequest',
        writer: response_writer.ResponseWriter,
        span: trace.Span,
    ) -> None:
        if self._request_keys is None or routed.request.idempotent:
            await routed.run(routed.request, writer, span, None)
            return
        claimed = await self._request_keys.claim(
            routed.request.head, routed.account, routed.body
        )
        if claimed.is_error():
            span.set_attribute('redwingvalve.refused', claimed.error.code)
            await writer.send_error(claimed.error)
            return
        grant = claimed.ok
        try:
            await routed.run(
                routed.request,
                writer,
                span,
                lambda: self._request_keys.check(grant),
            )
        finally:
            await self._request_keys.report(grant, writer.outcome)

    def _route(
        self,
        head: caller_request.RequestHead,
        account: schema.ClientAccount,
        body: bytes,
    ) -> 'RoutedRequest | outcomes.ErrorResponse':
        current = self._dependencies.source.current()
        if head.path in model_request.PROMPT_FIELDS and head.method == 'POST':
            read = model_request.read_model_request(
                head, account, body, current
            )
            if read.is_error():
                return read.error
            refusal = accounts.check_deployment(
                account, read.ok.deployment, head
            )
            return refusal or RoutedRequest(
                self._models.run,
                read.ok,
                account,
                body,
                planned_stop.AnswerKind(
                    f'model {read.ok.deployment.name}', read.ok.max_tokens
                ),
            )
        service = services.find_service(head.path, current.services)
        if service is None:
            return outcomes.ErrorResponse(
                status=404,
                code='unknown-path',
                message=f'no route for {head.method} {head.path}',
                outcome=outcomes.Outcome.NOT_RUN,
            )
        return RoutedRequest(
            self._services.run,
            services.ServiceRequest(head, account, service, body),
            account,
            body,
            planned_stop.AnswerKind(f'service {service.name}'),
        )

    async def _issue_key(self, writer: response_writer.ResponseWriter) -> None:
        if self._request_keys is None:
            await writer.send_error(_keys_unavailable())
            return
        await writer.send_json(200, {'key': self._request_keys.issue()})

    async def _list_entries(
        self, writer: response_writer.ResponseWriter
    ) -> None:
        listed = self._dependencies.directory.entries()
        await writer.send_json(200, attrs.asdict(listed))

    async def _list_models(
        self, writer: response_writer.ResponseWriter
    ) -> None:
        names = [
            name
            for deployment in self._dependencies.source.current().deployments
            for name in (deployment.name, *deployment.adapters)
        ]
        await writer.send_json(
            200,
            {
                'object': 'list',
                'data': [
                    {'id': name, 'object': 'model', 'owned_by': 'redwingvalve'}
                    for name in names
                ],
            },
        )


@attrs.frozen
class RoutedRequest:
    """A request with the relay method that runs it."""

    run: collections_abc.Callable[..., collections_abc.Awaitable[None]]
    request: typing.Any
    account: schema.ClientAccount
    body: bytes
    kind: planned_stop.AnswerKind


async def _cancel_on_disconnect(
    receive: caller_request.Receive,
    scope: anyio.CancelScope,
    writer: response_writer.ResponseWriter,
    span: trace.Span,
) -> None:
    """Cancel the request of a caller that disconnects; frees its tokens.

    ASGI servers also send a disconnect after a complete response. It is
    ignored then: the work that follows the response must not be cancelled.
    """
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    if writer.finished:
        return
    span.add_event('caller gone')
    scope.cancel()


async def _lifespan(
    receive: caller_request.Receive, send: response_writer.Send
) -> None:
    while True:
        message = await receive()
        if message['type'] == 'lifespan.startup':
            await send({'type': 'lifespan.startup.complete'})
        if message['type'] == 'lifespan.shutdown':
            await send({'type': 'lifespan.shutdown.complete'})
            return


def _make_request_key_guard(
    entry_dependencies: dependencies.EntryDependencies,
) -> request_keys.RequestKeyGuard | None:
    if entry_dependencies.key_claims is None:
        return None
    return request_keys.RequestKeyGuard(
        entry_dependencies.key_claims, entry_dependencies.members.local_member()
    )


def _internal_error(outcome: outcomes.Outcome) -> outcomes.ErrorResponse:
    """Return the error for a request that failed inside the entry."""
    return outcomes.ErrorResponse(
        status=500,
        code='internal',
        message='internal error in the entry; see its log',
        outcome=outcome,
    )


def _keys_unavailable() -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=503,
        code='no-request-keys',
        message='this entry does not issue request keys',
        outcome=outcomes.Outcome.NOT_RUN,
    )


def make_entry_app(
    entry_dependencies: dependencies.EntryDependencies,
) -> EntryApp:
    """Return the ASGI application of one entry."""
    return EntryApp(entry_dependencies)
