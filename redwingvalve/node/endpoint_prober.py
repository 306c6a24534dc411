"""Asks endpoints what they belong to, without mistaking own trouble for loss.

Load pattern: after an outage of the store a new holder of the lease has some
sixty replicas of two hundred endpoints to ask, on half a core and a link of
10 Mbit/s. Asked all at once, the answers come later than the timeout, and
every replica looks lost; closing them then cuts the whole fleet off. So few
are asked at once, and while many of the last questions had no answer, those
are asked again before they count.
"""

import collections
import time
import typing

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints
from redwingvalve.platform import endpoint_orders

# Questions on the way at the same moment. Each takes about a millisecond of
# half a core, so that all are answered well within the timeout of 200 ms.
ASKED_AT_ONCE = 32
# The last questions that are looked at, and how many of them may lack an
# answer: a lost replica of eight lacks eight at most.
LOOKED_AT = 24
DOUBT_UNANSWERED = 10
# Questions that were asked together end together: the first that has no answer
# is judged with the others.
DOUBT_LOOK_S = 0.02
# Older answers say nothing about the path now.
DOUBT_WINDOW_S = 1.0
# Doubt outlasts the answers that end it: those that were lost just before are
# still to be judged.
DOUBT_MEMORY_S = 0.3
# Before questions are repeated: a queue on the own link drains meanwhile.
DOUBT_PAUSE_S = 0.3
# An answer that is this much later than its timeout was held up with the whole
# process.
HELD_UP_S = 0.1
# Questions without an answer that prove an endpoint dead.
SURE_QUESTIONS = 2

Reports = dict[str, endpoint_orders.Report | None]


@attrs.frozen
class _Asked:
    at_s: float
    is_answered: bool


class OwnPath:
    """Whether unanswered questions speak against this node's own path."""

    def __init__(
        self, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        """Start without doubt."""
        self._clock = clock
        self._asked: collections.deque[_Asked] = collections.deque(
            maxlen=LOOKED_AT
        )
        self._held_up_s = float('-inf')
        self._doubted_s = float('-inf')

    def note(self, began_s: float, is_answered: bool) -> None:
        """Take the outcome of a question."""
        now_s = self._clock()
        took_s = now_s - began_s
        if took_s > endpoint_orders.REPORT_TIMEOUT_S + HELD_UP_S:
            self._held_up_s = now_s
        self._asked.append(_Asked(now_s, is_answered))
        if self._unanswered(now_s) >= DOUBT_UNANSWERED:
            self._doubted_s = now_s

    def is_doubtful(self) -> bool:
        """Return whether answers may have been lost on this node's side."""
        now_s = self._clock()
        if self._held_up_s > now_s - DOUBT_WINDOW_S:
            return True
        return self._doubted_s > now_s - DOUBT_MEMORY_S

    def _unanswered(self, now_s: float) -> int:
        since_s = now_s - DOUBT_WINDOW_S
        return sum(
            1
            for one in self._asked
            if one.at_s > since_s and not one.is_answered
        )


class EndpointProber:
    """Asks the members of replicas."""

    def __init__(self, client: endpoint_orders.EndpointClient) -> None:
        """Ask by client."""
        self._client = client
        self._path = OwnPath()
        self._limit = anyio.CapacityLimiter(ASKED_AT_ONCE)

    async def ask(
        self, endpoint: endpoints.Endpoint
    ) -> endpoint_orders.Report | None:
        """Return what an endpoint says, or None if it doesn't answer."""
        async with self._limit:
            began_s = time.monotonic()
            report = await self._client.report(endpoint)
            self._path.note(began_s, report is not None)
        return report

    async def ask_surely(
        self, endpoint: endpoints.Endpoint, until_s: float
    ) -> endpoint_orders.Report | None:
        """Return what an endpoint says, or None if it surely doesn't answer.

        One question without an answer is no proof: on a node that runs slowly
        timeouts pass before answers are read. So it is asked again, and for as
        long as this node's own path is in doubt, until until_s of the boot
        clock. A head that is cut off from the store and taken for dead so
        would serve on while its members join another replica.
        """
        unanswered = 0
        while clock.boot_s() < until_s:
            report = await self.ask(endpoint)
            if report is not None:
                return report
            unanswered += 1
            if unanswered >= SURE_QUESTIONS and not self.is_doubtful():
                break
            await anyio.sleep(DOUBT_PAUSE_S)
        return None

    def is_doubtful(self) -> bool:
        """Return whether answers may be lost on this node's side."""
        return self._path.is_doubtful()

    async def ask_all(self, members: tuple[endpoints.Endpoint, ...]) -> Reports:
        """Return what each member says, None for those that are lost."""
        reports: Reports = {}
        await self._ask_into(reports, members)
        missing = _unanswered(reports, members)
        if not missing:
            return reports
        await anyio.sleep(DOUBT_LOOK_S)
        if self.is_doubtful():
            await anyio.sleep(DOUBT_PAUSE_S)
            await self._ask_into(reports, missing)
        return reports

    async def are_healthy(
        self, members: tuple[endpoints.Endpoint, ...]
    ) -> bool:
        """Return whether all members answer and belong to their replica."""
        reports = await self.ask_all(members)
        return all(is_healthy(member, reports) for member in members)

    async def _ask_into(
        self, reports: Reports, members: tuple[endpoints.Endpoint, ...]
    ) -> None:
        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(self._ask_one, reports, member)

    async def _ask_one(
        self, reports: Reports, member: endpoints.Endpoint
    ) -> None:
        reports[member.endpoint_id] = await self.ask(member)


def is_healthy(member: endpoints.Endpoint, reports: Reports) -> bool:
    """Return whether a member says that it still belongs to its replica."""
    report = reports[member.endpoint_id]
    if report is None or report.membership is None:
        return False
    if member.membership is None:
        return False
    if report.membership.state is endpoints.MemberState.BROKEN:
        return False
    return report.membership.key == member.membership.key


def _unanswered(
    reports: Reports, members: tuple[endpoints.Endpoint, ...]
) -> tuple[endpoints.Endpoint, ...]:
    return tuple(
        member for member in members if reports[member.endpoint_id] is None
    )
