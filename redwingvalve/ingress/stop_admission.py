"""Decides which requests a node that has been told to stop still takes.

Load pattern: nodes are stopped in series, and some stop while no other node
takes requests. Callers then keep their connections and go on sending until the
process ends. What surely ends in time is served: another node may not be there
for seconds. The rest is refused before it is passed on, so that it hasn't run,
and told when a node will be there.
"""

import abc
import random
import time

import attrs

from redwingvalve.ingress import (
    admission_control,
    answer_durations,
    refusals,
)

# From the end of a process until the next one takes requests.
RESTART_S = 2.0
MIN_RETRY_AFTER_S = 0.1


class Successors(abc.ABC):
    """Knows which nodes take requests after this one."""

    @abc.abstractmethod
    def next_in_s(self) -> float:
        """Return the time until another node takes requests, 0 if one does."""


@attrs.define(eq=False)
class PlannedStop:
    """The stop of this node, by its monotonic clock."""

    began_s: float
    # When all requests are expected to have been answered.
    ends_s: float
    successors: Successors

    def is_in_time(
        self,
        admission: admission_control.Admission,
        expected_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a request that is sent now ends in time.

        Its deadline ends it at the latest.
        """
        latest_s = min(admission.timeout_at_s, now_s + expected_s)
        return latest_s <= self.ends_s


@attrs.define(eq=False)
class StopAdmission:
    """Admits everything until the node is told to stop."""

    planned: PlannedStop | None = None
    # By route, service and model.
    _durations: dict[tuple[str, str, str], answer_durations.AnswerDurations] = (
        attrs.field(factory=dict)
    )

    def observe(
        self, admission: admission_control.Admission, took_s: float
    ) -> None:
        """Record how long an endpoint took for a whole answer."""
        self._durations_of(admission).observe(
            took_s, admission.announced_s, time.monotonic()
        )

    def refuse_late(
        self,
        admission: admission_control.Admission,
        rng: random.Random,
        *,
        may_have_run: bool = False,
    ) -> refusals.Refusal | None:
        """Return the refusal of a request that wouldn't end in time.

        One that may have run is sent again until the end of the stop.
        """
        if self.planned is None:
            return None
        now_s = time.monotonic()
        if may_have_run:
            is_over = now_s > self.planned.ends_s
            return refusals.INCOMPLETE_ANSWER if is_over else None
        expected_s = self._durations_of(admission).expected_s(
            admission.announced_s, now_s
        )
        if self.planned.is_in_time(admission, expected_s, now_s):
            return None
        return self.refuse(rng)

    def refuse(self, rng: random.Random) -> refusals.Refusal:
        """Return the refusal of a request that isn't handled to its end."""
        if self.planned is None:
            return refusals.FAILED
        retry_after_s = max(
            MIN_RETRY_AFTER_S, self.planned.successors.next_in_s()
        )
        return attrs.evolve(
            refusals.STOPPING,
            retry_after_s=refusals.with_jitter_s(
                refusals.before_jitter_s(retry_after_s), rng
            ),
        )

    def _durations_of(
        self, admission: admission_control.Admission
    ) -> answer_durations.AnswerDurations:
        return self._durations.setdefault(
            (admission.route.name, admission.service, admission.model),
            answer_durations.AnswerDurations(),
        )
