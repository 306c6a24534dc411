"""Serves callers with hypercorn; the baseline for uvicorn_server."""

import socket

import hypercorn.config

from redwingvalve.core import http_server
from redwingvalve.entry import caller_server

KEEP_ALIVE_S = 75.0
MAX_REQUESTS_PER_CONNECTION = 1_000_000


class HypercornServer(caller_server.CallerServer):
    """hypercorn without its own logs; the application logs instead."""

    async def serve(
        self,
        application: caller_server.Application,
        listener: socket.socket,
        graceful_timeout_s: float,
        stop: caller_server.Stop,
    ) -> None:
        """Serve until stop returns, then let requests in progress finish."""
        config = hypercorn.config.Config()
        config.bind = [f'fd://{listener.detach()}']
        config.graceful_timeout = graceful_timeout_s
        config.keep_alive_timeout = KEEP_ALIVE_S
        config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
        config.include_server_header = False
        config.errorlog = None
        config.accesslog = None
        await http_server.serve(application, config, stop)


def make_hypercorn_server() -> caller_server.CallerServer:
    """Return a server that uses hypercorn."""
    return HypercornServer()
