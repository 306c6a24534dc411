"""The interface of the HTTP servers that accept callers' connections."""

import abc
import socket
import typing
from collections import abc as collections_abc

Application = collections_abc.Callable[..., typing.Any]
Stop = collections_abc.Callable[[], collections_abc.Awaitable[None]]


class CallerServer(abc.ABC):
    """Serves an ASGI application on one listening socket."""

    @abc.abstractmethod
    async def serve(
        self,
        application: Application,
        listener: socket.socket,
        graceful_timeout_s: float,
        stop: Stop,
    ) -> None:
        """Serve until stop returns, then let requests in progress finish.

        Requests still in progress after graceful_timeout_s are cancelled. The
        listener is closed as soon as stop returns.
        """
