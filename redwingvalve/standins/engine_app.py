"""The HTTP interface of a fake engine."""

import time
import typing

import anyio
import attrs

from redwingvalve.core import outcomes
from redwingvalve.standins import (
    asgi,
    completions,
    engine,
    faults,
    generated_text,
    ledger,
    orders,
)

REPLICA_HEADER = 'x-redwingvalve-replica'
EPOCH_HEADER = 'x-redwingvalve-epoch'
COMPLETION_PATHS = ('/v1/chat/completions', '/v1/completions')
EVENT_STREAM = 'text/event-stream'
FOREIGN_ID = 'foreign'
FOREIGN_PROMPT = 'a prompt of somebody else'


class EngineApp:
    """Routes the requests to one engine."""

    def __init__(self, served: engine.Engine) -> None:
        """Serve this engine."""
        self._engine = served
        self._routes = {
            ('POST', '/v1/cancel'): self._cancel,
            ('GET', '/state'): self._state,
            ('POST', '/orders'): self._order,
            ('GET', '/load'): self._load,
            ('GET', '/cache-events'): self._cache_events,
            ('GET', '/ledger'): self._ledger,
            ('POST', '/faults'): self._fault,
            ('DELETE', '/faults'): self._clear_faults,
        }
        for path in COMPLETION_PATHS:
            self._routes['POST', path] = self._complete

    async def handle(self, exchange: asgi.Exchange) -> None:
        """Handle a request; /faults and /ledger also work while paused."""
        path = exchange.path
        if path not in {'/faults', '/ledger'}:
            await self._engine.wait_while_paused()
        if self._engine.dead or self._engine.unreachable():
            exchange.drop_connection()
        if path.startswith('/kv/'):
            await self._kv(exchange, path.removeprefix('/kv/'))
            return
        route = self._routes.get((exchange.method, path))
        if route is None:
            await exchange.respond(404, _error('not-found', path))
            return
        await route(exchange)

    async def _state(self, exchange: asgi.Exchange) -> None:
        await exchange.respond(200, attrs.asdict(self._engine.state()))

    async def _load(self, exchange: asgi.Exchange) -> None:
        sample = self._engine.load.visible(time.time())
        await exchange.respond(200, attrs.asdict(sample))

    async def _ledger(self, exchange: asgi.Exchange) -> None:
        await exchange.respond(200, self._engine.ledger.as_json())

    async def _order(self, exchange: asgi.Exchange) -> None:
        order = orders.parse_order(await exchange.json_body())
        applied = self._engine.apply(order)
        if applied.is_error():
            highest = applied.error.highest_fencing_number
            await exchange.respond(409, {'highest_fencing_number': highest})
            return
        await self._state(exchange)

    async def _cache_events(self, exchange: asgi.Exchange) -> None:
        cache = self._engine.cache
        events = cache.visible(
            int(exchange.query('after', '0')), time.monotonic()
        )
        rows = [
            {
                'number': event.number,
                'type': event.type,
                'prefix_hash': event.prefix_hash,
            }
            for event in events
        ]
        await exchange.respond(
            200, {'events': rows, 'first': cache.first_number()}
        )

    async def _cancel(self, exchange: asgi.Exchange) -> None:
        body = await exchange.json_body()
        found = self._engine.cancel(str(body['request_id']))
        await exchange.respond(200, {'cancelled': found})

    async def _kv(self, exchange: asgi.Exchange, request_id: str) -> None:
        if exchange.method == 'PUT':
            body = await exchange.json_body()
            self._engine.exported_kv[request_id] = int(body['tokens'])
            await exchange.respond(200, {})
            return
        for run in self._engine.batch.runs:
            if run.request_id == request_id:
                await exchange.respond(
                    200,
                    {
                        'request_id': request_id,
                        'tokens': run.prefilled + run.done,
                        'digest': generated_text.prompt_digest(run.prompt),
                    },
                )
                return
        await exchange.respond(404, _error('not-found', request_id))

    async def _fault(self, exchange: asgi.Exchange) -> None:
        fault = await exchange.json_body()
        if fault['name'] == 'die':
            await exchange.respond(200, {})
            self._engine.die(float(fault.get('restart_after_s', 0.0)))
            return
        if fault['name'] == 'ignore-fencing':
            self._engine.orders.ignores_fencing = True
        else:
            faults.set_fault(self._engine.faults, fault, time.monotonic())
            self._engine.record_fault()
        await exchange.respond(200, {})

    async def _clear_faults(self, exchange: asgi.Exchange) -> None:
        self._engine.faults = faults.EngineFaults()
        self._engine.orders.ignores_fencing = (
            self._engine.options.ignores_fencing
        )
        await exchange.respond(200, {})

    async def _complete(self, exchange: asgi.Exchange) -> None:
        request_id = exchange.header(outcomes.REQUEST_ID_HEADER, 'unnamed')
        request = completions.parse_request(
            exchange.path, request_id, await exchange.json_body()
        )
        refusal = self._refusal(exchange)
        if refusal:
            await exchange.respond(
                409,
                _error('wrong-replica', refusal),
                {
                    outcomes.REQUEST_ID_HEADER: request_id,
                    outcomes.OUTCOME_HEADER: outcomes.Outcome.NOT_RUN.value,
                },
            )
            return
        async with anyio.create_task_group() as group:
            responder = _CompletionResponder(self._engine, exchange, request)
            group.start_soon(responder.watch_client, group.cancel_scope)
            await responder.run()
            group.cancel_scope.cancel()

    def _refusal(self, exchange: asgi.Exchange) -> str:
        state = self._engine.state()
        replica = exchange.header(REPLICA_HEADER, state.replica)
        epoch = exchange.header(EPOCH_HEADER, str(state.epoch))
        if (replica, epoch) != (state.replica, str(state.epoch)):
            return f'this is {state.replica} epoch {state.epoch}'
        if state.role != 'head':
            return f'the role of this engine is {state.role}'
        return '' if state.ready else 'the weights are not loaded'


class _CompletionResponder:
    """Starts a run and sends its tokens to the client."""

    def __init__(
        self,
        served: engine.Engine,
        exchange: asgi.Exchange,
        request: completions.CompletionRequest,
    ) -> None:
        self._engine = served
        self._exchange = exchange
        self._request = request
        self._crossed = served.faults.take_crossed()
        self._truncated = served.faults.take_truncate()
        state = served.orders.assigned_state
        self._model = state.model
        self._version = state.version
        self._entry = served.ledger.start(
            ledger.LedgerEntry(
                request_id=request.request_id,
                started=time.time(),
                digest=generated_text.prompt_digest(request.prompt),
                epoch=state.epoch,
                replica=state.replica,
                vm=state.vm,
                path=exchange.path,
                first_token=request.resumed,
                missing_s=served.missing_at(exchange.arrived_s),
                members=state.members,
            )
        )
        self._run = served.submit(
            request.request_id,
            request.prompt,
            request.max_tokens,
            request.priority,
            request.resumed,
        )
        shown_request = request
        if self._crossed:
            shown_request = attrs.evolve(request, request_id=FOREIGN_ID)
        self._builder = completions.ResponseBuilder(shown_request, self._model)
        self._sent = request.resumed
        self._started = False

    async def watch_client(self, scope: anyio.CancelScope) -> None:
        """Cut the run when the client disconnects."""
        await self._exchange.wait_disconnect()
        self._engine.batch.cut(self._run, 'disconnected')
        scope.cancel()

    async def run(self) -> None:
        """Respond as a stream or with a full response."""
        try:
            await self._send_response()
        except asgi.DroppedConnectionError:
            # The connection was aborted, so no error can be sent.
            return
        finally:
            self._finish_ledger_entry()

    def _finish_ledger_entry(self) -> None:
        if not self._run.ended:
            self._engine.batch.cut(self._run, 'disconnected')
        self._entry.tokens = self._run.done - self._request.resumed
        self._entry.cut = self._run.cut
        self._entry.finished = time.time()

    async def _send_response(self) -> None:
        if self._request.stream:
            await self._stream()
            return
        while not self._run.ended:
            await self._run.changed.wait()
        self._drop_if_cut()
        text = ''.join(
            self._token(position)
            for position in range(self._request.resumed, self._run.max_tokens)
        )
        response = self._builder.whole(text)
        if not self._truncated:
            await self._exchange.respond(200, response, self._headers())
            return
        headers = {**self._headers(), 'content-length': '100000'}
        await self._exchange.start(200, asgi.JSON_TYPE, headers)
        await self._exchange.chunk(b'{"id": "half of')
        self._exchange.drop_connection()

    async def _stream(self) -> None:
        while True:
            await self._engine.wait_while_paused()
            while self._sent < self._run.done:
                await self._send_token()
                if self._truncated and self._sent * 2 >= self._run.max_tokens:
                    # The body ends cleanly although tokens are missing.
                    await self._exchange.end()
                    return
            if self._run.ended:
                break
            await self._run.changed.wait()
        self._drop_if_cut()
        await self._start_stream_once()
        await self._exchange.chunk(completions.DONE)
        await self._exchange.end()

    async def _send_token(self) -> None:
        await self._start_stream_once()
        last = self._sent + 1 == self._run.max_tokens
        await self._exchange.chunk(
            self._builder.chunk(self._token(self._sent), last=last)
        )
        self._sent += 1

    async def _start_stream_once(self) -> None:
        if self._started:
            return
        self._started = True
        await self._exchange.start(200, EVENT_STREAM, self._headers())

    def _drop_if_cut(self) -> None:
        if self._run.cut:
            self._exchange.drop_connection()

    def _token(self, position: int) -> str:
        prompt = FOREIGN_PROMPT if self._crossed else self._request.prompt
        return generated_text.token_text(
            prompt, self._model, self._version, position
        )

    def _headers(self) -> dict[str, str]:
        request_id = self._builder.request.request_id
        return {outcomes.REQUEST_ID_HEADER: request_id}


def _error(code: str, message: str) -> dict[str, typing.Any]:
    return {
        'error': {
            'code': code,
            'message': message,
            'outcome': outcomes.Outcome.NOT_RUN.value,
        }
    }


def make_engine_app(served: engine.Engine) -> typing.Any:
    """Return the ASGI app of an engine."""
    return asgi.make_asgi_app(EngineApp(served).handle)
