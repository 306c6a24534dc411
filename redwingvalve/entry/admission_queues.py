"""Admission in front of a relay: one queue per deployment or service.

The policy is in the admission package; here requests wait for its decision. A
request that can't be served in time is refused at once, with a retry-after.
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

# Expired requests are refused within this time; see admission.queue.
SWEEP_INTERVAL_S = 0.05
# Jobs above this many tokens occupy their slot for half a minute or more.
LONG_JOB_TOKENS = 1024
CHARACTERS_PER_TOKEN = 4
# Decoding dominates engine time; a prompt token takes a tenth of that.
PROMPT_TOKEN_SHARE = 0.1

AdmissionRequest = messages.AdmissionRequest


@attrs.define(eq=False)
class _Waiter:
    """A waiting request; refused is set if it can't be served in time."""

    woken: anyio.Event = attrs.field(factory=anyio.Event)
    done: bool = False
    refused: messages.RefusedNow | None = None

    def call(self, refused: messages.RefusedNow | None = None) -> None:
        """End the wait with an admission or a refusal."""
        self.done = True
        self.refused = refused
        self.woken.set()


@attrs.define(eq=False)
class Admission:
    """An admitted request; reports its progress to the queue."""

    admission_queue: queue.AdmissionQueue
    request_id: str
    time_source: clock.Clock
    used_tokens: float = 0.0

    def first_token(self) -> None:
        """Report the first token."""
        self.admission_queue.first_token(
            self.request_id, self.time_source.monotonic_s()
        )


class AdmissionQueues:
    """The queues of all deployments or all services at this entry."""

    def __init__(
        self,
        membership: members.Members,
        time_source: clock.Clock,
        settings: messages.AdmissionSettings | None = None,
    ) -> None:
        """Share capacity with the entries of membership."""
        self._members = membership
        self._clock = time_source
        self._settings = settings
        self._queues: dict[str, queue.AdmissionQueue] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._sweeper: _Waiter | None = None

    @contextlib.asynccontextmanager
    async def admit(
        self, name: str, usable: messages.Capacity, request: AdmissionRequest
    ) -> collections_abc.AsyncIterator[
        Result[Admission, outcomes.ErrorResponse]
    ]:
        """Wait for admission to a deployment or service by its name.

        Leaving the block frees the capacity. usable is the capacity that this
        entry may use now.
        """
        admission_queue = self._get_queue(name, usable)
        refused = await self._wait(admission_queue, request)
        if refused is not None:
            yield Error(_refusal(refused))
            return
        admission = Admission(admission_queue, request.request_id, self._clock)
        try:
            yield Ok(admission)
        finally:
            admission_queue.finished(
                request.request_id,
                admission.used_tokens,
                self._clock.monotonic_s(),
            )
            self._admit_next(admission_queue)

    async def _wait(
        self, admission_queue: queue.AdmissionQueue, request: AdmissionRequest
    ) -> messages.RefusedNow | None:
        decision = admission_queue.offer(request, self._clock.monotonic_s())
        if isinstance(decision, messages.Admitted):
            return None
        if isinstance(decision, messages.RefusedNow):
            return decision
        waiter = _Waiter()
        self._waiters[request.request_id] = waiter
        try:
            while not waiter.done:
                await self._wait_once(waiter)
        finally:
            self._waiters.pop(request.request_id, None)
            self._hand_over_sweep(waiter)
            if not waiter.done:
                self._withdraw(admission_queue, request)
        return waiter.refused

    async def _wait_once(self, waiter: _Waiter) -> None:
        """Wait; one of all waiters also checks for expired requests.

        With a thousand requests waiting, a timer for each would cost more than
        everything else.
        """
        if self._sweeper not in (None, waiter):
            await waiter.woken.wait()
            return
        self._sweeper = waiter
        waiter.woken = anyio.Event()
        with anyio.move_on_after(SWEEP_INTERVAL_S):
            await waiter.woken.wait()
        for admission_queue in self._queues.values():
            self._sweep(admission_queue)

    def _hand_over_sweep(self, waiter: _Waiter) -> None:
        if self._sweeper is waiter:
            self._sweeper = None
            for successor in self._waiters.values():
                successor.woken.set()
                return

    def _withdraw(
        self,
        admission_queue: queue.AdmissionQueue,
        request: AdmissionRequest,
    ) -> None:
        if admission_queue.withdraw(request.request_id):
            return
        # It was already admitted, but its caller has disconnected.
        admission_queue.finished(
            request.request_id, 0.0, self._clock.monotonic_s()
        )
        self._admit_next(admission_queue)

    def _sweep(self, admission_queue: queue.AdmissionQueue) -> None:
        for refused in admission_queue.expired(self._clock.monotonic_s()):
            waiter = self._waiters.get(refused.request_id)
            if waiter is not None:
                waiter.call(refused)
        self._admit_next(admission_queue)

    def _admit_next(self, admission_queue: queue.AdmissionQueue) -> None:
        ready = admission_queue.next_ready(self._clock.monotonic_s())
        while ready is not None:
            waiter = self._waiters.get(ready.request_id)
            if waiter is not None:
                waiter.call()
            ready = admission_queue.next_ready(self._clock.monotonic_s())

    def share(self) -> float:
        """Return this entry's share of the capacity of all entries."""
        return 1 / max(len(self._members.alive()), 1)

    def _get_queue(
        self, name: str, usable: messages.Capacity
    ) -> queue.AdmissionQueue:
        admission_queue = self._queues.get(name)
        if admission_queue is None:
            admission_queue = fair_queue.make_admission_queue(
                usable, self._settings
            )
            self._queues[name] = admission_queue
        admission_queue.resize(usable, self._clock.monotonic_s())
        return admission_queue


def estimated_tokens(request: model_request.ModelRequest) -> float:
    """Return the estimated cost of a request in generated tokens."""
    prompt_tokens = len(str(request.prompt)) / CHARACTERS_PER_TOKEN
    return request.max_tokens + prompt_tokens * PROMPT_TOKEN_SHARE


def admission_request(
    request: model_request.ModelRequest, job_id: str
) -> AdmissionRequest:
    """Return the admission request of a model request."""
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
        message='the request could not be served in time',
        outcome=outcomes.Outcome.NOT_RUN,
        retry_after_s=refused.retry_after_s,
    )
