"""Grants the slots of the pools that this node owns.

The asking nodes decide which node they treat as the owner. A repeated ask gets
the same answer, so a lost datagram costs a repetition, but no slot.
"""

import asyncio
import collections
import functools
import random
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import (
    endpoint_reports,
    hold_table,
    messages,
    rate_limits,
    spare_slots,
)
from redwingvalve.allocation import pool as pool_module
from redwingvalve.allocation import usage as usage_module
from redwingvalve.ingress import load_balancing
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('allocation')

ReplyCallback = collections_abc.Callable[[messages.Reply], None]
# Sends a message to the other nodes that may be asked for a pool's slots.
Forward: typing.TypeAlias = collections_abc.Callable[
    [messages.Pool, messages.Message], None
]


@attrs.define(eq=False)
class _WaitingAsk:
    reply: ReplyCallback
    task: asyncio.Task[None] | None = None
    # The task may not have ended yet; a slot granted to it would be lost.
    is_cancelled: bool = False


def _forward_nothing(pool: messages.Pool, message: messages.Message) -> None:
    """Forward nothing, as no other node is known."""


def _ignore_leaving(endpoint_id: str) -> None:
    """Ignore an endpoint that leaves, as there are no targets yet."""


@attrs.define(eq=False)
class Allocator:
    """All pools that this node owns."""

    targets: pool_module.PoolTargets
    clock: pool_module.Clock
    rng: random.Random = attrs.field(factory=random.Random)
    limits: rate_limits.RateLimits = attrs.field(factory=rate_limits.RateLimits)
    forward: Forward = _forward_nothing
    # Takes an endpoint that leaves out of the targets.
    mark_leaving: collections_abc.Callable[[str], None] = _ignore_leaving
    _pools: dict[messages.Pool, pool_module.SlotPool] = attrs.field(
        factory=dict
    )
    _waiting_asks: dict[tuple[messages.Sender, int], _WaitingAsk] = attrs.field(
        factory=dict
    )

    def ask(
        self, sender: messages.Sender, ask: messages.Ask, reply: ReplyCallback
    ) -> None:
        """Answer an ask, at once or as soon as a slot is free."""
        key = (sender, ask.number)
        waiting_ask = self._waiting_asks.get(key)
        if waiting_ask is not None:
            waiting_ask.reply = reply
            reply(_queued_reply(ask))
            return
        if not self.targets(ask.pool):
            reply(messages.Reply(ask.number, messages.Outcome.NO_ENDPOINTS))
            return
        pool = self.pool(ask.pool)
        held = pool.holds.find(key)
        if held is not None:
            reply(self._granted_reply(ask, held.endpoint_id))
            return
        pool.endpoint_slots.mark_slow(ask.slow)
        acquire_slot = functools.partial(pool.acquire, sender, ask)
        target = (
            spare_slots.acquire(pool, sender, ask)
            if ask.need.is_hedge
            else pool.queue.try_acquire(ask.need, acquire_slot)
        )
        if target is not None:
            reply(self._granted_reply(ask, target.endpoint_id))
        elif ask.may_wait:
            self._enqueue(key, ask, reply)
        else:
            expected_wait_s = pool.expected_wait_s(ask.need)
            full = messages.Outcome.FULL
            reply(
                messages.Reply(
                    ask.number, full, expected_wait_s=expected_wait_s
                )
            )

    def release(
        self, sender: messages.Sender, release: messages.Release
    ) -> None:
        """Free a slot, or cancel the ask that waits for one."""
        key = (sender, release.number)
        waiting_ask = self._waiting_asks.pop(key, None)
        if waiting_ask is not None and waiting_ask.task is not None:
            waiting_ask.is_cancelled = True
            waiting_ask.task.cancel()
        for pool in self._pools.values():
            pool.release(key, release.leaving, release.result)

    def holdings(
        self, sender: messages.Sender, holdings: messages.Holdings
    ) -> None:
        """Reconcile the holds of a node with those that it reports."""
        self.pool(holdings.pool).reconcile(sender, holdings.endpoint_ids)

    def record_report(
        self, sender: messages.Sender, report: endpoint_reports.EndpointReport
    ) -> None:
        """Apply what a node reports of endpoints, and its starts there."""
        now_s = self.clock()
        for endpoint_id in report.leaving:
            self.mark_leaving(endpoint_id)
        for limit in report.limits:
            if self.limits.record(limit.to_statement(now_s)):
                node_metrics.METRICS.count('redwingvalve_rate_limit_changes')
                LOG.info(
                    'rate limit changed',
                    extra={
                        'endpoint': limit.endpoint_id,
                        'limit_per_s': limit.requests_per_s,
                        'told_by': sender.vm,
                    },
                )
        for start in report.starts:
            holder = sender
            if start.vm:
                holder = messages.Sender(start.vm, start.born_ms)
            self.limits.record_start(
                start.endpoint_id, (holder, start.number), now_s - start.ago_s
            )

    def drop_node(self, vm: str) -> None:
        """Free the slots of a node that is gone."""
        for pool in self._pools.values():
            pool.drop_node(vm)

    def tick(self) -> None:
        """Drop expired state of all pools and serve their queues."""
        self.limits.drop_expired(self.clock())
        for pool in self._pools.values():
            pool.tick()

    @property
    def is_busy(self) -> bool:
        """Return whether slots are held or waited for."""
        return any(pool.is_busy for pool in self._pools.values())

    def usage(self) -> dict[str, int]:
        """Return the slots held and waited for, by service and model."""
        counts: collections.Counter[str] = collections.Counter()
        for key, pool in self._pools.items():
            name = usage_module.usage_key(key.service, key.model)
            counts[name] += len(pool.holds) + len(pool.queue)
        return {name: count for name, count in counts.items() if count}

    def queue_length(self, service: str, model: str) -> int:
        """Return the number of requests that wait here for a model."""
        return sum(
            len(pool.queue)
            for key, pool in self._pools.items()
            if (key.service, key.model) == (service, model)
        )

    def pool(self, key: messages.Pool) -> pool_module.SlotPool:
        """Return the pool of a key, created if it does not exist."""
        known = self._pools.get(key)
        if known is not None:
            return known
        created = pool_module.SlotPool(
            targets=lambda: self.targets(key),
            rng=self.rng,
            clock=self.clock,
            limits=self.limits,
            on_limited_start=functools.partial(self._forward_start, key),
        )
        self._pools[key] = created
        LOG.info('pool counted here', extra=attrs.asdict(key))
        return created

    def _enqueue(
        self,
        key: tuple[messages.Sender, int],
        ask: messages.Ask,
        reply: ReplyCallback,
    ) -> None:
        waiting_ask = _WaitingAsk(reply)
        self._waiting_asks[key] = waiting_ask
        loop = asyncio.get_running_loop()
        waiting_ask.task = loop.create_task(
            self._wait_for_slot(key, ask, waiting_ask)
        )
        reply(_queued_reply(ask))

    async def _wait_for_slot(
        self,
        key: tuple[messages.Sender, int],
        ask: messages.Ask,
        waiting_ask: _WaitingAsk,
    ) -> None:
        pool = self.pool(ask.pool)
        acquire = functools.partial(pool.acquire, key[0], ask)

        def acquire_slot() -> load_balancing.Target | None:
            return None if waiting_ask.is_cancelled else acquire()

        try:
            target = await pool.queue.acquire(ask.need, acquire_slot)
        finally:
            if self._waiting_asks.get(key) is waiting_ask:
                self._waiting_asks.pop(key)
        if target is not None:
            waiting_ask.reply(self._granted_reply(ask, target.endpoint_id))
            return
        refused = messages.Reply(
            ask.number,
            messages.Outcome.REFUSED,
            retry_after_s=pool.retry_after_s(),
        )
        waiting_ask.reply(refused)

    def _forward_start(
        self, pool: messages.Pool, key: hold_table.Key, endpoint_id: str
    ) -> None:
        """Tell the node that would be asked next, or was asked in vain."""
        node_metrics.METRICS.count('redwingvalve_rate_limited_starts')
        holder, number = key
        start = endpoint_reports.Start(
            endpoint_id, number, 0.0, holder.vm, holder.born_ms
        )
        self.forward(pool, endpoint_reports.EndpointReport(starts=(start,)))

    def _granted_reply(
        self, ask: messages.Ask, endpoint_id: str
    ) -> messages.Reply:
        return messages.Reply(
            ask.number,
            messages.Outcome.GRANTED,
            endpoint_id,
            is_rate_limited=self.limits.is_limited(endpoint_id),
        )


def _queued_reply(ask: messages.Ask) -> messages.Reply:
    return messages.Reply(ask.number, messages.Outcome.QUEUED)
