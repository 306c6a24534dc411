"""The waiting line before each plain service; admission decides."""

import contextlib
import itertools
from collections import abc as collections_abc

from expression import Result

from redwingvalve.admission import capacity, messages, service_calls
from redwingvalve.core import clock, outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import caller, waiting_room
from redwingvalve.membership import members

Waited = Result[waiting_room.Turn, outcomes.ErrorResponse]


class ServiceQueue:
    """One queue for each service, with the call times that it learned."""

    def __init__(
        self, known: members.Members, time_source: clock.Clock
    ) -> None:
        """Start with nothing known of any call."""
        self._clock = time_source
        self._times = service_calls.CallDurations()
        self._numbers = itertools.count(1)
        self._room = waiting_room.WaitingRoom(
            known, time_source, service_calls.ADMISSION_SETTINGS
        )

    @contextlib.asynccontextmanager
    async def turn(
        self,
        head: caller.CallerHead,
        account: schema.ClientAccount,
        service: schema.PlainService,
    ) -> collections_abc.AsyncIterator[Waited]:
        """Wait for a turn, and learn from the block how long a call takes."""
        asked = self._request(head, account, service)
        usable = capacity.make_service_capacity(service)
        async with self._room.admitted(service.name, usable, asked) as turn:
            began_s = self._clock.monotonic_s()
            yield turn
            if turn.is_ok():
                spent_s = self._clock.monotonic_s() - began_s
                spent_ms = spent_s * service_calls.MS_PER_S
                turn.ok.used_tokens = spent_ms
                self._times.learn(
                    service.name, head.method, head.path, spent_ms
                )

    def _request(
        self,
        head: caller.CallerHead,
        account: schema.ClientAccount,
        service: schema.PlainService,
    ) -> messages.AdmissionRequest:
        expected_ms = self._times.expected_ms(
            service.name, head.method, head.path
        )
        allowed_s = min(head.deadline_s, service.timeout_s)
        expected_s = expected_ms / service_calls.MS_PER_S
        return messages.AdmissionRequest(
            request_id=f's{next(self._numbers)}',
            account=account.name,
            estimated_tokens=expected_ms,
            arrived_s=head.arrived_s,
            # The moment by which it must begin, to be answered in time.
            deadline_s=head.arrived_s + allowed_s - min(expected_s, allowed_s),
            priority=account.priority
            if head.priority is None
            else head.priority,
            weight=account.weight,
            penalty=account.penalty_per_missed_request,
            kind=self._times.kind(service.name, head.method, head.path),
        )


def make_service_queue(
    known: members.Members, time_source: clock.Clock
) -> ServiceQueue:
    """Return the queue of one entry."""
    return ServiceQueue(known, time_source)
