"""Pool of keep-alive connections per peer."""

import asyncio
import time
import typing

from redwingvalve.core import ip_addresses
from redwingvalve.http1 import client, response_limits

# A round trip between data centres takes 3 ms; a connect that takes longer
# than this means that the peer is down or its accept queue is full.
CONNECT_TIMEOUT_S = 0.3
# Peers that send no keep-alive timeout close idle connections within seconds.
DEFAULT_KEEP_ALIVE_S = 2.0
MAX_IDLE_PER_PEER = 16

Address = tuple[str, int]
# Raised for a host or port that no socket takes.
_UNUSABLE_ADDRESS = (TypeError, ValueError, OverflowError)


class ConnectError(Exception):
    """The connection could not be established, so nothing was sent.

    was_refused: the host replied that nothing listens on the port.
    """

    def __init__(self, reason: str, was_refused: bool = False) -> None:
        """Store the reason."""
        super().__init__(reason)
        self.was_refused = was_refused


class Pool:
    """Connections by address; the most recently used idle one comes first."""

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        limits: typing.Callable[
            [], response_limits.ResponseLimits
        ] = response_limits.default_limits,
    ) -> None:
        """Create an empty pool; limits returns those of responses in force."""
        self.opened = 0
        self._limits = limits
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Address, list[client.Connection]] = {}

    def take_idle(
        self, address: Address, max_idle_s: float
    ) -> client.Connection | None:
        """Return a pooled connection idle for at most max_idle_s, or None."""
        idle = self._idle.get(address)
        now_s = time.monotonic()
        while idle:
            connection = idle.pop()
            granted_s = connection.keep_alive_s or DEFAULT_KEEP_ALIVE_S
            idle_s = now_s - connection.idle_since_s
            if connection.is_open and idle_s <= min(granted_s, max_idle_s):
                return connection
            connection.abandon()
        return None

    async def connect(self, address: Address) -> client.Connection:
        """Open a connection; raises ConnectError.

        The host is an IPv4 address: names are never looked up.
        """
        if not ip_addresses.is_ipv4(address[0]):
            raise ConnectError('not an IP address')
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: client.Connection(self._limits), *address
                )
        except ConnectionRefusedError as error:
            raise ConnectError('refused', was_refused=True) from error
        except (TimeoutError, OSError) as error:
            raise ConnectError(f'{type(error).__name__}') from error
        except _UNUSABLE_ADDRESS as error:
            raise ConnectError(f'unusable address: {error}') from error
        return connection

    async def take(
        self, address: Address, max_idle_s: float = DEFAULT_KEEP_ALIVE_S
    ) -> client.Connection:
        """Return a pooled connection or a new one; raises ConnectError."""
        idle = self.take_idle(address, max_idle_s)
        if idle is not None:
            return idle
        return await self.connect(address)

    def release_callback(self, address: Address) -> 'ReleaseCallback':
        """Return a callback that returns connections of this address."""
        return ReleaseCallback(self, address)

    def release(self, address: Address, connection: client.Connection) -> None:
        """Return a connection to the pool."""
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_PEER:
            connection.abandon()
            return
        idle.append(connection)

    def add_idle(self, address: Address, connection: client.Connection) -> None:
        """Add a connection that was opened in advance."""
        connection.idle_since_s = time.monotonic()
        self.release(address, connection)

    def forget(self, address: Address) -> None:
        """Close the idle connections to a peer that is gone."""
        for connection in self._idle.pop(address, ()):
            connection.abandon()


class ReleaseCallback:
    """Returns idle connections of one address to their pool."""

    def __init__(self, pool: Pool, address: Address) -> None:
        """Bind the callback to one address of a pool."""
        self._pool = pool
        self._address = address

    def __call__(self, connection: client.Connection) -> None:
        """Return the connection to the pool."""
        self._pool.release(self._address, connection)
