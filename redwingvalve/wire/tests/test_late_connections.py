"""Connections that arrive while the server is closing."""

import asyncio
import socket

import anyio
import pytest

from redwingvalve.wire import framing, handlers, messages, server, traffic

# Accepting takes a few iterations of the event loop; the close happens in each
# of them.
LOOP_ITERATIONS = range(8)
# When the server closes, asyncio drops a connection that it has accepted but
# not yet passed on, without closing it, so that it stays silent. On a slow
# machine a connection that is served may look silent; never the reverse.
SILENCE_S = 1.0
UNSERVED = (*framing.CONNECTION_ERRORS, TimeoutError)


class _Claims(handlers.KeyClaimHandler):
    async def claim_key(self, claim):
        return messages.peer.KeyVerdict(verdict='run', detail='')

    async def report_key(self, report):
        raise NotImplementedError

    async def copy_keys(self, request):
        raise NotImplementedError


@pytest.mark.parametrize('iterations', LOOP_ITERATIONS)
def test_a_connection_accepted_during_the_close_is_not_served(iterations):
    """A peer connects to a member that is just being stopped.

    The connection is accepted, then the server closes. If it were served, the
    stopped member would go on answering exchanges, and its peers would consider
    it alive for as long as they keep the connection.
    """

    async def scenario():
        handler = handlers.make_peer_handler()
        handler.key_claim_handler = _Claims()
        peer_server = server.make_peer_server(handler)
        await peer_server.start('127.0.0.1', 0)
        address = ('127.0.0.1', peer_server.port)
        # A blocking connect does not let the event loop run, so the server has
        # accepted nothing before the first iteration.
        with socket.create_connection(address) as connected:
            for _ in range(iterations):
                await asyncio.sleep(0)
            await peer_server.aclose()
            with pytest.raises(UNSERVED):
                await _claim_over(connected)

    anyio.run(scenario)


async def _claim_over(connected):
    reader, writer = await asyncio.open_connection(sock=connected)
    counted = traffic.Traffic()
    claim = messages.peer.KeyClaim(account='a')
    with anyio.fail_after(SILENCE_S):
        await framing.write_frame(
            writer, framing.encode_call('claim_key', claim), counted
        )
        frame = await framing.read_frame(reader, counted)
    return framing.decode_reply('claim_key', frame)
