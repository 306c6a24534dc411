"""Calls between processes over loopback sockets."""

import asyncio

import anyio
import hypothesis
from hypothesis import strategies

from redwingvalve.core import clock
from redwingvalve.wire import (
    call_errors,
    framing,
    handlers,
    messages,
    rpc,
    server,
)

Kind = call_errors.CallErrorKind


class _Claims(handlers.KeyClaimHandler):
    def __init__(self):
        self.delay_s = 0.0

    async def claim_key(self, claim):
        await anyio.sleep(self.delay_s)
        if claim.account == 'broken':
            raise ValueError('a fault')
        return messages.peer.KeyVerdict(verdict='run', detail=claim.account)

    async def report_key(self, report):
        raise NotImplementedError

    async def copy_keys(self, request):
        raise NotImplementedError


async def _started():
    handler = handlers.make_peer_handler()
    handler.key_claim_handler = _Claims()
    peer_server = server.make_peer_server(handler)
    await peer_server.start('127.0.0.1', 0)
    caller = rpc.make_peer_caller(clock.make_system_clock())
    return handler, peer_server, caller


def _claim(account):
    return messages.peer.KeyClaim(account=account)


def test_answers_reach_their_own_callers_and_faults_are_typed():
    """A call times out; the next call must not receive its late reply."""

    async def scenario():
        handler, peer_server, caller = await _started()
        address = ('127.0.0.1', peer_server.port)
        first = await caller.call(address, 'claim_key', _claim('a'))
        assert first.ok.detail == 'a'
        fault = await caller.call(address, 'claim_key', _claim('broken'))
        assert fault.error.kind is Kind.REMOTE
        handler.key_claim_handler.delay_s = 0.2
        late = await caller.call(address, 'claim_key', _claim('b'), 0.05)
        assert late.error.kind is Kind.TIMEOUT
        assert not late.error.surely_not_received
        handler.key_claim_handler.delay_s = 0.0
        after = await caller.call(address, 'claim_key', _claim('c'))
        assert after.ok.detail == 'c'
        unknown = await caller.call(address, 'exchange', b'')
        assert unknown.error.kind is Kind.REMOTE
        await peer_server.aclose()
        gone = await caller.call(address, 'claim_key', _claim('d'))
        assert gone.is_error()
        refused = await caller.call(address, 'claim_key', _claim('d'))
        assert refused.error.surely_not_received
        caller.close_idle()

    anyio.run(scenario)


def test_a_closing_server_lets_the_call_in_progress_end():
    """The server closes during a call; the caller still receives the reply."""

    async def scenario():
        handler, peer_server, caller = await _started()
        address = ('127.0.0.1', peer_server.port)
        handler.key_claim_handler.delay_s = 0.1
        answers = []

        async def ask():
            answers.append(await caller.call(address, 'claim_key', _claim('a')))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(0.05)
            await peer_server.aclose()
        assert answers[0].ok.detail == 'a'
        caller.close_idle()

    anyio.run(scenario)


def test_what_is_no_message_ends_its_own_connection_only():
    """Another protocol, a truncated or a forged message reaches the port.

    Only its connection is closed. The length in the frame header is not
    trusted, and the next caller is answered as before.
    """

    async def scenario():
        _, peer_server, caller = await _started()
        address = ('127.0.0.1', peer_server.port)
        call = framing.encode_call('claim_key', _claim('a'))
        broken = (
            b'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
            framing.LENGTH.pack(-1),
            framing.LENGTH.pack(framing.MAX_FRAME_BYTES + 1),
            framing.LENGTH.pack(len(call)) + call[:-4],
            framing.LENGTH.pack(40) + b'\xff' * 40,
        )
        for sent in broken:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(sent)
            writer.write_eof()
            assert await reader.read() == b''
            writer.close()
        after = await caller.call(address, 'claim_key', _claim('c'))
        assert after.ok.detail == 'c'
        await peer_server.aclose()
        caller.close_idle()

    anyio.run(scenario)


@hypothesis.given(strategies.binary(max_size=200))
def test_any_frame_is_read_or_refused(frame):
    try:
        assert framing.decode_call(frame) is not None
    except framing.CONNECTION_ERRORS as refused:
        assert refused is not None
