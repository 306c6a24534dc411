"""Counts the unfinished event of a stream in the account of the process.

Load pattern: faulty replicas begin a long event in each of many streams and
don't end it. Each is within its limit, and all together fill the memory.
"""

import anyio

from redwingvalve.entry import response_check
from redwingvalve.http1 import answer_room, byte_account, held_bodies


class HeldEvent(byte_account.Holder):
    """What has arrived of the next event; close it after the stream."""

    def __init__(
        self,
        validator: response_check.StreamValidator,
        account: byte_account.ByteAccount,
    ) -> None:
        """Count what validator keeps in account."""
        self._validator = validator
        self._account = account
        self._has_room = True
        self._memory: byte_account.Hold | None = None

    async def wait_for_room(self) -> None:
        """Wait until the account has room for what is held.

        Raises OverLimitError if others needed the room more.
        """
        while self._has_room and not self._is_counted():
            await anyio.sleep(answer_room.ROOM_INTERVAL_S)
        self.require_room()

    def require_room(self) -> None:
        """Raise OverLimitError if others needed the room more."""
        if not self._has_room:
            raise held_bodies.OverLimitError(
                'the event was too slow to be kept'
            )

    def moved_bytes(self) -> int:
        """Return how much of the event has arrived."""
        return self._validator.pending_bytes()

    def evict(self) -> None:
        """Give the bytes up."""
        self._has_room = False
        self._validator.drop_pending()

    def close(self) -> None:
        """Count nothing any more."""
        if self._memory is not None:
            self._memory.release()
            self._memory = None

    def _is_counted(self) -> bool:
        """Return whether it is counted as it should."""
        size_bytes = self._validator.pending_bytes()
        if size_bytes <= byte_account.GRAIN_BYTES:
            self.close()
            return True
        if self._memory is None:
            self._memory = self._account.open(
                byte_account.Part.LONG_ANSWERS, self
            )
        return self._memory.grow_to(size_bytes)
