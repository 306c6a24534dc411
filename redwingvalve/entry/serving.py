"""Serves callers on one address until told to stop."""

import socket

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

    bind is host:port or fd://N; OSError when the address is taken.
    """
    chosen = server or uvicorn_server.make_uvicorn_server()
    await chosen.serve(
        application, _open_listener(bind), graceful_timeout_s, stop
    )


def bind_socket(host: str, port: int = 0) -> socket.socket:
    """Return a listening socket; port 0 takes a free one."""
    listener = socket.socket(_family(host))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen()
    return listener


def _open_listener(bind: str) -> socket.socket:
    if bind.startswith(FD_PREFIX):
        return socket.socket(fileno=int(bind.removeprefix(FD_PREFIX)))
    host, _, port = bind.rpartition(':')
    return bind_socket(host.strip('[]'), int(port))


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ':' in host else socket.AF_INET
