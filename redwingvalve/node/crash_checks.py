"""Asks endpoints that broke off requests whether they are still alive.

A request is held back while it is not known whether three endpoints crashed
under it. An endpoint that answers nothing else in the meantime is asked, at
once if other runs of the same request have broken off too.
"""

import time
import typing

import anyio
import anyio.abc
import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.fleet import registry as registry_module
from redwingvalve.ingress import (
    answer_ends,
    broken_runs,
    crash_keys,
    crash_probes,
    load_balancing,
    poison,
    reachability,
)
from redwingvalve.observability import logs
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('crash-checks')
CHECK_INTERVAL_S = 0.1
MAX_CONCURRENT_PROBES = 16
# A process may outlive the connection of its answer by a moment.
ANSWER_END_DELAY_S = 0.15
_GONE = frozenset(
    (endpoint_orders.Liveness.ENDED, endpoint_orders.Liveness.NOT_LISTENING)
)


@attrs.define(eq=False)
class _Probes:
    next_s: float = 0.0
    interval_s: float = crash_probes.MIN_INTERVAL_S
    is_running: bool = False


@attrs.define(eq=False)
class CrashChecker(poison.EvidenceObserver):
    """Probes the endpoints that may have crashed."""

    tracker: poison.PoisonRequestTracker
    registry: registry_module.Registry
    client: endpoint_orders.EndpointClient
    _probes: dict[broken_runs.Incarnation, _Probes] = attrs.field(factory=dict)
    _added: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        """Observe the tracker."""
        self.tracker.observers.append(self)

    def run_added(self, run: broken_runs.BrokenRun) -> None:
        """Check the run's endpoint."""
        self._added.set()

    def suspect_cleared(self, key: crash_keys.Key) -> None:
        """Ignore an answer: there is nothing to check."""

    def open_end_added(self) -> None:
        """Check the answer's endpoint."""
        self._added.set()

    async def run(self) -> typing.NoReturn:
        """Check endpoints until cancelled; idle without broken runs."""
        async with anyio.create_task_group() as group:
            while True:
                undecided = self.tracker.undecided()
                if not undecided:
                    self._probes.clear()
                    await self._added.wait()
                with anyio.move_on_after(CHECK_INTERVAL_S):
                    await self._added.wait()
                self._added = anyio.Event()
                self._start_probes(group)

    def _start_probes(self, group: anyio.abc.TaskGroup) -> None:
        now_s = time.monotonic()
        running = sum(one.is_running for one in self._probes.values())
        for incarnation in self.tracker.undecided():
            if running >= MAX_CONCURRENT_PROBES:
                return
            probes = self._probes.setdefault(incarnation, _Probes())
            endpoint = self._find(incarnation)
            if endpoint is None or not self._is_due(incarnation, now_s):
                continue
            probes.is_running = True
            running += 1
            group.start_soon(self._probe, incarnation, endpoint, probes)

    def _find(
        self, incarnation: broken_runs.Incarnation
    ) -> endpoints.Endpoint | None:
        endpoint = self.registry.live.get(incarnation[0])
        if endpoint is None or endpoint.incarnation != incarnation:
            return None
        return endpoint

    def _is_due(
        self, incarnation: broken_runs.Incarnation, now_s: float
    ) -> bool:
        probes = self._probes[incarnation]
        if probes.is_running or now_s < probes.next_s:
            return False
        return crash_probes.is_due(self.tracker, incarnation, now_s)

    async def _probe(
        self,
        incarnation: broken_runs.Incarnation,
        endpoint: endpoints.Endpoint,
        probes: _Probes,
    ) -> None:
        sent_s = time.monotonic()
        try:
            liveness = await self.client.check_process(endpoint)
        except Exception:
            # The next check asks again.
            LOG.exception('probe failed', extra={'endpoint': incarnation[0]})
            liveness = endpoint_orders.Liveness.UNKNOWN
        finally:
            probes.is_running = False
            probes.next_s = time.monotonic() + probes.interval_s
            probes.interval_s = min(
                2 * probes.interval_s, crash_probes.MAX_INTERVAL_S
            )
        if liveness is endpoint_orders.Liveness.ALIVE:
            # Runs that broke off after the probe was sent need another one.
            self._probes.pop(incarnation, None)
            self.tracker.record_life_sign(incarnation, sent_s)
        elif liveness is endpoint_orders.Liveness.ENDED:
            self.tracker.record_end(incarnation)
        else:
            self.tracker.record_silence(incarnation)


@attrs.define(eq=False)
class EndpointAnswerEnds(answer_ends.AnswerEndChecker):
    """Probes the endpoint of each answer that ended with its connection.

    A caller that took half of an answer for whole could not tell.
    """

    registry: registry_module.Registry
    client: endpoint_orders.EndpointClient
    reach: reachability.EndpointReach

    async def check(
        self, target: load_balancing.Target, *, is_in_doubt: bool
    ) -> answer_ends.AnswerEnd:
        """Ask the endpoint, unless it is about to stop listening."""
        if is_in_doubt:
            await anyio.sleep(ANSWER_END_DELAY_S)
        endpoint = self.registry.live.get(target.endpoint_id)
        if endpoint is None or endpoint.draining:
            return answer_ends.AnswerEnd.UNKNOWN
        if endpoint.incarnation != target.incarnation:
            return answer_ends.AnswerEnd.CRASH
        liveness = await self.client.check_liveness(endpoint)
        LOG.info(
            'answer ended with its connection',
            extra={
                'endpoint': target.endpoint_id,
                'liveness': liveness.value,
                'is_in_doubt': is_in_doubt,
            },
        )
        if liveness is endpoint_orders.Liveness.ALIVE:
            return answer_ends.AnswerEnd.OPEN
        # To a node that is cut off all endpoints seem gone.
        if not await self.reach.confirm():
            return answer_ends.AnswerEnd.UNKNOWN
        if liveness in _GONE:
            return answer_ends.AnswerEnd.CRASH
        return answer_ends.AnswerEnd.OPEN
