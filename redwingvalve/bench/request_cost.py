"""Processor time of an entry for each request, beside its tokens.

Callers send one short request after the other on connections that they keep;
the engine answers at once, with a stream of one token or a whole JSON body.
"""

import asyncio
import json
import statistics
import time
import typing

import anyio
import attrs
import rich.console
import rich.table

from redwingvalve.bench import relay_cost, relay_parts

CONNECTIONS = 8
REQUESTS = 250
MEASURED = (relay_cost.OURS_HYPERCORN, relay_cost.OURS)
KINDS = (('stream of one token', True), ('short whole answer', False))
# The last bytes of a chunked body, or of the engine's JSON.
ENDS = (b'0\r\n\r\n', b'}]}')
TABLE_WIDTH = 110


@attrs.frozen
class RequestCost:
    """What a request cost; times are a caller's, from sending to the end."""

    name: str
    kind: str
    requests: int
    processor_us_per_request: float
    time_p50_ms: float
    time_p95_ms: float


class _Callers:
    """Sends requests on each connection, one after the other."""

    def __init__(self, requests: int, *, stream: bool) -> None:
        body = json.dumps(
            {'model': 'm', 'messages': [{'role': 'user'}], 'stream': stream}
        )
        self._request = (
            f'POST {relay_cost.ENGINE_PATH} HTTP/1.1\r\nhost: x\r\n'
            f'authorization: Bearer {relay_parts.CREDENTIAL}\r\n'
            f'content-length: {len(body)}\r\n\r\n{body}'
        ).encode()
        self._requests = requests
        self.times_s: list[float] = []

    async def run(self, port: int) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(CONNECTIONS):
                group.start_soon(self._call, port)

    async def _call(self, port: int) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        for _ in range(self._requests):
            began_s = time.perf_counter()
            writer.write(self._request)
            received = b''
            while not received.endswith(ENDS):
                part = await reader.read(65536)
                if not part:
                    raise RuntimeError('an answer was not whole')
                received += part
            self.times_s.append(time.perf_counter() - began_s)
        writer.close()


def measure(
    name: str, kind: str, requests: int, *, stream: bool
) -> RequestCost:
    """Send requests on each connection through one relay."""
    callers = _Callers(requests, stream=stream)
    with relay_cost.open_relay(name, 1, 0) as relay:
        anyio.run(callers.run, relay.port, backend_options={'use_uvloop': True})
        relay.end()
        sent = len(callers.times_s)
        processor_us = relay.processor_s * relay_cost.US_PER_S
    percentiles = statistics.quantiles(callers.times_s, n=20)
    return RequestCost(
        name=name,
        kind=kind,
        requests=sent,
        processor_us_per_request=processor_us / sent,
        time_p50_ms=statistics.median(callers.times_s) * relay_cost.MS_PER_S,
        time_p95_ms=percentiles[-1] * relay_cost.MS_PER_S,
    )


def measure_all(requests: int = REQUESTS) -> tuple[RequestCost, ...]:
    """Measure each kind of request through each server."""
    return tuple(
        measure(name, kind, requests, stream=stream)
        for name in MEASURED
        for kind, stream in KINDS
    )


def write_report(seed: int, output: str, stream: typing.TextIO) -> None:
    """Measure and write a table, or JSON for programs."""
    costs = measure_all()
    if output == 'json':
        stream.write(f'{json.dumps([attrs.asdict(cost) for cost in costs])}\n')
        return
    table = rich.table.Table(
        'entry', 'request', 'requests', 'processor us', 'p50 ms', 'p95 ms'
    )
    for cost in costs:
        table.add_row(
            cost.name,
            cost.kind,
            str(cost.requests),
            f'{cost.processor_us_per_request:.0f}',
            f'{cost.time_p50_ms:.2f}',
            f'{cost.time_p95_ms:.2f}',
        )
    rich.console.Console(file=stream, width=TABLE_WIDTH).print(table)
