"""Reads an answer as far as its reader and the account of bytes allow.

Load pattern: many callers ask for long answers at once. What doesn't fit in the
account of the process stays with the endpoints until there is room.
"""

import abc
import asyncio
import enum
import typing

from redwingvalve.http1 import byte_account, stepped_reads

# Between two looks whether there is room.
ROOM_INTERVAL_S: typing.Final = 0.05


class PauseReason(enum.Enum):
    """Why nothing is read; each reason ends by itself."""

    # The reader of the answer is slow.
    READER = 'reader'
    # Nobody waits for the answer at present.
    PARKED = 'parked'


class HeldAnswer(abc.ABC):
    """An answer of which a part is held."""

    # What it is counted with; None if it isn't counted.
    memory: byte_account.Hold | None = None
    # Bytes of it have waited unread, so that their times tell nothing.
    was_held = False

    @property
    def held_bytes(self) -> int:
        """Return how much of the body is held at present."""
        return 0


class AnswerRoom:
    """Pauses the reads of a connection while there is a reason to."""

    def __init__(self, reads: stepped_reads.SteppedReads) -> None:
        """Pause and resume these reads."""
        self._reads = reads
        self._pauses: set[PauseReason] = set()
        self._answer: HeldAnswer | None = None
        self._announced_bytes = 0
        # Received since the account was asked.
        self._uncounted_bytes = 0
        # Runs while there is no room.
        self._timer: asyncio.TimerHandle | None = None

    def start(self, answer: HeldAnswer, announced_bytes: int) -> None:
        """Take room for an answer, which may have announced its length."""
        self._answer = answer
        self._announced_bytes = announced_bytes
        self._uncounted_bytes = 0
        self.take()

    def end(self) -> None:
        """Forget the answer, and read what comes next."""
        self._answer = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._pauses.clear()
        self._reads.resume()

    def pause(self, reason: PauseReason) -> None:
        """Read nothing until resume() for the same reason."""
        self._pauses.add(reason)
        self._reads.pause()

    def resume(self, reason: PauseReason) -> None:
        """Read on as soon as there is room and no other reason not to."""
        self._pauses.discard(reason)
        self._read_on()

    def received(self, size_bytes: int) -> None:
        """Hold what has arrived, once it is enough to count."""
        self._uncounted_bytes += size_bytes
        if self._uncounted_bytes >= byte_account.GRAIN_BYTES:
            self._uncounted_bytes = 0
            self.take()

    def take(self) -> None:
        """Hold what there is of the answer, or read no more until it can."""
        if self._timer is None and not self._has_room():
            if self._answer is not None:
                self._answer.was_held = True
            self._reads.pause()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(ROOM_INTERVAL_S, self._try_again)

    def _try_again(self) -> None:
        self._timer = None
        self.take()
        self._read_on()

    def _read_on(self) -> None:
        if self._timer is None and not self._pauses:
            self._reads.resume()

    def _has_room(self) -> bool:
        answer = self._answer
        if answer is None or answer.memory is None:
            return True
        size_bytes = max(self._announced_bytes, answer.held_bytes)
        if size_bytes >= answer.memory.held_bytes:
            return answer.memory.grow_to(size_bytes)
        answer.memory.hold(size_bytes)
        return True
