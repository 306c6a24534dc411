"""aiohttp's web server under an ASGI application, only to be weighed.

It knows no graceful stop and no ASGI; enough of both is here to relay streams.
"""

import asyncio
import http
import socket
import typing

from aiohttp import web

from redwingvalve.entry import caller_server


class AiohttpServer(caller_server.CallerServer):
    """aiohttp.web.Server with each request given to the application."""

    async def serve(
        self,
        application: caller_server.Application,
        listener: socket.socket,
        graceful_timeout_s: float,
        stop: caller_server.Stop,
    ) -> None:
        """Serve until stop returns."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            exchange = _Exchange(request)
            await application(
                _make_scope(request), exchange.receive, exchange.send
            )
            return exchange.response

        server = web.Server(handle, handler_cancellation=True, access_log=None)
        listening = await asyncio.get_running_loop().create_server(
            server, sock=listener
        )
        await stop()
        listening.close()
        await server.shutdown(graceful_timeout_s)


class _Exchange:
    """ASGI's receive and send over one request of aiohttp."""

    def __init__(self, request: web.BaseRequest) -> None:
        self.response = web.StreamResponse()
        self._request = request
        self._read = False

    async def receive(self) -> dict[str, typing.Any]:
        if self._read:
            # aiohttp cancels the handler itself when its caller has gone.
            await asyncio.Event().wait()
        self._read = True
        return {'type': 'http.request', 'body': await self._request.read()}

    async def send(self, message: dict[str, typing.Any]) -> None:
        if message['type'] == 'http.response.start':
            await self._start(message)
            return
        if message.get('body'):
            await self.response.write(message['body'])
        if not message.get('more_body', False):
            await self.response.write_eof()

    async def _start(self, message: dict[str, typing.Any]) -> None:
        status = http.HTTPStatus(message['status'])
        self.response.set_status(status, status.phrase)
        for name, text in message['headers']:
            self.response.headers[name.decode()] = text.decode()
        if self.response.content_length is None:
            self.response.enable_chunked_encoding()
        await self.response.prepare(self._request)


def _make_scope(request: web.BaseRequest) -> dict[str, typing.Any]:
    return {
        'type': 'http',
        'method': request.method,
        'path': request.path,
        'query_string': request.query_string.encode(),
        'headers': [(name.lower(), text) for name, text in request.raw_headers],
    }


def make_aiohttp_server() -> caller_server.CallerServer:
    """Return aiohttp's web server for a measurement."""
    return AiohttpServer()
