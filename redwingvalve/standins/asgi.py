"""Minimal ASGI request handling shared by the fake services."""

import json
import time
import typing
import urllib.parse
from collections import abc as collections_abc

import attrs

Scope = dict[str, typing.Any]
Receive = collections_abc.Callable[
    [], collections_abc.Awaitable[dict[str, typing.Any]]
]
Send = collections_abc.Callable[
    [dict[str, typing.Any]], collections_abc.Awaitable[None]
]
Headers = collections_abc.Mapping[str, str]
JSON_TYPE = 'application/json'


class DroppedConnectionError(Exception):
    """The connection was aborted before a response was complete."""


@attrs.define
class Exchange:
    """An HTTP request and its response."""

    scope: Scope
    receive: Receive
    send: Send
    disconnected: bool = False
    arrived_s: float = attrs.field(factory=time.monotonic)

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return str(self.scope['method'])

    @property
    def path(self) -> str:
        """Return the path without the query string."""
        return str(self.scope['path'])

    def query(self, name: str, default: str = '') -> str:
        """Return the first value of a query parameter."""
        pairs = urllib.parse.parse_qs(self.scope['query_string'].decode())
        return pairs.get(name, [default])[0]

    def header(self, name: str, default: str = '') -> str:
        """Return a request header; name must be lower case."""
        header_name = name.encode()
        for key, text in self.scope['headers']:
            if key.lower() == header_name:
                return str(text.decode('latin-1'))
        return default

    async def body(self) -> bytes:
        """Read the complete request body."""
        parts = []
        while True:
            message = await self.receive()
            if message['type'] == 'http.disconnect':
                raise DroppedConnectionError
            parts.append(message.get('body', b''))
            if not message.get('more_body'):
                return b''.join(parts)

    async def json_body(self) -> dict[str, typing.Any]:
        """Read the body as a JSON object; ValueError if it is not one."""
        parsed = json.loads(await self.body() or b'{}')
        if not isinstance(parsed, dict):
            raise ValueError('expected a JSON object')  # noqa: TRY004
        return parsed

    async def wait_disconnect(self) -> None:
        """Wait until the client disconnects."""
        while not self.disconnected:
            message = await self.receive()
            self.disconnected = message['type'] == 'http.disconnect'

    async def start(
        self, status: int, content_type: str, headers: Headers | None = None
    ) -> None:
        """Send the status line and headers."""
        fields = [(b'content-type', content_type.encode())]
        for name, text in (headers or {}).items():
            fields.append((name.encode(), text.encode('latin-1')))
        await self.send(
            {'type': 'http.response.start', 'status': status, 'headers': fields}
        )

    async def chunk(self, part: bytes) -> None:
        """Send a part of the response body."""
        await self.send(
            {'type': 'http.response.body', 'body': part, 'more_body': True}
        )

    async def end(self) -> None:
        """End the response body."""
        await self.send({'type': 'http.response.body', 'body': b''})

    async def respond(
        self,
        status: int,
        content: typing.Any,
        headers: Headers | None = None,
    ) -> None:
        """Send a complete JSON response."""
        text = json.dumps(content).encode()
        fields = {'content-length': str(len(text)), **(headers or {})}
        await self.start(status, JSON_TYPE, fields)
        await self.send({'type': 'http.response.body', 'body': text})

    def drop_connection(self) -> typing.NoReturn:
        """Abort the connection; the response stays unsent or incomplete."""
        abort = self.scope.get('state', {}).get('abort')
        if abort is not None:
            abort()
        raise DroppedConnectionError


Handler = collections_abc.Callable[[Exchange], collections_abc.Awaitable[None]]


def make_asgi_app(
    handler: Handler,
) -> collections_abc.Callable[..., collections_abc.Awaitable[None]]:
    """Return an ASGI app that passes each HTTP request to handler."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] != 'http':
            return
        exchange = Exchange(scope, receive, send)
        try:
            await handler(exchange)
        except DroppedConnectionError:
            return
        except (ValueError, KeyError, TypeError) as error:
            await exchange.respond(
                400, {'error': {'code': 'malformed', 'message': str(error)}}
            )

    return app
