"""A connection that arrives while its server closes."""

import asyncio
import socket

import anyio
import pytest

from redwingvalve.wire import framing, handlers, messages, server, traffic

# Accepting takes a few turns of the loop; the close falls into each of them.
TURNS = range(8)
# asyncio itself drops a connection that it has accepted but not yet handed
# over when the server closes, without ending it: it stays silent instead.
# The pause is no bound: a slow machine can only make a served one look silent.
SILENCE_S = 1.0
UNSERVED = (*framing.BROKEN_CONNECTION, TimeoutError)


class _Claims(handlers.KeyClaimHandler):
    async def claim_key(self, claim):
        return messages.peer.KeyVerdict(verdict='run', detail='')

    async def report_key(self, report):
        raise NotImplementedError

    async def copy_keys(self, request):
        raise NotImplementedError


@pytest.mark.parametrize('turns', TURNS)
def test_a_connection_accepted_during_the_close_is_not_served(turns):
    """A member is stopped just when a peer opens a connection to it.

    The connection is accepted, then the server closes. Were it served all the
    same, the member would go on answering exchanges, and its peers would hold
    a stopped member for alive as long as they keep the connection.
    """

    async def scenario():
        handler = handlers.make_peer_handler()
        handler.key_claim_handler = _Claims()
        peer_server = server.make_peer_server(handler)
        await peer_server.start('127.0.0.1', 0)
        address = ('127.0.0.1', peer_server.port)
        # A plain connect does not let the loop run: the server has accepted
        # nothing when the turns begin.
        with socket.create_connection(address) as connected:
            for _ in range(turns):
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
    return framing.decode_answer('claim_key', frame)
