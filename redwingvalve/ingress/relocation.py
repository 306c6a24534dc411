"""Moves a request away from a silent endpoint once it has a slot elsewhere.

Load pattern: a sound endpoint is silent for a second while all others are full.
A request that is ended there before it has another slot fails, although its
answer would have arrived soon.
"""

import asyncio
import time
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.ingress import (
    admission_control,
    reservations,
    slot_requests,
    stream_forwarding,
    upstream,
)
from redwingvalve.ingress import state as state_module

# Between two tries to get a slot; most silent endpoints go on within a second.
RETRY_INTERVAL_S = 0.25


@attrs.frozen
class _Move:
    request: upstream.UpstreamRequest
    tried: collections_abc.Collection[str]
    pay: collections_abc.Callable[[], bool]
    park: collections_abc.Callable[[], None]

    @property
    def has_ended(self) -> bool:
        return self.request.ended.done()

    def park_if_paid(self) -> bool:
        if self.has_ended or not self.pay():
            return False
        self.park()
        return True


class Relocation:
    """The move of one request; its slot is kept until take() or release()."""

    def __init__(
        self,
        state: state_module.IngressState,
        admission: admission_control.Admission,
        forwarder: stream_forwarding.StreamForwarder,
    ) -> None:
        """Move an admitted request whose events go to forwarder."""
        self._state = state
        self._admission = admission
        self._forwarder = forwarder
        self._reservation: reservations.Reservation | None = None

    def take(self) -> reservations.Reservation | None:
        """Return the slot that was reserved, None without one."""
        reservation = self._reservation
        self._reservation = None
        return reservation

    def release(self) -> None:
        """Release a slot that isn't needed."""
        reservation = self.take()
        if reservation is not None:
            reservation.release(reservations.ReleaseState.FREE)

    async def wait_or_move(
        self,
        request: upstream.UpstreamRequest,
        tried: collections_abc.Collection[str],
        pay: collections_abc.Callable[[], bool],
        park: collections_abc.Callable[[], None],
    ) -> upstream.Outcome:
        """Return the outcome of a silent send, STALLED once it can move.

        tried lists the endpoints to avoid; pay takes a retry from the budget;
        park ends the send as silent.
        """
        move = _Move(request, tried, pay, park)
        async with anyio.create_task_group() as group:
            group.start_soon(self._move, move)
            outcome = await upstream.wait_until(
                request, self._admission.timeout_at_s
            )
            group.cancel_scope.cancel()
        return outcome

    async def _move(self, move: _Move) -> None:
        while not await self._try_move(move):
            await anyio.sleep(RETRY_INTERVAL_S)
            if self._admission.is_stream:
                move.request.clear_stall()
                await asyncio.shield(move.request.stalled)

    async def _try_move(self, move: _Move) -> bool:
        """End the send if another one can follow; return whether it ended."""
        if self._state.reach.is_cut_off:
            # Another node will handle the request; that needs no slot.
            move.park_if_paid()
            return move.has_ended
        last_event = self._forwarder.last_event
        found = await self._find_slot(move.tried)
        if not isinstance(found, reservations.Reservation):
            return False
        self._reservation = found
        has_gone_on = self._forwarder.last_event != last_event
        if has_gone_on or not move.park_if_paid():
            self.release()
        return move.has_ended

    async def _find_slot(
        self, tried: collections_abc.Collection[str]
    ) -> reservations.Reservation | reservations.NoSlot | None:
        service = self._admission.service
        budget = self._state.retry_budget(service)
        if not budget.has_left(time.monotonic()):
            return None
        return await slot_requests.find_slot(
            self._state, self._admission, tried
        )
