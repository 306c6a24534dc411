"""Orders to engines over HTTP, and reads of their state.

These calls use aiohttp instead of httpx, since an entry probes each VM of its
share every 0.7 s, which at the planned size is 76 times a second. On a busy
machine a probe took 3.0 ms of processor time with httpx, and 0.25 ms with the
compiled parser of aiohttp (docs/CAPACITY.md). The budget of a node is 11 ms a
second.
"""

import json
import typing

import aiohttp
import attrs
import cattrs
from expression import Error, Ok, Result

from redwingvalve.http1 import held_bodies, limited_sessions
from redwingvalve.platform_api import engine_orders, http_responses

OrderResult = Result[engine_orders.EngineState, engine_orders.OrderError]
# A state names the VMs and adapters of one replica.
MAX_STATE_BYTES = 1_048_576
StateResult = Result[engine_orders.EngineState, engine_orders.EngineUnreachable]
CONNECTION_ERRORS = (
    aiohttp.ClientError,
    held_bodies.OverLimitError,
    OSError,
    TimeoutError,
)
CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
INVALID_RESPONSE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    cattrs.BaseValidationError,
)


@attrs.frozen
class _Response:
    """A response that was read completely."""

    status: int
    body: bytes


class HttpEngineOrders(engine_orders.EngineOrders):
    """Calls engines at their VMs' addresses."""

    def __init__(self) -> None:
        """Connect lazily, since a session belongs to one event loop."""
        self._session: aiohttp.ClientSession | None = None

    async def send(
        self, address: str, order: engine_orders.EngineOrder, timeout_s: float
    ) -> OrderResult:
        """Send an order; return the state right after it was accepted."""
        url = f'http://{address}/orders'
        try:
            response = await self._call(
                'POST', url, timeout_s, json=attrs.asdict(order)
            )
        except CONNECT_ERRORS as error:
            return Error(_unreachable(error, surely_not_received=True))
        except CONNECTION_ERRORS as error:
            return Error(_unreachable(error))
        if response.status == http_responses.STATUS_CONFLICT:
            return _decode_refusal(response)
        return _decode_state(response)

    async def read_state(self, address: str, timeout_s: float) -> StateResult:
        """Read the engine's actual state; also used to probe it."""
        try:
            response = await self._call(
                'GET', f'http://{address}/state', timeout_s
            )
        except CONNECTION_ERRORS as error:
            return Error(_unreachable(error))
        return _decode_state(response)

    async def aclose(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self, method: str, url: str, timeout_s: float, **more: typing.Any
    ) -> _Response:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with self._get_session().request(
            method, url, timeout=timeout, **more
        ) as response:
            body = held_bodies.HeldBody(MAX_STATE_BYTES)
            async for chunk in response.content.iter_any():
                body.add(chunk)
            return _Response(response.status, body.joined())

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = limited_sessions.make_connector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def make_http_engine_orders() -> HttpEngineOrders:
    """Return a client of all engines."""
    return HttpEngineOrders()


def _decode_state(response: _Response) -> StateResult:
    if response.status >= http_responses.STATUS_BAD_REQUEST:
        return Error(
            engine_orders.EngineUnreachable(f'HTTP status {response.status}')
        )
    try:
        return Ok(
            cattrs.structure(
                json.loads(response.body), engine_orders.EngineState
            )
        )
    except INVALID_RESPONSE_ERRORS as error:
        return Error(_unreachable(error))


def _decode_refusal(response: _Response) -> OrderResult:
    try:
        highest = int(json.loads(response.body)['highest_fencing_number'])
    except INVALID_RESPONSE_ERRORS as error:
        return Error(_unreachable(error))
    return Error(engine_orders.OrderRefused(highest))


def _unreachable(
    error: Exception, *, surely_not_received: bool = False
) -> engine_orders.EngineUnreachable:
    return engine_orders.EngineUnreachable(repr(error), surely_not_received)
