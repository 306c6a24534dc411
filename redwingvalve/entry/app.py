"""The ASGI application of an entry: routes requests to what answers them."""

import contextlib
import typing
from collections import abc as collections_abc

import anyio
import attrs
from opentelemetry import trace

from redwingvalve.core import invariants, outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import (
    account_gate,
    accounts,
    cache_watch,
    caller,
    dependencies,
    load_watch,
    model_request,
    once,
    relay,
    request_metrics,
    responder,
    services,
)
from redwingvalve.observability import logs

LOGGER = logs.make_logger('entry')
MODELS_PATH = '/v1/models'
ENTRIES_PATH = '/v1/entries'
KEYS_PATH = '/v1/request-keys'


class EntryApp:
    """One entry; an ASGI 3 application."""

    def __init__(
        self, entry_dependencies: dependencies.EntryDependencies
    ) -> None:
        """Answer requests with entry_dependencies."""
        self._dependencies = entry_dependencies
        self._accounts = accounts.AccountBook(entry_dependencies.source)
        self.gate = account_gate.make_account_gate(entry_dependencies)
        self._models = relay.ModelRelay(entry_dependencies, self.gate)
        self.loads = load_watch.make_load_watch(
            entry_dependencies.source,
            entry_dependencies.permits,
            self._models.choice,
            entry_dependencies.clock,
        )
        self.stalls = self._models.stalls
        self.caches = cache_watch.make_cache_watch(
            entry_dependencies, self._models.choice
        )
        self._services = services.ServiceRelay(entry_dependencies)
        self._once = _make_once(entry_dependencies)
        self.in_progress = 0

    async def __call__(
        self,
        scope: caller.Scope,
        receive: caller.Receive,
        send: responder.Send,
    ) -> None:
        """Serve one request, or take part in the server's lifespan."""
        if scope['type'] == 'lifespan':
            await _lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        responds = responder.Responder('', send)
        with self._counted(responds):
            await self._answer(scope, receive, responds)

    @contextlib.contextmanager
    def _counted(
        self, responds: responder.Responder
    ) -> collections_abc.Iterator[None]:
        began_s = self._dependencies.clock.monotonic_s()
        self._count_in_progress(1)
        try:
            yield
        finally:
            self._count_in_progress(-1)
            took_s = self._dependencies.clock.monotonic_s() - began_s
            request_metrics.tell(self._dependencies.metrics, responds, took_s)

    def _count_in_progress(self, change: int) -> None:
        self.in_progress += change
        self._dependencies.metrics.gauge(
            request_metrics.IN_PROGRESS, self.in_progress
        )

    async def _answer(
        self,
        scope: caller.Scope,
        receive: caller.Receive,
        responds: responder.Responder,
    ) -> None:
        read = caller.read_head(
            scope,
            self._dependencies.settings,
            self._dependencies.clock.monotonic_s(),
        )
        if read.is_error():
            responds.request_id = read.error.request_id
            await responds.send_error(read.error)
            return
        head = read.ok
        responds.request_id = head.request_id
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
            with invariants.unwrap_breaches():
                await self._serve(head, receive, responds, span)
        except caller.CallerGoneError:
            span.add_event('caller gone')
        except invariants.InvariantBreachError:
            LOGGER.exception('an invariant was broken')
            raise
        except Exception:
            LOGGER.exception('a request failed inside the entry')
            await responds.send_error(_failed_inside(responds.outcome))
        finally:
            span.end()

    async def _serve(
        self,
        head: caller.CallerHead,
        receive: caller.Receive,
        responds: responder.Responder,
        span: trace.Span,
    ) -> None:
        if head.path == ENTRIES_PATH and head.method == 'GET':
            await self._answer_entries(responds)
            return
        found = self._accounts.authenticate(head)
        if found.is_error():
            await responds.send_error(found.error)
            return
        if head.path == KEYS_PATH and head.method == 'POST':
            await self._answer_key(responds)
            return
        if head.path == MODELS_PATH and head.method == 'GET':
            await self._answer_models(responds)
            return
        read = await caller.read_body(
            receive, head, self._dependencies.settings.max_body_bytes
        )
        if read.is_error():
            await responds.send_error(read.error)
            return
        work = self._find_work(head, found.ok, read.ok)
        if isinstance(work, outcomes.ErrorResponse):
            await responds.send_error(work)
            return
        async with anyio.create_task_group() as group:
            group.start_soon(
                _cancel_when_gone, receive, group.cancel_scope, responds, span
            )
            await self._run_work(work, responds, span)
            group.cancel_scope.cancel()

    async def _run_work(
        self, work: 'Work', responds: responder.Responder, span: trace.Span
    ) -> None:
        """Run work, under a claim of its key if it may run only once."""
        refusal = self.gate.refuse_request(work.account)
        if refusal is not None:
            span.set_attribute('redwingvalve.refused', refusal.code)
            await responds.send_error(refusal)
            return
        if self._once is None or work.request.idempotent:
            await work.run(work.request, responds, span, None)
            return
        claimed = await self._once.claim(
            work.request.head, work.account, work.body
        )
        if claimed.is_error():
            span.set_attribute('redwingvalve.refused', claimed.error.code)
            await responds.send_error(claimed.error)
            return
        grant = claimed.ok
        try:
            await work.run(
                work.request,
                responds,
                span,
                lambda: self._once.check(grant),
            )
        finally:
            await self._once.report(grant, responds.outcome)

    def _find_work(
        self,
        head: caller.CallerHead,
        account: schema.ClientAccount,
        body: bytes,
    ) -> 'Work | outcomes.ErrorResponse':
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
            return refusal or Work(self._models.run, read.ok, account, body)
        service = services.find_service(head.path, current.services)
        if service is None:
            return outcomes.ErrorResponse(
                status=404,
                code='unknown-path',
                message=f'nothing answers {head.method} {head.path}',
                outcome=outcomes.Outcome.NOT_RUN,
            )
        return Work(
            self._services.run,
            services.ServiceRequest(head, account, service, body),
            account,
            body,
        )

    async def _answer_key(self, responds: responder.Responder) -> None:
        if self._once is None:
            await responds.send_error(_no_keys())
            return
        await responds.send_json(200, {'key': self._once.issue()})

    async def _answer_entries(self, responds: responder.Responder) -> None:
        listed = self._dependencies.directory.entries()
        await responds.send_json(200, attrs.asdict(listed))

    async def _answer_models(self, responds: responder.Responder) -> None:
        names = [
            name
            for deployment in self._dependencies.source.current().deployments
            for name in (deployment.name, *deployment.adapters)
        ]
        await responds.send_json(
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
class Work:
    """A request and the relay that runs it."""

    run: collections_abc.Callable[..., collections_abc.Awaitable[None]]
    request: typing.Any
    account: schema.ClientAccount
    body: bytes


async def _cancel_when_gone(
    receive: caller.Receive,
    scope: anyio.CancelScope,
    responds: responder.Responder,
    span: trace.Span,
) -> None:
    """Cancel the work of a caller that hangs up, and free its tokens.

    Servers say the same at the end of an answer. Its caller has not gone, and
    what is done after the answer must not be cut off.
    """
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    if responds.finished:
        return
    span.add_event('caller gone')
    scope.cancel()


async def _lifespan(receive: caller.Receive, send: responder.Send) -> None:
    while True:
        message = await receive()
        if message['type'] == 'lifespan.startup':
            await send({'type': 'lifespan.startup.complete'})
        if message['type'] == 'lifespan.shutdown':
            await send({'type': 'lifespan.shutdown.complete'})
            return


def _make_once(
    entry_dependencies: dependencies.EntryDependencies,
) -> once.OnceGuard | None:
    if entry_dependencies.key_claims is None:
        return None
    return once.OnceGuard(
        entry_dependencies.key_claims, entry_dependencies.members.local_member()
    )


def _failed_inside(outcome: outcomes.Outcome) -> outcomes.ErrorResponse:
    """Return the answer to a request that met a fault of our own."""
    return outcomes.ErrorResponse(
        status=500,
        code='internal',
        message='the entry failed on this request; its log says why',
        outcome=outcome,
    )


def _no_keys() -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=503,
        code='no-request-keys',
        message='this entry issues no request keys',
        outcome=outcomes.Outcome.NOT_RUN,
    )


def make_entry_app(
    entry_dependencies: dependencies.EntryDependencies,
) -> EntryApp:
    """Return the application of one entry."""
    return EntryApp(entry_dependencies)
