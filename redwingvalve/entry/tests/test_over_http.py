"""An entry and an engine on real HTTP servers, over loopback."""

import anyio
import attrs
import httpx
import pytest

from redwingvalve.configuration import snapshot
from redwingvalve.entry import (
    aiohttp_upstream,
    app,
    httpx_upstream,
    serving,
    upstream,
)
from redwingvalve.entry.tests import fakes

HEADERS = {
    'authorization': f'Bearer {fakes.CREDENTIAL}',
    'x-request-id': 'mine',
}
BODY = {'model': 'quotes', 'messages': [{'role': 'user'}], 'stream': True}


def engine(cut):
    """Return an engine that streams three tokens or disconnects after one."""

    async def application(scope, receive, send):
        if scope['type'] != 'http':
            return
        request_id = dict(scope['headers']).get(b'x-request-id', b'').decode()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'x-request-id', request_id.encode())],
            }
        )
        chunks = [fakes.event(request_id, f' t{i}') for i in (1, 2, 3)]
        for chunk in chunks[: 1 if cut else 3]:
            await send(
                {'type': 'http.response.body', 'body': chunk, 'more_body': True}
            )
        if cut:
            return
        await send({'type': 'http.response.body', 'body': b'data: [DONE]\n\n'})

    return application


async def through_entry(make_upstream, cut, read):
    sockets = [serving.bind_socket('127.0.0.1') for _ in range(2)]
    entry_port, engine_port = (sock.getsockname()[1] for sock in sockets)
    member = snapshot.ReplicaMember('vm', f'127.0.0.1:{engine_port}')
    replica = attrs.evolve(fakes.replica('r1'), members=(member,))
    entry = app.make_entry_app(
        fakes.make_dependencies(
            make_upstream(),
            source=fakes.Source(fakes.make_snapshot(replicas=(replica,))),
        )
    )
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        for application, sock in zip(
            (entry, engine(cut)), sockets, strict=True
        ):
            bind = f'fd://{sock.detach()}'
            group.start_soon(serving.serve, application, bind, 10, stop.wait)
        async with httpx.AsyncClient(
            base_url=f'http://127.0.0.1:{entry_port}',
            headers=HEADERS,
            timeout=20,
        ) as client:
            try:
                return await read(client)
            finally:
                stop.set()


UPSTREAMS = pytest.mark.parametrize(
    'make_upstream',
    [
        httpx_upstream.make_httpx_upstream,
        aiohttp_upstream.make_aiohttp_upstream,
    ],
)


@UPSTREAMS
def test_stream_over_http_is_complete(make_upstream):
    async def read(client):
        return await client.post('/v1/chat/completions', json=BODY)

    answer = anyio.run(through_entry, make_upstream, False, read)
    assert answer.text.count('chatcmpl-mine') == 3
    assert answer.text.endswith('data: [DONE]\n\n')


@UPSTREAMS
def test_broken_stream_is_not_terminated_cleanly(make_upstream):
    """The caller gets one token, an error event and a truncated body.

    The only engine disconnects after the first token, and no replica is left
    to resume at. The entry sends an error event and leaves the chunked body
    unterminated, so that no client library takes it for complete.
    """
    parts = []

    async def read(client):
        with pytest.raises(httpx.RemoteProtocolError):
            async with client.stream(
                'POST', '/v1/chat/completions', json=BODY
            ) as answer:
                async for text in answer.aiter_text():
                    parts.append(text)

    anyio.run(through_entry, make_upstream, True, read)
    text = ''.join(parts)
    assert text.count('chatcmpl-mine') == 1
    assert 'event: error' in text and '[DONE]' not in text


@UPSTREAMS
def test_only_refused_connection_counts_as_not_sent(make_upstream):
    """A refused connection means not sent; a dropped one may have run."""

    async def scenario():
        sock = serving.bind_socket('127.0.0.1')
        port = sock.getsockname()[1]
        request = upstream.UpstreamRequest(
            f'127.0.0.1:{port}', 'POST', '/x', (), b'{}', 'id', 20.0
        )
        sender = make_upstream()

        def hang_up():
            accepted, _ = sock.accept()
            accepted.recv(65536)
            accepted.close()

        async with anyio.create_task_group() as group:
            group.start_soon(anyio.to_thread.run_sync, hang_up)
            with pytest.raises(upstream.UpstreamError) as cut:
                await sender.send(request)
        sock.close()
        with pytest.raises(upstream.UpstreamError) as refused:
            await sender.send(request)
        await sender.aclose()
        return cut.value.not_sent, refused.value.not_sent

    assert anyio.run(scenario) == (False, True)
