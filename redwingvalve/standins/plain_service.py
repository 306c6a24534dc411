"""A fake HTTP service with calls that may not be idempotent."""

import hashlib
import time
import typing

import anyio
import attrs

from redwingvalve.core import outcomes
from redwingvalve.standins import asgi, serving
from redwingvalve.standins import faults as fault_switches
from redwingvalve.standins import ledger as ledgers

FOREIGN_ID = 'foreign'


@attrs.define
class PlainService:
    """A service with its ledger, faults and latency.

    responses_to_drop counts calls that take effect without a response.
    """

    name: str = 'service'
    latency_s: float = 0.002
    faults: fault_switches.EngineFaults = attrs.field(
        factory=fault_switches.EngineFaults
    )
    ledger: ledgers.Ledger = attrs.field(factory=ledgers.Ledger)
    responses_to_drop: int = 0
    server: serving.StandinServer | None = None

    async def handle(self, exchange: asgi.Exchange) -> None:
        """Handle a request."""
        if exchange.path == '/ledger':
            await exchange.respond(200, self.ledger.as_json())
            return
        if exchange.path == '/faults':
            await self._fault(exchange)
            return
        while time.monotonic() < self.faults.paused_until_s:
            await anyio.sleep(0.01)
        await self._run(exchange)

    async def _fault(self, exchange: asgi.Exchange) -> None:
        if exchange.method == 'DELETE':
            self.faults = fault_switches.EngineFaults()
            self.responses_to_drop = 0
            await exchange.respond(200, {})
            return
        fault = await exchange.json_body()
        if fault['name'] == 'lose-answers':
            self.responses_to_drop = int(fault.get('count', 1))
        elif fault['name'] != 'die':
            fault_switches.set_fault(self.faults, fault, time.monotonic())
        await exchange.respond(200, {})
        if fault['name'] == 'die' and self.server is not None:
            self.server.abort()

    async def _run(self, exchange: asgi.Exchange) -> None:
        body = await exchange.body()
        request_id = exchange.header(outcomes.REQUEST_ID_HEADER, 'unnamed')
        digest = call_digest(exchange.path, body)
        entry = self.ledger.start(
            ledgers.LedgerEntry(
                request_id=request_id,
                started=time.time(),
                digest=digest,
                path=exchange.path,
                vm=self.name,
            )
        )
        marker = self.faults.poison_marker.encode()
        if marker and marker in body and self.server is not None:
            entry.cut = 'died'
            self.server.abort()
        await anyio.sleep(self.latency_s * self.faults.straggle_factor)
        entry.finished = time.time()
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            exchange.drop_connection()
        if self.faults.take_truncate():
            await exchange.start(
                200, asgi.JSON_TYPE, {'content-length': '100000'}
            )
            await exchange.chunk(b'{"half')
            exchange.drop_connection()
        if self.faults.take_crossed():
            request_id = FOREIGN_ID
        await exchange.respond(
            200,
            {
                'service': self.name,
                'path': exchange.path,
                'digest': digest,
                'request_id': request_id,
            },
            {outcomes.REQUEST_ID_HEADER: request_id},
        )


def call_digest(path: str, body: bytes) -> str:
    """Return the digest that identifies a call in the ledger."""
    return hashlib.sha256(b'|'.join((path.encode(), body))).hexdigest()[:16]


def make_plain_service_app(service: PlainService) -> typing.Any:
    """Return the ASGI app of a service."""
    return asgi.make_asgi_app(service.handle)
