"""Orders to engines over HTTP, and their state read back.

aiohttp, not httpx, carries these calls: an entry probes every VM of its share
each 0.7 s, at the size to come 76 times a second. In one run on a busy machine
a probe took 3.0 ms of processor time with httpx and 0.25 ms with aiohttp's
compiled reader (docs/CAPACITY.md); the budget of a node is 11 ms a second.
"""

import json
import typing

import aiohttp
import attrs
import cattrs
from expression import Error, Ok, Result

from redwingvalve.platform_api import engine_orders, http_responses

OrderAnswer = Result[engine_orders.EngineState, engine_orders.OrderError]
StateAnswer = Result[engine_orders.EngineState, engine_orders.EngineUnreachable]
BROKEN = (aiohttp.ClientError, OSError, TimeoutError)
NOT_CONNECTED = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
UNREADABLE = (ValueError, TypeError, KeyError, cattrs.BaseValidationError)


@attrs.frozen
class _Answer:
    """An answer that was read to its end."""

    status: int
    body: bytes


class HttpEngineOrders(engine_orders.EngineOrders):
    """Speaks to the engine at each VM's address."""

    def __init__(self) -> None:
        """Connect when first used, since a session belongs to one loop."""
        self._session: aiohttp.ClientSession | None = None

    async def send(
        self, address: str, order: engine_orders.EngineOrder, timeout_s: float
    ) -> OrderAnswer:
        """Send an order; the answer is the state right after accepting it."""
        url = f'http://{address}/orders'
        try:
            answer = await self._call(
                'POST', url, timeout_s, json=attrs.asdict(order)
            )
        except NOT_CONNECTED as error:
            return Error(_unreachable(error, surely_not_received=True))
        except BROKEN as error:
            return Error(_unreachable(error))
        if answer.status == http_responses.STATUS_CONFLICT:
            return _refused(answer)
        return _state(answer)

    async def read_state(self, address: str, timeout_s: float) -> StateAnswer:
        """Read the engine's real state; also the probe for evidence."""
        try:
            answer = await self._call(
                'GET', f'http://{address}/state', timeout_s
            )
        except BROKEN as error:
            return Error(_unreachable(error))
        return _state(answer)

    async def aclose(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self, method: str, url: str, timeout_s: float, **more: typing.Any
    ) -> _Answer:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with self._opened().request(
            method, url, timeout=timeout, **more
        ) as answer:
            return _Answer(answer.status, await answer.read())

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def make_http_engine_orders() -> HttpEngineOrders:
    """Return a client of all engines."""
    return HttpEngineOrders()


def _state(answer: _Answer) -> StateAnswer:
    if answer.status >= http_responses.STATUS_BAD_REQUEST:
        return Error(
            engine_orders.EngineUnreachable(f'it answered {answer.status}')
        )
    try:
        return Ok(
            cattrs.structure(json.loads(answer.body), engine_orders.EngineState)
        )
    except UNREADABLE as error:
        return Error(_unreachable(error))


def _refused(answer: _Answer) -> OrderAnswer:
    try:
        highest = int(json.loads(answer.body)['highest_fencing_number'])
    except UNREADABLE as error:
        return Error(_unreachable(error))
    return Error(engine_orders.OrderRefused(highest))


def _unreachable(
    error: Exception, *, surely_not_received: bool = False
) -> engine_orders.EngineUnreachable:
    return engine_orders.EngineUnreachable(repr(error), surely_not_received)
