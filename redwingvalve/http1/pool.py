"""Kept connections to each peer."""

import asyncio
import time

from redwingvalve.http1 import client

# A round trip between data centres takes 3 ms; a connection that isn't there
# after this has met a peer that is dark or a queue that is full.
CONNECT_TIMEOUT_S = 0.3
# Peers that state no time close idle connections after some seconds.
DEFAULT_KEEP_ALIVE_S = 2.0
MAX_IDLE_PER_PEER = 16

Address = tuple[str, int]


class ConnectError(Exception):
    """No connection was made, so that nothing was sent.

    was_refused: the host answered that nothing listens there.
    """

    def __init__(self, reason: str, was_refused: bool = False) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.was_refused = was_refused


class Pool:
    """Connections by address; the newest idle one is used first."""

    def __init__(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Start with none."""
        self.opened = 0
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Address, list[client.Connection]] = {}

    def take_idle(
        self, address: Address, max_idle_s: float
    ) -> client.Connection | None:
        """Return a kept connection that was idle for max_idle_s at most."""
        kept = self._idle.get(address)
        now_s = time.monotonic()
        while kept:
            connection = kept.pop()
            granted_s = connection.keep_alive_s or DEFAULT_KEEP_ALIVE_S
            idle_s = now_s - connection.idle_since_s
            if connection.is_open and idle_s <= min(granted_s, max_idle_s):
                return connection
            connection.abandon()
        return None

    async def connect(self, address: Address) -> client.Connection:
        """Open a connection; raises ConnectError."""
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    client.Connection, *address
                )
        except ConnectionRefusedError as error:
            raise ConnectError('refused', was_refused=True) from error
        except (TimeoutError, OSError) as error:
            raise ConnectError(f'{type(error).__name__}') from error
        return connection

    async def take(
        self, address: Address, max_idle_s: float = DEFAULT_KEEP_ALIVE_S
    ) -> client.Connection:
        """Return a kept connection or a new one; raises ConnectError."""
        kept = self.take_idle(address, max_idle_s)
        if kept is not None:
            return kept
        return await self.connect(address)

    def release_callback(self, address: Address) -> 'Keeper':
        """Return what takes back connections to this address."""
        return Keeper(self, address)

    def keep(self, address: Address, connection: client.Connection) -> None:
        """Take a connection back."""
        kept = self._idle.setdefault(address, [])
        if len(kept) >= MAX_IDLE_PER_PEER:
            connection.abandon()
            return
        kept.append(connection)

    def forget(self, address: Address) -> None:
        """Close what is idle to a peer that is gone."""
        for connection in self._idle.pop(address, ()):
            connection.abandon()


class Keeper:
    """Hands idle connections of one address back to their pool."""

    def __init__(self, pool: Pool, address: Address) -> None:
        """Serve one address of a pool."""
        self._pool = pool
        self._address = address

    def __call__(self, connection: client.Connection) -> None:
        """Take the connection back."""
        self._pool.keep(self._address, connection)
