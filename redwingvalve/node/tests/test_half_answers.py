"""Endpoints that stop at any byte of an answer, behind one or two nodes."""

import asyncio
import itertools
import socket
import struct

import anyio
import attrs
import pytest

from redwingvalve.node.tests import endpoint_cuts
from redwingvalve.platform import names
from redwingvalve.platform.tests import fleet_harness
from redwingvalve.standins import ports

EVENTS = b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n'
ID = names.ATTEMPT_ID_HEADER
HEADERS = ID + b': %(attempt)b\r\n' + names.SEAL_HEADER + b': s.1\r\n'
LENGTH = b'Content-Length: %d\r\n\r\n' % len(EVENTS)
OK = b'HTTP/1.1 200 OK\r\n'
WHOLE = OK + HEADERS + LENGTH + EVENTS
CHUNKS = b'%x\r\n%b\r\n0\r\n\r\n' % (len(EVENTS), EVENTS)
ANSWERS = {
    'length': WHOLE,
    'chunks': OK + HEADERS + b'Transfer-Encoding: chunked\r\n\r\n' + CHUNKS,
    'interim': b'HTTP/1.1 103 Early Hints\r\n' + HEADERS + b'\r\n' + WHOLE,
    'another before': OK + ID + b': old\r\n' + LENGTH + EVENTS + WHOLE,
    'no headers': OK + b'\r\n' + EVENTS,
    # Its end without a length could as well be that of its endpoint.
    'no body': OK + HEADERS + b'\r\n',
}
REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
STEP_BYTES = 4
CALLERS = 6
LONG_BODY = b'x' * 90_000


@attrs.define(eq=False)
class CuttingEndpoint:
    """Answers one request as a whole, and the next one of a connection not."""

    address: str
    # Left to be sent: the answer, how many of its last bytes are left out, and
    # whether a reset follows.
    cuts: list = attrs.field(factory=list)
    is_early: bool = False
    made: int = 0

    async def serve(self, reader, writer):
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        if names.REPORT_PATH.encode() in head:
            writer.write(REPORT)
            return True
        fields = dict(
            line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:-2]
        )
        if not self.is_early:
            await reader.readexactly(int(fields.get(b'content-length', 0)))
        attempt = {b'attempt': fields[ID]}
        if b'/whole/' in head or not self.cuts:
            writer.write(WHOLE % attempt)
            return True
        answer, left_out, is_reset = self.cuts.pop()
        self.made += 1
        answer %= attempt
        writer.write(answer[: max(0, len(answer) - left_out)])
        await writer.drain()
        if is_reset:
            linger = struct.pack('ii', 1, 0)
            raw = writer.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False


def configuration(version=1, **more):
    plain = fleet_harness.PLAIN_SERVICE
    return fleet_harness.configuration(
        version,
        routes=[
            fleet_harness.route('whole', '/whole/', 'idempotent', plain),
            fleet_harness.route('card', '/card/', 'idempotent', plain),
            fleet_harness.route('quote', '/quote/', 'non_idempotent', plain),
            fleet_harness.route('events', '/events/', 'stream', plain),
        ],
        **more,
    )


def every_cut():
    """Return the answers with what they lack, ended by FIN and by a reset."""
    return [
        (answer, left_out, is_reset)
        for kind, answer in ANSWERS.items()
        for left_out in range(kind != 'no body', len(answer), STEP_BYTES)
        for is_reset in (False, True)
    ]


async def add_cutting_endpoint(fleet, name):
    """Start an endpoint and register it."""
    port = ports.free_ports(1)[0]
    endpoint = CuttingEndpoint(f'{ports.HOST}:{port}')
    server = await asyncio.start_server(endpoint.serve, ports.HOST, port)
    fleet.endpoints[name] = endpoint
    spec = {
        'service': fleet_harness.PLAIN_SERVICE,
        'address': endpoint.address,
        'zone': 'zone-1',
        'version': 'v1',
        'slots': 20,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': 1,
        'born': 1,
    }
    fleet.store.put(names.ENDPOINT_KIND, name, spec)
    return endpoint, server


async def ask_for_all(fleet, endpoints, body):
    """Return the answers of requests until all cuts have been made."""
    found = []
    numbers = itertools.count()
    paths = itertools.cycle(('/quote/', '/events/', '/card/'))

    async def ask():
        while any(one.cuts for one in endpoints):
            caller = fleet.caller()
            number = next(numbers)
            await caller.ask(f'/whole/{number}')
            path = f'{next(paths)}{number}'
            found.append(await caller.ask(path, body + b'%d' % number))

    async with anyio.create_task_group() as group:
        for _ in range(CALLERS):
            group.start_soon(ask)
    return found


@pytest.mark.parametrize('is_forwarded', [False, True])
@pytest.mark.parametrize('is_early', [False, True])
def test_no_part_of_an_answer_reaches_a_caller_as_a_whole_one(
    is_forwarded, is_early
):
    """Callers got a 200 with an empty or short body, framed as whole."""

    async def test(fleet):
        started = [await add_cutting_endpoint(fleet, f'c{n}') for n in (0, 1)]
        endpoints = [endpoint for endpoint, _ in started]
        await fleet.wait_until(
            lambda: all(
                len(node.table.find_targets(fleet_harness.PLAIN_SERVICE, ''))
                == len(endpoints)
                for node in fleet.nodes
            )
        )
        if is_forwarded:
            links = endpoint_cuts.NodeLinks(fleet.nodes[0], fleet.endpoints)
            links.cut(endpoint_cuts.CutMode.RESET)
        cuts = 2 * every_cut()
        for endpoint in endpoints:
            endpoint.is_early = is_early
            endpoint.cuts = cuts
        body = LONG_BODY if is_early else b'body '
        found = await ask_for_all(fleet, endpoints, body)
        assert sum(one.made for one in endpoints) == 2 * len(every_cut())
        succeeded = [one for one in found if 200 <= one.status < 300]
        whole = [one for one in succeeded if one.ending == 'whole']
        assert all(one.body == EVENTS for one in whole)
        # A stream that has begun has no other way to end.
        assert all(one.ending == 'whole' for one in found if not one.events)
        for _, server in started:
            server.close()

    fleet_harness.run(
        test,
        nodes=2 if is_forwarded else 1,
        engines=0,
        plain=0,
        version=configuration,
    )
