"""An entry under hypercorn before an engine, over loopback."""

import anyio
import attrs
import httpx
import pytest

from redwingvalve.configuration import snapshot
from redwingvalve.entry import app, httpx_upstream, serving
from redwingvalve.entry.tests import fakes

HEADERS = {
    'authorization': f'Bearer {fakes.CREDENTIAL}',
    'x-request-id': 'mine',
}
BODY = {'model': 'quotes', 'messages': [{'role': 'user'}], 'stream': True}


def engine(cut):
    """An engine that streams three tokens and may drop the connection."""

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


async def through_entry(cut, read):
    sockets = [serving.bind_socket('127.0.0.1') for _ in range(2)]
    entry_port, engine_port = (sock.getsockname()[1] for sock in sockets)
    member = snapshot.ReplicaMember('vm', f'127.0.0.1:{engine_port}')
    replica = attrs.evolve(fakes.replica('r1'), members=(member,))
    entry = app.make_entry_app(
        fakes.make_parts(
            httpx_upstream.make_httpx_upstream(),
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


def test_a_stream_over_http_is_whole():
    async def read(client):
        return await client.post('/v1/chat/completions', json=BODY)

    answer = anyio.run(through_entry, False, read)
    assert answer.text.count('chatcmpl-mine') == 3
    assert answer.text.endswith('data: [DONE]\n\n')


def test_a_broken_stream_has_no_clean_end():
    """The caller sees one token, an error event and then a broken body.

    The only engine drops its connection after the first token. The entry has
    no replica left to go on with, says so inside the stream, and leaves the
    chunked body without its end, so that no library takes it for whole.
    """
    parts = []

    async def read(client):
        with pytest.raises(httpx.RemoteProtocolError):
            async with client.stream(
                'POST', '/v1/chat/completions', json=BODY
            ) as answer:
                async for text in answer.aiter_text():
                    parts.append(text)

    anyio.run(through_entry, True, read)
    text = ''.join(parts)
    assert text.count('chatcmpl-mine') == 1
    assert 'event: error' in text and '[DONE]' not in text
