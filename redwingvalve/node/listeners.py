"""Listening sockets of a node and their connections."""

import asyncio
import socket

from redwingvalve.http1 import server
from redwingvalve.node import early_sockets
from redwingvalve.platform import settings


class Listener:
    """Listens at one address and tracks its connections."""

    def __init__(self, application: server.Application) -> None:
        """Serve an application."""
        self._application = application
        self._connections: list[server.ServerConnection] = []
        self._server: asyncio.Server | None = None

    async def listen(self, listening: socket.socket) -> None:
        """Accept connections, including those already in the backlog."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, sock=listening, backlog=early_sockets.BACKLOG
        )

    def close(self) -> None:
        """Stop listening and reset the remaining connections."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.abort()

    def close_idle(self) -> None:
        """Close connections without a pending request."""
        for connection in self._connections:
            connection.close_if_idle()

    def _make_connection(self) -> server.ServerConnection:
        connection = server.ServerConnection(self._application)
        self._connections = [
            one for one in self._connections if not one.is_closed
        ]
        self._connections.append(connection)
        return connection


class Listeners:
    """All listening addresses of one node."""

    def __init__(self, early: early_sockets.EarlySockets) -> None:
        """Take over the sockets that are already listening."""
        self._listeners: list[Listener] = []
        self._early = early

    async def serve(
        self, application: server.Application, address: settings.SocketAddress
    ) -> Listener:
        """Serve an application at an address; raises OSError."""
        listener = Listener(application)
        self._listeners.append(listener)
        listening = self._early.pop(address, None)
        if listening is None:
            listening = early_sockets.listen_at(address)
        await listener.listen(listening)
        return listener

    def close(self) -> None:
        """Close all listeners."""
        for listener in self._listeners:
            listener.close()
