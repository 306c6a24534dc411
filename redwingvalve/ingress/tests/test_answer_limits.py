"""Limits of answers under a configuration, over loopback."""

import asyncio

import anyio
import attrs

from redwingvalve.http1 import client, response_limits
from redwingvalve.ingress import routes, upstream
from redwingvalve.ingress import state as state_module
from redwingvalve.ingress.tests import test_routing_and_stalls

LINE = b'name: value\r\n'
LONG_HEAD = LINE * (100_000 // len(LINE))


async def answer(reader, writer):
    try:
        await reader.readuntil(b'\r\n\r\n')
        head = b'HTTP/1.1 200 OK\r\nx-attempt-id: a\r\nx-server-seal: s\r\n'
        writer.write(head + LONG_HEAD)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(b'content-length: 0\r\n\r\n')
        await reader.read()
    finally:
        # Also if the test's loop ends first.
        writer.close()


async def ask(connections, address):
    request = upstream.UpstreamRequest(b'a', lambda statement: None)
    connection = await connections.take(address)
    assert isinstance(connection, client.Connection)
    connection.send(b'GET / HTTP/1.1\r\n\r\n', request, lambda idle: None)
    with anyio.fail_after(5):
        return await request.ended, request.reason


def test_a_sound_head_keeps_the_limits_of_the_configuration():
    """A fixed limit breaks answers that repeat heads of callers."""
    configuration = attrs.evolve(
        test_routing_and_stalls.make_configuration(),
        limits=attrs.evolve(routes.DEFAULT_LIMITS, head_bytes=30_000),
    )

    async def main():
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()
        state = state_module.IngressState(None, None)
        outcome, reason = await ask(state.connections, address)
        assert outcome is upstream.Outcome.BROKEN
        assert reason == 'head over 65536 bytes'
        state.configuration = configuration
        outcome, reason = await ask(state.connections, address)
        assert (outcome, reason) == (upstream.Outcome.COMPLETE, '')
        server.close()

    anyio.run(main)


def test_limits_are_wide_of_what_callers_may_send():
    large = routes.RequestLimits(65_536, 33_554_432, 1000, 1000)
    limits = response_limits.make_limits(large.head_bytes, large.body_bytes)
    assert limits.head_bytes == 4 * large.head_bytes
    assert limits.body_bytes == 4 * large.body_bytes
    assert response_limits.make_limits(1, 1) == response_limits.DEFAULT
