"""Orders to engines over HTTP, and their state read back."""

import attrs
import cattrs
import httpx
from expression import Error, Ok, Result

from redwingvalve.platform_api import answers, engine_orders

OrderAnswer = Result[engine_orders.EngineState, engine_orders.OrderError]
StateAnswer = Result[engine_orders.EngineState, engine_orders.EngineUnreachable]


class HttpEngineOrders(engine_orders.EngineOrders):
    """Speaks to the engine at each VM's address."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Use client for all engines; each call names its own timeout."""
        self._client = client

    async def send(
        self, address: str, order: engine_orders.EngineOrder, timeout_s: float
    ) -> OrderAnswer:
        """Send an order; the answer is the state right after accepting it."""
        try:
            answer = await self._client.post(
                f'http://{address}/orders',
                json=attrs.asdict(order),
                timeout=timeout_s,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Error(_unreachable(error, surely_not_received=True))
        except httpx.HTTPError as error:
            return Error(_unreachable(error))
        if answer.status_code == answers.STATUS_CONFLICT:
            return _refused(answer)
        return _state(answer)

    async def read_state(self, address: str, timeout_s: float) -> StateAnswer:
        """Read the engine's real state; also the probe for evidence."""
        try:
            answer = await self._client.get(
                f'http://{address}/state', timeout=timeout_s
            )
        except httpx.HTTPError as error:
            return Error(_unreachable(error))
        return _state(answer)

    async def aclose(self) -> None:
        """Close connections."""
        await self._client.aclose()


def make_http_engine_orders() -> HttpEngineOrders:
    """Return a client of all engines."""
    return HttpEngineOrders(httpx.AsyncClient())


def _state(answer: httpx.Response) -> StateAnswer:
    try:
        answer.raise_for_status()
        return Ok(cattrs.structure(answer.json(), engine_orders.EngineState))
    except answers.UNREADABLE as error:
        return Error(_unreachable(error))


def _refused(answer: httpx.Response) -> OrderAnswer:
    try:
        highest = int(answer.json()['highest_fencing_number'])
    except answers.UNREADABLE as error:
        return Error(_unreachable(error))
    return Error(engine_orders.OrderRefused(highest))


def _unreachable(
    error: Exception, *, surely_not_received: bool = False
) -> engine_orders.EngineUnreachable:
    return engine_orders.EngineUnreachable(repr(error), surely_not_received)
