"""Serves fakes with hypercorn, with support for abrupt termination.

hypercorn's own `serve` only shuts down gracefully. A dead VM resets
connections and refuses new ones, so this module owns the listening socket and
passes each accepted connection to hypercorn's connection class.
"""

import asyncio
import contextlib
import socket
import typing

import anyio
from hypercorn import config as hypercorn_config
from hypercorn import utils
from hypercorn.asyncio import tcp_server, worker_context

BACKLOG = 512
KEEP_ALIVE_S = 300.0
KEEP_ALIVE_REQUESTS = 1_000_000_000
MAX_BODY_BYTES = 16_777_216


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a bound TCP socket; port 0 selects a free port."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    bound.setblocking(False)
    return bound


def _make_config() -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = KEEP_ALIVE_REQUESTS
    return config


class StandinServer:
    """An HTTP server on one address."""

    def __init__(self, app: typing.Any, host: str, port: int) -> None:
        """Bind, so that the port is known; port 0 selects a free one."""
        self._app = utils.wrap_app(app, MAX_BODY_BYTES, 'asgi')
        self._config = _make_config()
        self._host = host
        self._socket: socket.socket | None = bind_socket(host, port)
        self.port = int(self._socket.getsockname()[1])
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._context = worker_context.WorkerContext(None)

    @property
    def address(self) -> str:
        """Return host:port."""
        return f'{self._host}:{self.port}'

    async def start(self) -> None:
        """Start listening; after an abort, on the same port."""
        if self._socket is None:
            self._socket = bind_socket(self._host, self.port)
        self._server = await asyncio.start_server(
            self._connected, sock=self._socket, backlog=BACKLOG
        )

    def abort(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self._server = None
        self._socket = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Call abort; for contextlib.closing."""
        self.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await tcp_server.TCPServer(
                self._app,
                asyncio.get_running_loop(),
                self._config,
                self._context,
                {'abort': writer.transport.abort},
                reader,
                writer,
            )
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)


async def serve(
    app: typing.Any,
    host: str,
    port: int,
    shutdown: anyio.Event | None = None,
) -> None:
    """Serve an app until shutdown is set or the task is cancelled."""
    server = StandinServer(app, host, port)
    with contextlib.closing(server):
        await server.start()
        await (shutdown or anyio.Event()).wait()
