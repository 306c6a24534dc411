"""Admission in front of plain services."""

import contextlib
import itertools
from collections import abc as collections_abc

from expression import Result

from redwingvalve.admission import capacity, messages, service_calls
from redwingvalve.core import clock, outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import admission_queues, caller_request
from redwingvalve.membership import members

AdmissionResult = Result[admission_queues.Admission, outcomes.ErrorResponse]


class ServiceAdmission:
    """One queue per service, with observed call durations."""

    def __init__(
        self, membership: members.Members, time_source: clock.Clock
    ) -> None:
        """Start without observed durations."""
        self._clock = time_source
        self._durations = service_calls.CallDurations()
        self._numbers = itertools.count(1)
        self._queues = admission_queues.AdmissionQueues(
            membership, time_source, service_calls.ADMISSION_SETTINGS
        )

    @contextlib.asynccontextmanager
    async def admit(
        self,
        head: caller_request.RequestHead,
        account: schema.ClientAccount,
        service: schema.PlainService,
    ) -> collections_abc.AsyncIterator[AdmissionResult]:
        """Wait for admission, then measure the block as the call's duration."""
        request = self._admission_request(head, account, service)
        usable = capacity.make_service_capacity(service)
        async with self._queues.admit(
            service.name, usable, request
        ) as admission:
            started_s = self._clock.monotonic_s()
            yield admission
            if admission.is_ok():
                spent_s = self._clock.monotonic_s() - started_s
                spent_ms = spent_s * service_calls.MS_PER_S
                admission.ok.used_tokens = spent_ms
                self._durations.learn(
                    service.name, head.method, head.path, spent_ms
                )

    def _admission_request(
        self,
        head: caller_request.RequestHead,
        account: schema.ClientAccount,
        service: schema.PlainService,
    ) -> messages.AdmissionRequest:
        expected_ms = self._durations.expected_ms(
            service.name, head.method, head.path
        )
        allowed_s = min(head.deadline_s, service.timeout_s)
        expected_s = expected_ms / service_calls.MS_PER_S
        return messages.AdmissionRequest(
            request_id=f's{next(self._numbers)}',
            account=account.name,
            estimated_tokens=expected_ms,
            arrived_s=head.arrived_s,
            # The latest start that still allows a response in time.
            deadline_s=head.arrived_s + allowed_s - min(expected_s, allowed_s),
            priority=account.priority
            if head.priority is None
            else head.priority,
            weight=account.weight,
            penalty=account.penalty_per_missed_request,
            kind=self._durations.kind(service.name, head.method, head.path),
        )


def make_service_admission(
    membership: members.Members, time_source: clock.Clock
) -> ServiceAdmission:
    """Return the service admission of one entry."""
    return ServiceAdmission(membership, time_source)
