"""Hands received bytes on in short steps.

Load pattern: a peer sends thousands of small chunks, events, lines or
pipelined requests. One read holds 250 KB of them, and the loop may read many
times in a row; as one step this takes longer than callers of other requests
may wait. So bytes are handed on in pieces, in turns that all connections
share. Nothing is read meanwhile.
"""

import asyncio
import collections
import time
import typing
from collections import abc as collections_abc

from redwingvalve.http1 import read_turns

# Pieces are handed on whole: two bytes may be an event. Those after one that
# took no time are larger.
PIECE_BYTES: typing.Final = 4096
LARGE_PIECE_BYTES: typing.Final = 16_384
SHORT_PIECE_S: typing.Final = 0.0001
STEP_S: typing.Final = read_turns.TURN_S
# The loop reads again at once, up to 32 times, after a read that has filled its
# buffer. One that took this long ends its turn.
LONG_READ_S: typing.Final = 0.001


class SteppedReads(read_turns.Reader):
    """Received bytes of one connection on their way to its parser."""

    def __init__(self, feed: collections_abc.Callable[[bytes], None]) -> None:
        """Hand pieces on to feed, in order."""
        self._feed = feed
        self._transport: asyncio.Transport | None = None
        self._waiting: collections.deque[bytes] = collections.deque()
        # How much of the first of these was handed on.
        self._position = 0
        self._piece_bytes = PIECE_BYTES
        # Of the latest whole piece.
        self._byte_s = 0.0
        self._is_paused = False
        self._on_end: collections_abc.Callable[[], None] | None = None

    @property
    def has_waiting(self) -> bool:
        """Return whether received bytes haven't been handed on yet."""
        return bool(self._waiting)

    @property
    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def start(self, transport: asyncio.Transport) -> None:
        """Start with a new connection."""
        self._transport = transport

    def received(self, data: bytes) -> None:
        """Hand on as much as a step allows, the rest in later steps."""
        if len(data) <= PIECE_BYTES and self._may_pass(len(data)):
            self._hand_on(data)
            return
        if not self._waiting:
            self._piece_bytes = PIECE_BYTES
        self._waiting.append(data)
        took_s = 0.0
        if not self.is_queued and read_turns.budget().is_left:
            took_s = self._hand_on_waiting()
        if self.has_waiting or self._is_open and took_s > LONG_READ_S:
            self._continue_soon()

    def pause(self) -> None:
        """Hand nothing on, and read nothing, until resume()."""
        self._is_paused = True
        self._stop_reading()

    def resume(self) -> None:
        """Go on after pause()."""
        if not self._is_paused:
            return
        self._is_paused = False
        if self.has_waiting or self._on_end is not None:
            self._continue_soon()
        elif not self.is_queued:
            self._start_reading()

    def abort(self) -> None:
        """Close the connection and forget what wasn't handed on."""
        self._waiting.clear()
        self._position = 0
        self._on_end = None
        if self._transport is not None:
            self._transport.abort()

    def end(self, on_end: collections_abc.Callable[[], None]) -> None:
        """Call on_end once the last bytes of a lost connection are handed on.

        They and the end wait while paused, as if they weren't read yet.
        """
        self._transport = None
        if not (self.has_waiting or self._is_paused):
            on_end()
            return
        self._on_end = on_end
        self._continue_soon()

    def step(self) -> None:
        """Hand one piece on, and read on behind the last one."""
        if self._is_paused:
            # resume() asks for another turn.
            return
        if self.has_waiting:
            self._hand_on(self._take_piece())
        if self.has_waiting:
            self._continue_soon()
            return
        if not self._is_paused:
            self._start_reading()
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end()

    def _may_pass(self, size_bytes: int) -> bool:
        """Return whether a read is handed on at once, whatever others send."""
        if self._waiting or self._is_paused:
            return False
        is_short = size_bytes * self._byte_s < LONG_READ_S
        return is_short or read_turns.budget().is_left

    def _hand_on_waiting(self) -> float:
        """Return how long it took, in seconds."""
        took_s = 0.0
        while self.has_waiting and not self._is_paused and took_s <= STEP_S:
            took_s += self._hand_on(self._take_piece())
        return took_s

    def _hand_on(self, piece: bytes) -> float:
        """Return how long it took, in seconds."""
        began_s = time.monotonic()
        self._feed(piece)
        took_s = time.monotonic() - began_s
        is_short = took_s < SHORT_PIECE_S
        self._piece_bytes = LARGE_PIECE_BYTES if is_short else PIECE_BYTES
        if not is_short:
            read_turns.budget().spend(took_s)
        if len(piece) >= PIECE_BYTES:
            self._byte_s = took_s / len(piece)
        return took_s

    def _take_piece(self) -> bytes:
        data = self._waiting[0]
        begin = self._position
        self._position += self._piece_bytes
        end = self._position
        if end >= len(data):
            self._waiting.popleft()
            self._position = 0
        return data[begin:end]

    def _continue_soon(self) -> None:
        self._stop_reading()
        if not self._is_paused:
            read_turns.of_running_loop().add(self)

    def _stop_reading(self) -> None:
        if self._is_open:
            self._transport.pause_reading()

    def _start_reading(self) -> None:
        if self._is_open:
            self._transport.resume_reading()
