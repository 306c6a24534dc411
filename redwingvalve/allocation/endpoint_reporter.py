"""Reports what endpoints state to the owners of their pools.

Load pattern: the owner of a pool is replaced, restarts without any knowledge or
misses datagrams while endpoints of the pool are rate-limited or leave. So a
node reports a new statement at once to the owners that it would ask, and
repeats what it knows at intervals and before it asks one of them.
"""

import itertools
import math
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import (
    endpoint_reports,
    messages,
    owners,
    rate_limits,
)
from redwingvalve.ingress import state

# Interval of the repetitions to one owner that is asked many times.
REPEAT_INTERVAL_S = 0.1
# A limited endpoint gets a request, and states its limit to some node, at least
# this often; older statements are others' to repeat. Most endpoints that leave
# have stopped by then, or their entries say so.
REPEATED_FOR_S = rate_limits.MAX_WINDOW_S


@attrs.frozen
class AnsweredRequest:
    """A request whose answer states the limit of its endpoint."""

    pool: messages.Pool
    number: int
    endpoint_id: str
    started_s: float
    # Whether the owner counted it against a limit.
    is_rate_limited: bool
    # Start of the endpoint's process, 0 if unknown.
    born_ms: int = 0


@attrs.define(eq=False)
class EndpointReporter:
    """What endpoints stated to this node, and this node's starts."""

    targets: state.TargetProvider
    owners: owners.PoolOwners
    transport: messages.Transport
    clock: collections_abc.Callable[[], float]
    _limits: rate_limits.RateLimits = attrs.field(
        factory=rate_limits.RateLimits
    )
    # When endpoints first said that they leave.
    _leaving_since_s: dict[str, float] = attrs.field(factory=dict)
    # Starts of their processes, 0 if unknown.
    _leaving_born_ms: dict[str, int] = attrs.field(factory=dict)
    _reported_s: dict[tuple[messages.Pool, str], float] = attrs.field(
        factory=dict
    )

    def limited(self) -> list[str]:
        """Return the endpoints that stated a limit to this node."""
        return self._limits.limited()

    def record_start(self, endpoint_id: str, number: int) -> None:
        """Count a request that starts now."""
        self._limits.record_start(endpoint_id, number, self.clock())

    def record_answer(
        self, request: AnsweredRequest, requests_per_s: float | None
    ) -> None:
        """Record the limit that an answer states, None without one."""
        endpoint_id = request.endpoint_id
        is_limited = self._limits.is_limited(endpoint_id)
        if requests_per_s is None and not (
            is_limited or request.is_rate_limited
        ):
            return
        statement = rate_limits.LimitStatement(
            endpoint_id,
            math.inf if requests_per_s is None else requests_per_s,
            request.started_s,
            self.clock(),
            request.born_ms,
        )
        has_changed = self._limits.record(statement)
        self._limits.record_start(
            endpoint_id, request.number, request.started_s
        )
        if has_changed or not self._limits.is_limited(endpoint_id):
            for vm in self.owners.ranked_for(request.pool):
                self._send([statement], vm)

    def record_leaving(
        self, pool: messages.Pool, endpoint_id: str, born_ms: int = 0
    ) -> None:
        """Record that an endpoint leaves: nobody sends it new requests.

        born_ms is the start of its process, 0 if unknown.
        """
        if self._leaving_born_ms.get(endpoint_id) == born_ms:
            return
        self._leaving_since_s[endpoint_id] = self.clock()
        self._leaving_born_ms[endpoint_id] = born_ms
        self.targets.mark_leaving(endpoint_id, born_ms)
        report = endpoint_reports.EndpointReport(
            leaving=(endpoint_id,), leaving_born_ms=(born_ms,)
        )
        for vm in self.owners.ranked_for(pool):
            self.transport.send(vm, report)

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Forget what the previous processes of an endpoint stated."""
        self._limits.forget(endpoint_id, born_ms)
        if not born_ms or self._leaving_born_ms.get(endpoint_id) != born_ms:
            self._leaving_since_s.pop(endpoint_id, None)
            self._leaving_born_ms.pop(endpoint_id, None)

    def report_before_ask(self, pool: messages.Pool, vm: str) -> None:
        """Report to an owner that is going to be asked."""
        reported_s = self._reported_s.get((pool, vm), -math.inf)
        if self.clock() - reported_s >= REPEAT_INTERVAL_S:
            self._report(pool, vm)

    def report(self, pools: collections_abc.Iterable[messages.Pool]) -> None:
        """Report to the owners of pools."""
        now_s = self.clock()
        self._limits.drop_expired(now_s)
        self._leaving_since_s = {
            endpoint_id: since_s
            for endpoint_id, since_s in self._leaving_since_s.items()
            if since_s > now_s - REPEATED_FOR_S
        }
        self._leaving_born_ms = {
            endpoint_id: self._leaving_born_ms[endpoint_id]
            for endpoint_id in self._leaving_since_s
        }
        for pool in pools:
            for vm in self.owners.ranked_for(pool):
                self._report(pool, vm)

    def _report(self, pool: messages.Pool, vm: str) -> None:
        now_s = self.clock()
        statements = self._limits.statements(now_s - REPEATED_FOR_S)
        if not (statements or self._leaving_since_s):
            return
        self._reported_s[pool, vm] = now_s
        if self._leaving_since_s:
            self.transport.send(
                vm,
                endpoint_reports.EndpointReport(
                    leaving=tuple(self._leaving_born_ms),
                    leaving_born_ms=tuple(self._leaving_born_ms.values()),
                ),
            )
        in_pool = {
            target.endpoint_id
            for target in self.targets.find_targets(pool.service, pool.model)
            if pool.data_centre in {'', target.data_centre}
        }
        known = [one for one in statements if one.endpoint_id in in_pool]
        size = endpoint_reports.MAX_REPORTED_ENDPOINTS
        for first in range(0, len(known), size):
            self._send(known[first : first + size], vm)

    def _send(
        self, statements: list[rate_limits.LimitStatement], vm: str
    ) -> None:
        now_s = self.clock()
        starts = itertools.chain.from_iterable(
            self._starts_at(statement, now_s) for statement in statements
        )
        newest = sorted(starts, key=_age_s)
        report = endpoint_reports.EndpointReport(
            tuple(
                endpoint_reports.make_stated_limit(statement, now_s)
                for statement in statements
            ),
            tuple(newest[: endpoint_reports.MAX_REPORTED_STARTS]),
        )
        self.transport.send(vm, report)

    def _starts_at(
        self, statement: rate_limits.LimitStatement, now_s: float
    ) -> list[endpoint_reports.Start]:
        endpoint_id = statement.endpoint_id
        starts = self._limits.recent_starts(endpoint_id, now_s)
        return [
            endpoint_reports.Start(
                endpoint_id,
                number,
                now_s - started_s,
                endpoint_born_ms=statement.born_ms,
            )
            for number, started_s in starts.items()
        ]


def _age_s(start: endpoint_reports.Start) -> float:
    return start.ago_s
