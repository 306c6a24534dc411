"""Admission in front of a relay: one queue for each deployment or service.

The policy stands in admission; here callers wait for its word. A caller that
cannot be served in time is told so at once, with when to come back.
"""

import contextlib
from collections import abc as collections_abc

import anyio
import attrs
from expression import Error, Ok, Result

from redwingvalve.admission import fair_queue, messages, queue
from redwingvalve.core import clock, outcomes
from redwingvalve.entry import model_request
from redwingvalve.membership import members

# Expired requests are answered within this time; see admission.queue.
SWEEP_INTERVAL_S = 0.05
# Jobs beyond this many tokens hold their place for half a minute or more.
LONG_JOB_TOKENS = 1024
CHARACTERS_PER_TOKEN = 4
# Decode takes the time of an engine, a prompt token a tenth of that.
PROMPT_TOKEN_SHARE = 0.1

Asked = messages.AdmissionRequest


@attrs.define(eq=False)
class _Waiter:
    """A caller that waits for its turn; refused once it can't be in time."""

    woken: anyio.Event = attrs.field(factory=anyio.Event)
    called: bool = False
    refused: messages.RefusedNow | None = None

    def call(self, refused: messages.RefusedNow | None = None) -> None:
        """End the wait with a turn or a refusal."""
        self.called = True
        self.refused = refused
        self.woken.set()


@attrs.define(eq=False)
class Turn:
    """Leave to be sent; tells the queue what became of it."""

    room: queue.AdmissionQueue
    request_id: str
    turn_clock: clock.Clock
    used_tokens: float = 0.0

    def first_token(self) -> None:
        """Tell that the first token has come."""
        self.room.first_token(self.request_id, self.turn_clock.monotonic_s())


class WaitingRoom:
    """The queues of all deployments, or of all services, at this entry."""

    def __init__(
        self,
        known: members.Members,
        room_clock: clock.Clock,
        settings: messages.AdmissionSettings | None = None,
    ) -> None:
        """Share deployments with the entries of known."""
        self._members = known
        self._clock = room_clock
        self._settings = settings
        self._queues: dict[str, queue.AdmissionQueue] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._sweeper: _Waiter | None = None

    @contextlib.asynccontextmanager
    async def admitted(
        self, name: str, usable: messages.Capacity, asked: Asked
    ) -> collections_abc.AsyncIterator[Result[Turn, outcomes.ErrorResponse]]:
        """Wait for a turn at what is named; it is free again with the block.

        usable is what this entry may use of it now.
        """
        room = self._room(name, usable)
        refused = await self._wait(room, asked)
        if refused is not None:
            yield Error(_refusal(refused))
            return
        turn = Turn(room, asked.request_id, self._clock)
        try:
            yield Ok(turn)
        finally:
            room.finished(
                asked.request_id, turn.used_tokens, self._clock.monotonic_s()
            )
            self._call_next(room)

    async def _wait(
        self, room: queue.AdmissionQueue, asked: Asked
    ) -> messages.RefusedNow | None:
        decision = room.offer(asked, self._clock.monotonic_s())
        if isinstance(decision, messages.Admitted):
            return None
        if isinstance(decision, messages.RefusedNow):
            return decision
        waiter = _Waiter()
        self._waiters[asked.request_id] = waiter
        try:
            while not waiter.called:
                await self._wait_once(waiter)
        finally:
            self._waiters.pop(asked.request_id, None)
            self._hand_over(waiter)
            if not waiter.called:
                self._hung_up(room, asked)
        return waiter.refused

    async def _wait_once(self, waiter: _Waiter) -> None:
        """Wait; one of all waiters looks for expired requests meanwhile.

        A timer for each would cost more than all else with a thousand waiting.
        """
        if self._sweeper not in (None, waiter):
            await waiter.woken.wait()
            return
        self._sweeper = waiter
        waiter.woken = anyio.Event()
        with anyio.move_on_after(SWEEP_INTERVAL_S):
            await waiter.woken.wait()
        for room in self._queues.values():
            self._sweep(room)

    def _hand_over(self, waiter: _Waiter) -> None:
        if self._sweeper is waiter:
            self._sweeper = None
            for successor in self._waiters.values():
                successor.woken.set()
                return

    def _hung_up(
        self,
        room: queue.AdmissionQueue,
        asked: Asked,
    ) -> None:
        if room.withdraw(asked.request_id):
            return
        # Its turn had come already and nobody is left to use it.
        room.finished(asked.request_id, 0.0, self._clock.monotonic_s())
        self._call_next(room)

    def _sweep(self, room: queue.AdmissionQueue) -> None:
        for refused in room.expired(self._clock.monotonic_s()):
            waiter = self._waiters.get(refused.request_id)
            if waiter is not None:
                waiter.call(refused)
        self._call_next(room)

    def _call_next(self, room: queue.AdmissionQueue) -> None:
        ready = room.next_ready(self._clock.monotonic_s())
        while ready is not None:
            waiter = self._waiters.get(ready.request_id)
            if waiter is not None:
                waiter.call()
            ready = room.next_ready(self._clock.monotonic_s())

    def part(self) -> float:
        """Return this entry's share of what all entries use."""
        return 1 / max(len(self._members.alive()), 1)

    def _room(
        self, name: str, usable: messages.Capacity
    ) -> queue.AdmissionQueue:
        room = self._queues.get(name)
        if room is None:
            room = fair_queue.make_admission_queue(usable, self._settings)
            self._queues[name] = room
        room.resize(usable, self._clock.monotonic_s())
        return room


def estimated_tokens(request: model_request.ModelRequest) -> float:
    """Return what a request may cost, in generated tokens."""
    prompt_tokens = len(str(request.prompt)) / CHARACTERS_PER_TOKEN
    return request.max_tokens + prompt_tokens * PROMPT_TOKEN_SHARE


def admission_request(
    request: model_request.ModelRequest, job_id: str
) -> Asked:
    """Return what the queue needs to know of a request for a model."""
    target_s = (
        request.account.first_token_target_s
        or request.deployment.first_token_target_s
    )
    kind = messages.JobKind.SHORT
    if request.max_tokens > LONG_JOB_TOKENS:
        kind = messages.JobKind.LONG
    return messages.AdmissionRequest(
        request_id=job_id,
        account=request.account.name,
        estimated_tokens=estimated_tokens(request),
        arrived_s=request.head.arrived_s,
        deadline_s=request.head.arrived_s
        + min(target_s, request.head.deadline_s),
        priority=request.priority,
        weight=request.account.weight,
        penalty=request.account.penalty_per_missed_request,
        kind=kind,
    )


def _refusal(refused: messages.RefusedNow) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=429 if refused.reason != 'no-capacity' else 503,
        code=refused.reason.value,
        message='the request could not have been answered in time',
        outcome=outcomes.Outcome.NOT_RUN,
        retry_after_s=refused.retry_after_s,
    )
