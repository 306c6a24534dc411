"""Reads all connections of a kind into one buffer.

Load pattern: the loop reads up to 256 KB from each connection that is ready,
one after the other, before what has arrived is parsed. With many connections at
once, what waits for the parser would take more memory than the process has.
"""

import abc
import asyncio


class SharedBufferProtocol(asyncio.BufferedProtocol, abc.ABC):
    """Passes on what was read into the buffer of its class."""

    # Its length bounds each read.
    read_buffer: memoryview

    @abc.abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handle bytes that were read."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the first bytes of the buffer."""
        self.data_received(bytes(self.read_buffer[:nbytes]))

    def eof_received(self) -> bool:
        """Close the transport: half-closed connections aren't used."""
        return False


def make_read_buffer(size_bytes: int) -> memoryview:
    """Return a buffer for all connections of a class."""
    return memoryview(bytearray(size_bytes))
