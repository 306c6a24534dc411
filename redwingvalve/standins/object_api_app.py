"""The object API over HTTP, following Kubernetes REST conventions."""

import json
import typing

import anyio
import attrs
from expression import Result

from redwingvalve.platform_api import object_api
from redwingvalve.standins import asgi, memory_store, rate_limit

GROUP = 'redwingvalve.io/v1'
PREFIX = f'/apis/{GROUP}/'
DEFAULT_WATCH_S = 30.0


@attrs.define
class ObjectApiState:
    """The store, its rate limits and faults of the HTTP interface.

    outages is increased when an outage starts or faults are cleared, so that a
    timer ends only the outage that it was set for.
    """

    store: memory_store.MemoryObjectApi
    writes: rate_limit.TokenBucket
    reads: rate_limit.TokenBucket
    silent: bool = False
    refused: int = 0
    outages: int = 0


class ObjectApiApp:
    """Routes requests to the object API and its fault injection."""

    def __init__(self, state: ObjectApiState) -> None:
        """Serve this store."""
        self._state = state
        self._store = state.store

    async def handle(self, exchange: asgi.Exchange) -> None:
        """Handle a request."""
        if exchange.path == '/faults':
            await self._fault(exchange)
            return
        if exchange.path == '/calls':
            await exchange.respond(200, self._counts())
            return
        if not exchange.path.startswith(PREFIX):
            await _status(exchange, 404, 'NotFound', exchange.path)
            return
        kind, _, name = exchange.path.removeprefix(PREFIX).partition('/')
        if self._state.silent:
            await exchange.wait_disconnect()
            exchange.drop_connection()
        if await self._over_rate(exchange):
            return
        if exchange.method == 'GET' and exchange.query('watch'):
            await self._watch(exchange, kind)
            return
        result = await self._call(exchange, kind, name)
        await self._send_result(exchange, result)

    async def _call(
        self, exchange: asgi.Exchange, kind: str, name: str
    ) -> Result[typing.Any, object_api.ObjectError]:
        method = exchange.method
        if method == 'GET' and not name:
            return await self._store.list(kind)
        if method == 'GET':
            return await self._store.get(kind, name)
        if method == 'DELETE':
            version = exchange.query('resourceVersion')
            return await self._store.delete(kind, name, version)
        body = await exchange.json_body()
        metadata = body['metadata']
        if method == 'POST':
            return await self._store.create(
                kind, str(metadata['name']), body['spec']
            )
        if method != 'PUT':
            raise ValueError(f'{method} is not a method of this API')
        return await self._store.update(
            object_api.StoredObject(
                kind, name, str(metadata['resourceVersion']), body['spec']
            )
        )

    async def _send_result(
        self,
        exchange: asgi.Exchange,
        result: Result[typing.Any, object_api.ObjectError],
    ) -> None:
        if result.is_error():
            await _send_error(exchange, result.error)
            return
        content = result.ok
        if isinstance(content, object_api.ObjectList):
            await exchange.respond(200, _list_json(content))
            return
        status = 201 if exchange.method == 'POST' else 200
        if content is None:
            await exchange.respond(200, {'kind': 'Status', 'status': 'Success'})
            return
        await exchange.respond(status, object_json(content))

    async def _watch(self, exchange: asgi.Exchange, kind: str) -> None:
        if self._store.faults.outage:
            await _status(exchange, 503, 'ServiceUnavailable', 'outage')
            return
        duration_s = float(
            exchange.query('timeoutSeconds', str(DEFAULT_WATCH_S))
        )
        await exchange.start(200, asgi.JSON_TYPE)
        # Send the headers at once, so that the client sees the watch open.
        await exchange.chunk(b'\n')
        async with anyio.create_task_group() as group:

            async def cancel_on_disconnect() -> None:
                await exchange.wait_disconnect()
                group.cancel_scope.cancel()

            group.start_soon(cancel_on_disconnect)
            with anyio.move_on_after(duration_s):
                await self._send_events(exchange, kind)
            group.cancel_scope.cancel()
        if not exchange.disconnected:
            await exchange.end()

    async def _send_events(self, exchange: asgi.Exchange, kind: str) -> None:
        version = exchange.query('resourceVersion', '0')
        async for event in self._store.watch(kind, version):
            if event.is_ok():
                line: dict[str, typing.Any] = {
                    'type': event.ok.type,
                    'object': object_json(event.ok.stored),
                }
                await exchange.chunk(f'{json.dumps(line)}\n'.encode())
                continue
            if isinstance(event.error, object_api.Expired):
                status = _status_json(410, 'Expired', 'the version is too old')
                line = {'type': 'ERROR', 'object': status}
                await exchange.chunk(f'{json.dumps(line)}\n'.encode())

    async def _over_rate(self, exchange: asgi.Exchange) -> bool:
        bucket = self._state.writes
        if exchange.method == 'GET':
            bucket = self._state.reads
        wait_s = bucket.take()
        if not wait_s:
            return False
        self._state.refused += 1
        await _status(
            exchange,
            429,
            'TooManyRequests',
            'over the rate',
            {'retry-after': str(max(1, round(wait_s)))},
        )
        return True

    def _counts(self) -> dict[str, int]:
        counts: dict[str, int] = attrs.asdict(self._store.calls)
        return {**counts, 'refused': self._state.refused}

    async def _fault(self, exchange: asgi.Exchange) -> None:
        if exchange.method == 'DELETE':
            self.clear_faults()
            await exchange.respond(200, {})
            return
        fault = await exchange.json_body()
        name = fault['name']
        if name == 'outage':
            self._begin_outage(silent=bool(fault.get('silent', False)))
            await exchange.respond(200, {})
            await self._end_outage_after(float(fault.get('duration_s', 0.0)))
            return
        if name == 'slow':
            self._store.faults.delay_s = float(fault['delay_s'])
        elif name == 'lose-answers':
            self._store.faults.responses_to_drop = int(fault.get('count', 1))
        elif name == 'rate':
            self._state.writes = rate_limit.TokenBucket(
                float(fault.get('writes_per_s', 0.0))
            )
            self._state.reads = rate_limit.TokenBucket(
                float(fault.get('reads_per_s', 0.0))
            )
        else:
            raise ValueError(f'unknown fault {name!r}')
        await exchange.respond(200, {})

    def clear_faults(self) -> None:
        """Clear all faults but the rate limits."""
        self._state.silent = False
        self._state.outages += 1
        self._store.faults.delay_s = 0.0
        self._store.faults.responses_to_drop = 0
        self._store.set_outage(outage=False)

    def _begin_outage(self, *, silent: bool) -> None:
        self._state.outages += 1
        self._state.silent = silent
        self._store.set_outage(outage=True)

    async def _end_outage_after(self, duration_s: float) -> None:
        if not duration_s:
            return
        outage = self._state.outages
        await anyio.sleep(duration_s)
        if outage == self._state.outages:
            self.clear_faults()


def object_json(stored: object_api.StoredObject) -> dict[str, typing.Any]:
    """Return the JSON form of an object."""
    return {
        'kind': stored.kind,
        'metadata': {'name': stored.name, 'resourceVersion': stored.version},
        'spec': stored.body,
    }


def _list_json(content: object_api.ObjectList) -> dict[str, typing.Any]:
    return {
        'kind': 'List',
        'metadata': {'resourceVersion': content.version},
        'items': [object_json(stored) for stored in content.objects],
    }


def _status_json(code: int, reason: str, message: str) -> dict[str, typing.Any]:
    return {
        'kind': 'Status',
        'status': 'Failure',
        'reason': reason,
        'message': message,
        'code': code,
    }


async def _status(
    exchange: asgi.Exchange,
    code: int,
    reason: str,
    message: str,
    headers: asgi.Headers | None = None,
) -> None:
    await exchange.respond(code, _status_json(code, reason, message), headers)


async def _send_error(
    exchange: asgi.Exchange, error: object_api.ObjectError
) -> None:
    match error:
        case object_api.NotFound():
            name = f'{error.kind}/{error.name}'
            await _status(exchange, 404, 'NotFound', name)
        case object_api.Conflict():
            exists = exchange.method == 'POST'
            reason = 'AlreadyExists' if exists else 'Conflict'
            await _status(exchange, 409, reason, error.message)
        case object_api.Refused():
            await _status(exchange, 413, 'RequestEntityTooLarge', error.message)
        case object_api.Unavailable(maybe_applied=True):
            # The write took effect, but its response is dropped.
            exchange.drop_connection()
        case _:
            await _status(exchange, 503, 'ServiceUnavailable', 'outage')


def make_object_api(
    store: memory_store.MemoryObjectApi | None = None,
    writes_per_s: float = 0.0,
    reads_per_s: float = 0.0,
) -> tuple[typing.Any, ObjectApiState]:
    """Return the ASGI app and its state; a rate of 0 means no limit."""
    state = ObjectApiState(
        store or memory_store.make_memory_object_api(),
        rate_limit.TokenBucket(writes_per_s),
        rate_limit.TokenBucket(reads_per_s),
    )
    return asgi.make_asgi_app(ObjectApiApp(state).handle), state
