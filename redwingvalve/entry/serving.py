"""Serves an ASGI application with hypercorn until it is told to stop."""

import socket
from collections import abc as collections_abc

import hypercorn.config

from redwingvalve.core import http_server

KEEP_ALIVE_S = 75.0
MAX_REQUESTS_PER_CONNECTION = 1_000_000


def make_config(
    bind: str, graceful_timeout_s: float
) -> hypercorn.config.Config:
    """Return hypercorn's configuration; bind is host:port or fd://N."""
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.graceful_timeout = graceful_timeout_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    return config


async def serve(
    application: object,
    bind: str,
    graceful_timeout_s: float,
    stop: collections_abc.Callable[[], collections_abc.Awaitable[None]],
) -> None:
    """Serve until stop returns, then let requests in progress finish."""
    config = make_config(bind, graceful_timeout_s)
    await http_server.serve(application, config, stop)


def bind_socket(host: str, port: int = 0) -> socket.socket:
    """Return a listening socket, for tests that need a free port."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen()
    return listener
