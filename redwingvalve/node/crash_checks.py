"""Asks endpoints that broke off requests whether they are still alive.

A request is held back while it is not known whether three endpoints crashed
under it. An endpoint that answers nothing else in the meantime is asked, at
once if other runs of the same request have broken off too. An answer that ended
with its connection is held back until it is known whether its endpoint has
outlived it.
"""

import time
import types
import typing

import anyio
import anyio.abc
import attrs

from redwingvalve.fleet import closing_marks, endpoints, replica_standing
from redwingvalve.fleet import registry as registry_module
from redwingvalve.http1 import client as http_client
from redwingvalve.ingress import (
    answer_ends,
    broken_runs,
    crash_keys,
    crash_probes,
    load_balancing,
    poison,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.node import endpoint_prober, loop_pauses, stop_watch
from redwingvalve.observability import logs, node_metrics
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('crash-checks')
CHECK_INTERVAL_S = 0.1
MAX_CONCURRENT_PROBES = 16
# Longest pause of the loop in a probe that counts although nothing was
# answered: an answer has time left after it.
MAX_PAUSE_S = endpoint_orders.REPORT_TIMEOUT_S / 2
# A process may outlive the connection of its answer by a moment.
ANSWER_END_DELAY_S = 0.15
# For an endpoint that doesn't respond, and between two probes of it.
MAX_SILENCE_S = 0.6
RETRY_INTERVAL_S = 0.05
# The ends of the connections of one process may arrive this much apart, if a
# packet is lost.
OUTLIVE_S = 0.3
OUTLIVE_POLL_S = 0.02
# Entries follow reports at most this much later, unless the store is away.
MAX_ENTRY_DELAY_S = 0.8
ENTRY_POLL_S = 0.02
_MS_PER_S = 1000
_FINISHING: typing.Final = frozenset(
    (closing_marks.Past.CLOSING, closing_marks.Past.FINISHED)
)
_LIVES: typing.Final = types.MappingProxyType(
    {
        endpoint_orders.Liveness.ALIVE: answer_ends.Life.ALIVE,
        endpoint_orders.Liveness.ENDED: answer_ends.Life.ENDED,
        endpoint_orders.Liveness.NOT_LISTENING: answer_ends.Life.NOT_LISTENING,
        endpoint_orders.Liveness.UNKNOWN: answer_ends.Life.SILENT,
    }
)


@attrs.define(eq=False)
class _Probes:
    next_s: float = 0.0
    interval_s: float = crash_probes.MIN_INTERVAL_S
    is_running: bool = False

    def postpone(self) -> None:
        """Wait before the next probe, longer each time."""
        self.next_s = time.monotonic() + self.interval_s
        self.interval_s = min(2 * self.interval_s, crash_probes.MAX_INTERVAL_S)


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
        watch = loop_pauses.PauseWatch()
        watch.start()
        try:
            liveness = await self.client.check_process(endpoint)
        except Exception:
            # The next check asks again.
            LOG.exception('probe failed', extra={'endpoint': incarnation[0]})
            liveness = endpoint_orders.Liveness.UNKNOWN
        finally:
            watch.stop()
            probes.is_running = False
        is_unknown = liveness is endpoint_orders.Liveness.UNKNOWN
        if is_unknown and watch.longest_s > MAX_PAUSE_S:
            # After a pause of this process all endpoints seem silent, which
            # says nothing about them.
            LOG.info('paused in probe', extra={'pause_s': watch.longest_s})
            return
        probes.postpone()
        self._record(incarnation, liveness, sent_s)

    def _record(
        self,
        incarnation: broken_runs.Incarnation,
        liveness: endpoint_orders.Liveness,
        sent_s: float,
    ) -> None:
        if liveness is endpoint_orders.Liveness.ALIVE:
            # Runs that broke off after the probe was sent need another one.
            self._probes.pop(incarnation, None)
            self.tracker.record_life_sign(incarnation, sent_s)
        elif liveness is endpoint_orders.Liveness.ENDED:
            self.tracker.record_end(incarnation)
        else:
            self.tracker.record_silence(incarnation)


@attrs.frozen
class _Found:
    """What is found out about an endpoint, and what it reports if it does."""

    life: answer_ends.Life
    report: endpoint_orders.Report | None = None


@attrs.define(eq=False)
class EndpointAnswerEnds(answer_ends.AnswerEndChecker):
    """Probes the endpoint of each answer that ended with its connection.

    A caller that took half of an answer for whole could not tell.
    """

    registry: registry_module.Registry
    client: endpoint_orders.EndpointClient
    prober: endpoint_prober.EndpointProber
    state: state_module.IngressState
    watch: stop_watch.StopWatch

    async def check(
        self, answer: answer_ends.EndedAnswer
    ) -> answer_ends.AnswerEnd:
        """Ask the endpoint, and compare with its other connections."""
        target = answer.target
        others = self.watch.connections(target)
        is_leaving = self.registry.is_leaving(target.endpoint_id)
        if answer.is_in_doubt:
            await anyio.sleep(ANSWER_END_DELAY_S)
        found = await self._find_life(target, answer.ended_s)
        life = found.life
        evidence = answer_ends.Evidence(
            life,
            is_leaving=is_leaving,
            has_open_connection=(
                life is answer_ends.Life.NOT_LISTENING
                and await _outlasts(others, answer.ended_s)
            ),
            stopped_s=self.watch.stopped_s(target),
            standing=await self._find_standing(answer, found.report),
        )
        end = answer_ends.judge(answer, evidence)
        node_metrics.METRICS.count(
            'redwingvalve_ends_with_connections',
            end=end.value,
            life=life.value,
            standing=evidence.standing.value,
            is_leaving=str(is_leaving),
            is_stream=str(answer.is_stream),
        )
        LOG.info(
            'answer ended with its connection',
            extra={
                'endpoint': target.endpoint_id,
                'end': end.value,
                'life': life.value,
                'standing': evidence.standing.value,
                'is_leaving': is_leaving,
                'is_stream': answer.is_stream,
                'is_in_doubt': answer.is_in_doubt,
            },
        )
        return end

    async def run(self) -> None:
        """Watch endpoints that leave until cancelled."""
        await self.watch.run()

    async def _find_standing(
        self,
        answer: answer_ends.EndedAnswer,
        report: endpoint_orders.Report | None,
    ) -> answer_ends.Standing:
        """Return how a replica stands by a report of the time of the end."""
        target = answer.target
        standing = self._judge_standing(target, report)
        settled_s = answer.ended_s + self._report_lag_s()
        key = (target.replica, target.epoch)
        is_settled = time.monotonic() > settled_s
        if is_settled or not replica_standing.may_be_outdated(key, report):
            await self._wait_for_entry(target, report)
            return self._judge_standing(target, report)
        await anyio.sleep(settled_s - time.monotonic())
        later = await self._find_life(target, settled_s)
        past = self.registry.closing.past_of(target.incarnation, key)
        is_ending = later.report is None and past in _FINISHING
        if is_ending and not answer.may_repeat:
            # It ends soon after its last answer.
            return standing
        await self._wait_for_entry(target, later.report)
        return self._judge_standing(target, later.report)

    async def _wait_for_entry(
        self,
        target: load_balancing.Target,
        report: endpoint_orders.Report | None,
    ) -> None:
        """Wait until the entry has followed a report of a replica's end.

        Only entries tell whether it was closing, and they arrive later.
        """
        key = (target.replica, target.epoch)
        until_s = time.monotonic() + MAX_ENTRY_DELAY_S
        while time.monotonic() < until_s:
            listed = self.registry.live.get(target.endpoint_id)
            membership = None if listed is None else listed.membership
            if not replica_standing.is_entry_older(key, membership, report):
                return
            await anyio.sleep(ENTRY_POLL_S)

    def _judge_standing(
        self,
        target: load_balancing.Target,
        report: endpoint_orders.Report | None,
    ) -> answer_ends.Standing:
        listed = self.registry.live.get(target.endpoint_id)
        key = (target.replica, target.epoch)
        return replica_standing.judge(
            key,
            listed=None if listed is None else listed.membership,
            report=report,
            past=self.registry.closing.past_of(target.incarnation, key),
        )

    def _report_lag_s(self) -> float:
        """Return how old reports of heads may be."""
        if self.state.configuration is None:
            return 0
        services = self.state.configuration.services.values()
        engines = [one.engine for one in services if one.engine is not None]
        lags_ms = [engine.report_lag_ms for engine in engines]
        return max(lags_ms, default=0) / _MS_PER_S

    async def _find_life(
        self, target: load_balancing.Target, ended_s: float
    ) -> _Found:
        """Return what the endpoint's host says, or another node of it."""
        listed = self.registry.live.get(target.endpoint_id)
        if listed is not None and listed.incarnation != target.incarnation:
            return _Found(answer_ends.Life.ENDED)
        endpoint = listed or _make_endpoint(target)
        until_s = time.monotonic() + MAX_SILENCE_S
        found = await self._ask(endpoint, ended_s)
        while (
            found.life is answer_ends.Life.SILENT and time.monotonic() < until_s
        ):
            await anyio.sleep(RETRY_INTERVAL_S)
            found = await self._ask(endpoint, ended_s)
        return found

    async def _ask(
        self, endpoint: endpoints.Endpoint, ended_s: float
    ) -> _Found:
        probed = await self.client.probe(endpoint)
        life = _LIVES[probed.liveness]
        if life in {answer_ends.Life.ALIVE, answer_ends.Life.ENDED}:
            return _Found(life, probed.report)
        # To a node that is cut off all endpoints seem gone.
        is_gone = life is answer_ends.Life.NOT_LISTENING
        if is_gone and await self.state.reach.confirm():
            return _Found(life)
        report = await self.prober.ask_others(endpoint, since_s=ended_s)
        if report is None:
            return _Found(answer_ends.Life.SILENT)
        if report.born_ms in {0, endpoint.born_ms}:
            return _Found(answer_ends.Life.REACHED_BY_OTHERS, report)
        return _Found(answer_ends.Life.ENDED)


async def _outlasts(
    connections: list[http_client.Connection], ended_s: float
) -> bool:
    """Return whether a connection is open for longer than one that ended."""
    until_s = ended_s + OUTLIVE_S
    while any(one.is_open for one in connections):
        left_s = until_s - time.monotonic()
        if left_s <= 0:
            return True
        await anyio.sleep(min(left_s, OUTLIVE_POLL_S))
    return False


def make_end_checker(
    state: state_module.IngressState,
    registry: registry_module.Registry,
    client: endpoint_orders.EndpointClient,
    prober: endpoint_prober.EndpointProber,
) -> EndpointAnswerEnds:
    """Return a checker for the answers to the requests of a state."""
    watch = stop_watch.StopWatch(state, registry)
    return EndpointAnswerEnds(registry, client, prober, state, watch)


def _make_endpoint(target: load_balancing.Target) -> endpoints.Endpoint:
    """Return an endpoint whose entry is gone, as far as a probe needs it."""
    return endpoints.Endpoint(
        endpoint_id=target.endpoint_id,
        born_ms=target.born_ms,
        service='',
        host=target.host,
        port=target.port,
        data_centre=target.data_centre,
        slots=target.slots,
        draining=True,
    )
