"""Opens a listener and serves an application on it."""

import socket

from redwingvalve.core import http_server
from redwingvalve.entry import caller_server, uvicorn_server

FD_PREFIX = 'fd://'


async def serve(
    application: caller_server.Application,
    bind: str,
    graceful_timeout_s: float,
    stop: caller_server.Stop,
    server: caller_server.CallerServer | None = None,
) -> None:
    """Serve until stop returns, then let requests in progress finish.

    bind is host:port or fd://N; raises ListenError if the address is in use.
    """
    chosen = server or uvicorn_server.make_uvicorn_server()
    await chosen.serve(
        application, _open_listener(bind), graceful_timeout_s, stop
    )


def bind_socket(host: str, port: int = 0) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    return http_server.open_listener(host, port)


def _open_listener(bind: str) -> socket.socket:
    if bind.startswith(FD_PREFIX):
        return socket.socket(fileno=int(bind.removeprefix(FD_PREFIX)))
    host, _, port = bind.rpartition(':')
    return bind_socket(host.strip('[]'), int(port))
