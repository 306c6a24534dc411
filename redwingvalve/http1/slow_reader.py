"""Accounts for what a slow reader hasn't read of its answers.

Load pattern: many callers ask for long answers and read them slowly, or not at
all. The transport keeps what the kernel doesn't take.
"""

import asyncio
import typing

from redwingvalve.http1 import byte_account

# Unsent bytes above which a caller counts as a slow reader.
MAX_UNSENT_BYTES: typing.Final = 16_384


class SlowReader(byte_account.Holder):
    """The unsent bytes of one connection, while there are many."""

    def __init__(self, account: byte_account.ByteAccount) -> None:
        """Count in an account."""
        self.is_paused = False
        self._memory = account.open(byte_account.Part.LONG_ANSWERS, self)
        self._transport: asyncio.Transport | None = None
        self._paused_at_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Return what was written and not sent yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def start(self, transport: asyncio.Transport) -> None:
        """Start with a new connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    def end(self) -> None:
        """Forget a lost connection."""
        self._transport = None
        self._memory.release()

    def paused(self) -> None:
        """Count what is unsent, as there is too much of it."""
        self.is_paused = True
        self._paused_at_bytes = self.unsent_bytes
        self._memory.hold(self._paused_at_bytes)

    def resumed(self) -> None:
        """Count nothing, as most of it is sent."""
        self.is_paused = False
        self._paused_at_bytes = 0
        self._memory.release()

    def note_progress(self) -> bool:
        """Return whether anything was sent since the last call."""
        before_bytes = self._paused_at_bytes
        self._paused_at_bytes = self.unsent_bytes
        return self._paused_at_bytes < before_bytes

    def moved_bytes(self) -> int:
        """Return what the caller has read since writing was paused."""
        return self._paused_at_bytes - self.unsent_bytes

    def evict(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
