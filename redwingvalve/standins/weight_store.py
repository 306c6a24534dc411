"""A fake rate-limited weight store; it transfers no weights."""

import typing
import uuid

from redwingvalve.standins import asgi, rate_limit

TICKET_EXPIRES_AFTER_S = 30.0


class WeightStore:
    """Grants loads at a limited rate and counts them."""

    def __init__(self, loads_per_s: float, burst: float = 1.0) -> None:
        """Grant loads_per_s on average; 0 means no limit."""
        self.granted = 0
        self.refused = 0
        self._bucket = rate_limit.TokenBucket(loads_per_s, burst)

    async def handle(self, exchange: asgi.Exchange) -> None:
        """Handle POST /loads, GET /state and POST /faults (loads_per_s)."""
        if exchange.path == '/state':
            counts = {'granted': self.granted, 'refused': self.refused}
            await exchange.respond(200, counts)
            return
        body = await exchange.json_body()
        if exchange.path == '/faults':
            self._bucket = rate_limit.TokenBucket(
                float(body.get('loads_per_s', 0.0)), 1.0
            )
            await exchange.respond(200, {})
            return
        if (exchange.method, exchange.path) != ('POST', '/loads'):
            await exchange.respond(404, {'error': {'code': 'not-found'}})
            return
        await self._grant(exchange, body)

    async def _grant(
        self, exchange: asgi.Exchange, body: dict[str, typing.Any]
    ) -> None:
        wait_s = self._bucket.take()
        if wait_s:
            self.refused += 1
            await exchange.respond(
                429,
                {'error': {'code': 'over-the-rate'}},
                {'retry-after': f'{wait_s:.3f}'},
            )
            return
        self.granted += 1
        await exchange.respond(
            200,
            {
                'ticket': f'{body["model"]}-{uuid.uuid4().hex[:8]}',
                'expires_after_s': TICKET_EXPIRES_AFTER_S,
            },
        )


def make_weight_store(
    loads_per_s: float = 0.0, burst: float = 1.0
) -> tuple[typing.Any, WeightStore]:
    """Return the ASGI app and its state."""
    store = WeightStore(loads_per_s, burst)
    return asgi.make_asgi_app(store.handle), store
