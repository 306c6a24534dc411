"""Endpoints that answer an entry with a status that HTTP doesn't define."""

import anyio
import pytest

from redwingvalve.entry import aiohttp_upstream, httpx_upstream, upstream


async def send(make_upstream, status):
    """Return the response to a request, or the error."""

    async def answer(stream):
        async with stream:
            await stream.receive()
            await stream.send(
                b'HTTP/1.1 %b x\r\ncontent-length: 2\r\n\r\nok' % status
            )
            await anyio.sleep(1)

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    sender = make_upstream()
    request = upstream.UpstreamRequest(
        f'127.0.0.1:{port}', 'POST', '/a', (), b'', 'id', 2
    )
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, answer)
        try:
            found = await sender.send(request)
        except upstream.UpstreamError as error:
            found = error
        await sender.aclose()
        group.cancel_scope.cancel()
    return found


@pytest.mark.parametrize('status', [b'000', b'099', b'700'])
@pytest.mark.parametrize(
    'make_upstream',
    [
        aiohttp_upstream.make_aiohttp_upstream,
        httpx_upstream.make_httpx_upstream,
    ],
)
def test_an_undefined_status_is_no_answer(make_upstream, status):
    """The entry took it for the status of an answer."""

    async def main():
        found = await send(make_upstream, status)
        assert isinstance(found, upstream.UpstreamError)
        assert not found.not_sent

    anyio.run(main)
