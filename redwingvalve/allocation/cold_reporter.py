"""Reports this node's starts at cold endpoints to the owners of their pools.

Load pattern: the owner of a pool is replaced, restarts without any knowledge or
misses datagrams while endpoints of the pool are cold. Each node repeats what it
started in the last second and which endpoints said that they are cold.
"""

import math
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import (
    cold_starts,
    endpoint_reports,
    messages,
    owner_knowledge,
    owners,
)
from redwingvalve.ingress import load_balancing

_NONE = owner_knowledge.Knowledge.NONE
# Interval of the repetitions to one owner that is asked many times.
REPEAT_INTERVAL_S = 0.1
# Entries say after 1.2 s and the lag of the watch that an endpoint is cold.
REPEATED_FOR_S = 3.0


@attrs.frozen
class OwnStart:
    """A start of this node, and the owner that granted it, empty if none."""

    pool: messages.Pool
    endpoint_id: str
    number: int
    owner: str
    started_s: float
    # Start of the endpoint's process, 0 if unknown.
    born_ms: int = 0


@attrs.frozen
class _News:
    """A cold endpoint that an owner did not know to be cold."""

    pool: messages.Pool
    born_ms: int
    told_s: float


_IsReported: typing.TypeAlias = collections_abc.Callable[[OwnStart], bool]


@attrs.define(eq=False)
class ColdReporter:
    """This node's starts at endpoints that are cold or may be."""

    starts: cold_starts.ColdStarts
    owners: owners.PoolOwners
    transport: messages.Transport
    clock: collections_abc.Callable[[], float]
    _recent: list[OwnStart] = attrs.field(factory=list)
    _news: dict[str, _News] = attrs.field(factory=dict)
    _reported_s: dict[tuple[messages.Pool, str], float] = attrs.field(
        factory=dict
    )

    def record_start(self, start: OwnStart) -> None:
        """Count a request that starts now."""
        if not self.starts.endpoints.is_limited(start.endpoint_id):
            return
        self.starts.record(start.endpoint_id, start.number, start.started_s)
        self._recent.append(start)

    def record_cold(
        self,
        pool: messages.Pool,
        target: load_balancing.Target,
        left_s: float,
        *,
        is_known_to_owner: bool,
    ) -> None:
        """Record that the answer of an endpoint says that it is cold."""
        endpoints = self.starts.endpoints
        endpoint_id = target.endpoint_id
        if not endpoints.is_limited(endpoint_id) or left_s <= 0:
            return
        is_new = endpoints.record(endpoint_id, target.born_ms, left_s)
        if endpoint_id in self._news or not (is_new or not is_known_to_owner):
            return
        news = _News(pool, target.born_ms, self.clock())
        self._news[endpoint_id] = news
        for vm in self.owners.ranked_for(pool):
            self._send_news(pool, vm)

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Forget that an endpoint's previous processes were cold.

        Starts are kept: requests sent to the previous process may arrive at the
        next one.
        """
        news = self._news.get(endpoint_id)
        if news is not None and not (born_ms and news.born_ms == born_ms):
            self._news.pop(endpoint_id)

    def unusable(self) -> list[str]:
        """Return the endpoints that this node must not choose by itself.

        What other nodes send to a cold endpoint is known to owners only.
        """
        endpoints = self.starts.endpoints
        now_s = self.clock()
        started = {start.endpoint_id for start in self._recent}
        full = [
            endpoint_id
            for endpoint_id in started
            if self.starts.wait_s(endpoint_id, now_s, _NONE) > 0
        ]
        return [*endpoints.cold_ids(), *full]

    def report(self, pools: collections_abc.Iterable[messages.Pool]) -> None:
        """Report to the owners of pools, and forget what is over."""
        now_s = self.clock()
        self._drop_expired(now_s)
        for pool in pools:
            for vm in self.owners.ranked_for(pool):
                self._report(pool, vm, self._is_always_reported)

    def report_before_ask(
        self, pool: messages.Pool, vm: str, *, is_new_owner: bool
    ) -> None:
        """Report to an owner that is going to be asked."""
        if not (self._recent or self._news):
            return
        now_s = self.clock()
        self._drop_expired(now_s)
        reported_s = self._reported_s.get((pool, vm), -math.inf)
        if is_new_owner:
            self._report(pool, vm, lambda start: True)
        elif now_s - reported_s >= REPEAT_INTERVAL_S:
            self._report(
                pool,
                vm,
                lambda start: (
                    start.owner != vm or self._is_always_reported(start)
                ),
            )

    def _is_always_reported(self, start: OwnStart) -> bool:
        """Return whether a start is reported to all owners.

        That is so at a cold endpoint, and if no owner counted the start.
        """
        return not start.owner or (
            self.starts.endpoints.is_cold(start.endpoint_id)
        )

    def _report(
        self, pool: messages.Pool, vm: str, is_reported: _IsReported
    ) -> None:
        now_s = self.clock()
        self._reported_s[pool, vm] = now_s
        self._send_news(pool, vm)
        starts = [
            endpoint_reports.Start(
                start.endpoint_id,
                start.number,
                now_s - start.started_s,
                endpoint_born_ms=start.born_ms,
            )
            for start in self._recent
            if start.pool == pool and is_reported(start)
        ]
        size = endpoint_reports.MAX_REPORTED_STARTS
        for first in range(0, len(starts), size):
            part = tuple(starts[first : first + size])
            self.transport.send(
                vm, endpoint_reports.EndpointReport(starts=part)
            )

    def _send_news(self, pool: messages.Pool, vm: str) -> None:
        endpoints = self.starts.endpoints
        marks = tuple(
            endpoint_reports.ColdMark(
                endpoint_id, news.born_ms, endpoints.left_s(endpoint_id)
            )
            for endpoint_id, news in self._news.items()
            if news.pool == pool
        )
        size = endpoint_reports.MAX_REPORTED_ENDPOINTS
        for first in range(0, len(marks), size):
            part = marks[first : first + size]
            self.transport.send(vm, endpoint_reports.EndpointReport(cold=part))

    def _drop_expired(self, now_s: float) -> None:
        self.starts.drop_expired(now_s)
        oldest_s = now_s - self.starts.endpoints.window_s
        self._recent = [
            start for start in self._recent if start.started_s > oldest_s
        ]
        self._news = {
            endpoint_id: news
            for endpoint_id, news in self._news.items()
            if news.told_s > now_s - REPEATED_FOR_S
        }
