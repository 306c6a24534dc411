"""Checks whether this node can connect to endpoints.

A check connects to a few endpoints of different services and fabric domains,
of evacuated data centres only if there are no others: they serve no requests.
Only new connections count: open ones may live on while new ones are refused.
The connections are kept for requests.
"""

import asyncio
import itertools
import math
import random
import time
import typing
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.fleet import evacuations as evacuations_module
from redwingvalve.fleet import registry as registry_module
from redwingvalve.http1 import pool
from redwingvalve.ingress import reachability
from redwingvalve.node import loop_pauses
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('reachability')
# Endpoints that are tried at once, and those tried if none of them answers, by
# a node that was cut off before and by one that wasn't: it may reach only a few
# domains.
FIRST_PROBES = 2
MORE_PROBES = 4
WIDE_PROBES = 18
# Time for the first ones.
FIRST_PROBES_TIMEOUT_S = 0.1
# Longest pause of the loop in a check that counts although it has reached none:
# connects have time left to succeed after it.
MAX_PAUSE_S = 2 / 3 * pool.CONNECT_TIMEOUT_S
# A single dead endpoint looks like a cut.
MIN_PROBES_FOR_CUT = 2
# Between two checks, and between those while this node is cut off.
MIN_INTERVAL_S = 0.02
RECHECK_INTERVAL_S = 0.4
# An answer or a check within this time shows that endpoints are in reach.
RECENT_S = 0.4


@attrs.define(eq=False)
class ReachabilityChecker(reachability.EndpointReach):
    """Checks the links when endpoints fail, and while all seem out of reach."""

    registry: registry_module.Registry
    connections: pool.Pool
    evacuations: evacuations_module.Evacuations = attrs.field(
        factory=lambda: evacuations_module.Evacuations(None)
    )
    rng: random.Random = attrs.field(factory=random.Random)
    _observers: list[reachability.ReachObserver] = attrs.field(factory=list)
    _is_cut_off: bool = False
    # When the latest check began, and when an endpoint last answered.
    _checked_s: float = -math.inf
    _answered_s: float = -math.inf
    _requested: anyio.Event = attrs.field(factory=anyio.Event)
    _finished: anyio.Event = attrs.field(factory=anyio.Event)
    _due: asyncio.TimerHandle | None = None

    @property
    def is_cut_off(self) -> bool:
        """Return whether no endpoint could be reached by the latest check."""
        return self._is_cut_off

    def reaches_endpoints(self) -> bool:
        """Return whether the latest check reached an endpoint."""
        return not self._is_cut_off

    def add_observer(self, observer: reachability.ReachObserver) -> None:
        """Notify an observer of each check."""
        self._observers.append(observer)

    def request_check(self) -> None:
        """Have the links checked soon."""
        self._requested.set()

    def peers_cut_off(self) -> None:
        """Have the links checked soon, once per RECENT_S: others lost theirs.

        A node that gets few requests would learn of its own cut from a caller.
        """
        if self._due is not None or self._is_cut_off:
            return
        wait_s = self._checked_s + RECENT_S - time.monotonic()
        loop = asyncio.get_running_loop()
        self._due = loop.call_later(max(0.0, wait_s), self._check_due)

    async def confirm_unless_recent(self) -> bool:
        """Return whether an endpoint was reached a moment ago, or now."""
        if self._is_cut_off:
            return False
        since_s = time.monotonic() - RECENT_S
        if max(self._answered_s, self._checked_s) >= since_s:
            return True
        return await self.confirm()

    async def confirm(self) -> bool:
        """Check the links now; return whether an endpoint was reached."""
        asked_s = time.monotonic()
        while self._checked_s < asked_s:
            self._requested.set()
            await self._finished.wait()
        return not self._is_cut_off

    def record_answer(self, now_s: float) -> None:
        """Record that an endpoint has answered a request."""
        self._answered_s = now_s

    def answer_overdue(self, sent_s: float) -> None:
        """Have the links checked if nothing was answered since sent_s."""
        if max(self._answered_s, self._checked_s) < sent_s:
            self.request_check()

    async def run(self) -> typing.NoReturn:
        """Check the links on request until cancelled."""
        while True:
            timeout_s = RECHECK_INTERVAL_S if self._is_cut_off else math.inf
            with anyio.move_on_after(timeout_s):
                await self._requested.wait()
            self._requested = anyio.Event()
            await self._check()
            await anyio.sleep(MIN_INTERVAL_S)

    def _check_due(self) -> None:
        self._due = None
        self.request_check()

    async def _check(self) -> None:
        began_s = time.monotonic()
        watch = loop_pauses.PauseWatch()
        watch.start()
        try:
            is_cut_off = await self._reaches_none()
        finally:
            watch.stop()
        if watch.longest_s > MAX_PAUSE_S and is_cut_off:
            # After a pause of this process all connects seem to have failed,
            # which says nothing about the links.
            LOG.info('paused in link check', extra={'pause_s': watch.longest_s})
            self._requested.set()
            return
        self._checked_s = began_s
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            text = 'cut off from endpoints' if is_cut_off else 'endpoints back'
            LOG.warning(text, extra={'silent_s': self._silent_s()})
        node_metrics.METRICS.count(
            'redwingvalve_link_checks', is_cut_off=str(is_cut_off).lower()
        )
        for observer in self._observers:
            observer.reach_checked(began_s, is_cut_off=is_cut_off)
        self._finished.set()
        self._finished = anyio.Event()

    def _silent_s(self) -> float | None:
        """Return how long no endpoint has answered a request."""
        if self._answered_s == -math.inf:
            return None
        return round(time.monotonic() - self._answered_s, 3)

    async def _reaches_none(self) -> bool:
        usable = self.registry.usable()
        serving = [
            endpoint
            for endpoint in usable
            if not self.evacuations.is_evacuated(endpoint.data_centre)
        ]
        more = MORE_PROBES if self._is_cut_off else WIDE_PROBES
        chosen = select_probes(serving or usable, FIRST_PROBES + more, self.rng)
        if len(chosen) < MIN_PROBES_FOR_CUT:
            return False
        with anyio.move_on_after(FIRST_PROBES_TIMEOUT_S):
            if await self._reaches_any(chosen[:FIRST_PROBES]):
                return False
        return not await self._reaches_any(chosen[FIRST_PROBES:] or chosen)

    async def _reaches_any(
        self, chosen: collections_abc.Sequence[endpoints.Endpoint]
    ) -> bool:
        reached: list[endpoints.Endpoint] = []
        async with anyio.create_task_group() as group:
            for endpoint in chosen:
                group.start_soon(self._connect, endpoint, reached, group)
        return bool(reached)

    async def _connect(
        self,
        endpoint: endpoints.Endpoint,
        reached: list[endpoints.Endpoint],
        group: anyio.abc.TaskGroup,
    ) -> None:
        address = (endpoint.host, endpoint.port)
        try:
            connection = await self.connections.connect(address)
        except pool.ConnectError as error:
            LOG.debug(
                'endpoint not reached',
                extra={'endpoint': endpoint.endpoint_id, 'error': str(error)},
            )
            return
        self.connections.add_idle(address, connection)
        reached.append(endpoint)
        group.cancel_scope.cancel()


def select_probes(
    known: collections_abc.Iterable[endpoints.Endpoint],
    count: int,
    rng: random.Random,
) -> list[endpoints.Endpoint]:
    """Return endpoints of as many services and fabric domains as possible."""
    groups: dict[tuple[str, str], list[endpoints.Endpoint]] = {}
    shuffled = [one for one in known if not one.draining]
    rng.shuffle(shuffled)
    for endpoint in shuffled:
        group = (endpoint.service, endpoint.domain)
        groups.setdefault(group, []).append(endpoint)
    rounds = itertools.zip_longest(*groups.values())
    in_turn = itertools.chain.from_iterable(rounds)
    return list(itertools.islice(filter(None, in_turn), count))
