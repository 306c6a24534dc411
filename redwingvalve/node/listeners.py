"""Listening sockets of a node and their connections."""

import asyncio
import socket

from redwingvalve.http1 import connection_limit, server
from redwingvalve.node import early_sockets
from redwingvalve.platform import settings

# A connection that was opened more recently may be about to be used.
MIN_IDLE_S = 1.0


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

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a response hasn't been sent to its end."""
        return any(one.reader.unsent_bytes for one in self._connections)

    def serves(self, application: server.Application) -> bool:
        """Return whether this listener's requests go to an application."""
        return self._application is application

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop listening and end the remaining connections.

        Those with a request in progress are reset.
        """
        self.stop_listening()
        self.close_idle()
        for connection in self._connections:
            if not connection.is_idle:
                connection.abort()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is arriving, or a response leaving."""
        return any(
            one.reader.unsent_bytes or not (one.is_closed or one.is_idle)
            for one in self._connections
        )

    def close_idle(self, min_idle_s: float = 0) -> None:
        """Close connections without a request for at least that long."""
        for connection in self._connections:
            connection.close_if_idle(min_idle_s)

    def _make_connection(self) -> server.ServerConnection:
        connection = server.ServerConnection(self._application)
        self._connections = [
            one for one in self._connections if not one.is_closed
        ]
        self._connections.append(connection)
        return connection


class Listeners:
    """All listening addresses of one node."""

    def __init__(
        self,
        early: early_sockets.EarlySockets,
        limits: settings.ProcessLimits,
    ) -> None:
        """Take over the sockets that are already listening.

        The connections of all applications stay below the limits.
        """
        self._listeners: list[Listener] = []
        self._early = early
        self._limits = limits

    async def serve(
        self, application: server.Application, address: settings.SocketAddress
    ) -> Listener:
        """Serve an application at an address; raises OSError."""
        if not self._of(application):
            application.connections = connection_limit.make_limit(
                int(application.socket_share * self._limits.sockets)
            )
        listener = Listener(application)
        self._listeners.append(listener)
        listening = self._early.pop(address, None)
        if listening is None:
            listening = early_sockets.listen_at(address)
        await listener.listen(listening)
        return listener

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a response hasn't been sent to its end."""
        return any(one.has_unsent_bytes for one in self._listeners)

    def stop_listening(self, application: server.Application) -> None:
        """Accept no more connections for an application."""
        for listener in self._of(application):
            listener.stop_listening()

    def is_busy(self, application: server.Application) -> bool:
        """Return whether an application's connections are in use."""
        return any(one.is_busy for one in self._of(application))

    def close_idle(self, application: server.Application) -> None:
        """Close connections of an application that seem not to be used."""
        for listener in self._of(application):
            listener.close_idle(MIN_IDLE_S)

    def _of(self, application: server.Application) -> list[Listener]:
        return [one for one in self._listeners if one.serves(application)]

    def close(self) -> None:
        """Close all listeners."""
        for listener in self._listeners:
            listener.close()
