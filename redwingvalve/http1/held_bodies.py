"""Holds the body of an answer within a limit and the room of the process.

Load pattern: a faulty endpoint sends a body without an end to each of many
requests. Without the limit one answer fills the memory of the process; without
the account many of them together do.
"""

import anyio

from redwingvalve.http1 import answer_room, byte_account, response_limits


class OverLimitError(Exception):
    """An answer is longer than allowed, or had to give up its room."""


class HeldBody(byte_account.Holder):
    """The body of one answer; close it once it has been passed on."""

    def __init__(
        self,
        max_bytes: int,
        account: byte_account.ByteAccount = byte_account.UNLIMITED,
    ) -> None:
        """Hold at most max_bytes, counted in account."""
        self.size_bytes = 0
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._has_room = True
        self._memory = account.open(byte_account.Part.LONG_ANSWERS, self)

    def add(self, part: bytes) -> None:
        """Hold a part; raise OverLimitError if the body gets too long."""
        self.count(part)
        self._parts.append(part)

    def count(self, part: bytes) -> None:
        """Count a part of a body that isn't needed."""
        self.size_bytes += len(part)
        if self.size_bytes > self._max_bytes:
            self.close()
            raise over_limit(response_limits.Limit.BODY, self._max_bytes)

    async def wait_for_room(self) -> None:
        """Wait until the account has room for what is held.

        Raises OverLimitError if others needed the room more.
        """
        while self._has_room and not self._memory.grow_to(self.size_bytes):
            await anyio.sleep(answer_room.ROOM_INTERVAL_S)
        if not self._has_room:
            raise OverLimitError('the answer was too slow to be kept')

    def joined(self) -> bytes:
        """Return the body, and keep its bytes until it is closed."""
        self._memory.settle()
        self._parts = [b''.join(self._parts)]
        return self._parts[0]

    def moved_bytes(self) -> int:
        """Return how much has arrived."""
        return self.size_bytes

    def evict(self) -> None:
        """Give the bytes up."""
        self._has_room = False
        self._parts = []

    def close(self) -> None:
        """Hold nothing any more."""
        self._parts = []
        self._memory.release()


def over_limit(limit: response_limits.Limit, max_bytes: int) -> OverLimitError:
    """Count an answer that is too long, and return the error for it."""
    excess = response_limits.Excess(limit, max_bytes)
    response_limits.count(excess)
    return OverLimitError(f'the answer has a {excess.reason}')
