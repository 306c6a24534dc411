"""Counts what goes over the connections between our processes."""

import attrs
from thriftpy2.contrib.aio import socket as aio_socket


@attrs.define
class Traffic:
    """Bytes as sockets see them (under TLS before encryption), and calls."""

    sent_bytes: int = 0
    received_bytes: int = 0
    calls_made: int = 0
    calls_answered: int = 0


class CountingStream(aio_socket.StreamHandler):
    """A stream of thriftpy2 that counts its bytes."""

    def __init__(
        self, reader: object, writer: object, traffic: Traffic
    ) -> None:
        """Count into traffic."""
        super().__init__(reader, writer)
        self._traffic = traffic

    async def read(self, size_bytes: int) -> bytes:
        """Read and count."""
        chunk = await super().read(size_bytes)
        self._traffic.received_bytes += len(chunk)
        return chunk

    def write(self, chunk: bytes) -> None:
        """Write and count."""
        self._traffic.sent_bytes += len(chunk)
        super().write(chunk)
