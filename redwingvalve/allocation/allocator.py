"""Grants the slots of the pools that this node owns.

The asking nodes decide which node they treat as the owner. A repeated ask gets
the same answer, so a lost datagram costs a repetition, but no slot.
"""

import asyncio
import collections
import functools
import random
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import (
    cold_starts,
    endpoint_reports,
    hold_table,
    messages,
    rate_limits,
    report_recorder,
    spare_slots,
    start_forwarder,
    takeover,
)
from redwingvalve.allocation import pool as pool_module
from redwingvalve.allocation import usage as usage_module
from redwingvalve.ingress import load_balancing, wait_queue
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('allocation')

ReplyCallback = collections_abc.Callable[[messages.Reply], None]


@attrs.define(eq=False)
class _WaitingAsk:
    pool: messages.Pool
    reply: ReplyCallback
    task: asyncio.Task[None] | None = None
    # The task may not have ended yet; a slot granted to it would be lost.
    is_cancelled: bool = False


def _ignore_leaving(endpoint_id: str, born_ms: int) -> None:
    """Ignore an endpoint that leaves, as there are no targets yet."""


def _is_never_past(endpoint_id: str, born_ms: int) -> bool:
    """Return False, as no processes of endpoints are known yet."""
    return False


@attrs.define(eq=False)
class Allocator:
    """All pools that this node owns."""

    targets: pool_module.PoolTargets
    clock: pool_module.Clock
    rng: random.Random = attrs.field(factory=random.Random)
    limits: rate_limits.RateLimits = attrs.field(factory=rate_limits.RateLimits)
    cold: cold_starts.ColdStarts = attrs.field(
        factory=cold_starts.make_unlimited
    )
    forwarder: start_forwarder.StartForwarder = attrs.field(
        factory=start_forwarder.StartForwarder
    )
    # Takes an endpoint that leaves out of the targets.
    mark_leaving: collections_abc.Callable[[str, int], None] = _ignore_leaving
    # Whether an endpoint's process that started then is a previous one.
    is_past: collections_abc.Callable[[str, int], bool] = _is_never_past
    _pools: dict[messages.Pool, pool_module.SlotPool] = attrs.field(
        factory=dict
    )
    _waiting_asks: dict[tuple[messages.Sender, int], _WaitingAsk] = attrs.field(
        factory=dict
    )
    # Whether the other nodes grant all slots from now on.
    is_resigned: bool = False
    takeovers: takeover.Takeovers = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Answer delayed asks once the slots in use are known."""
        self.takeovers = takeover.Takeovers(self.clock, self._answer_delayed)

    def resign(self) -> None:
        """Grant no more slots: all asks are for the next owners."""
        self.is_resigned = True
        for delayed in self.takeovers.take_delayed():
            delayed.reply(_moved_reply(delayed.ask.number))
        for key in list(self._waiting_asks):
            self._hand_over(key)

    def yield_pool(self, pool: messages.Pool) -> None:
        """Leave the asks that wait here to another node that asks for slots.

        Otherwise both would grant each slot that becomes free.
        """
        if pool not in self._pools or not self.takeovers.yield_to_first(pool):
            return
        for key, waiting_ask in list(self._waiting_asks.items()):
            if waiting_ask.pool == pool:
                self._hand_over(key)

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
        if self.is_resigned or self.takeovers.has_moved(sender.vm, ask.pool):
            reply(_moved_reply(ask.number))
            return
        if not self.targets(ask.pool):
            reply(messages.Reply(ask.number, messages.Outcome.NO_ENDPOINTS))
            return
        if self.takeovers.delay(sender, ask, reply):
            reply(_queued_reply(ask))
            return
        pool = self.pool(ask.pool)
        held = pool.holds.find(key)
        if held is not None:
            reply(_granted_reply(self, ask, held.endpoint_id))
            return
        pool.endpoint_slots.mark_slow(ask.slow)
        acquire_slot = functools.partial(pool.acquire, sender, ask)
        target = (
            spare_slots.acquire(pool, sender, ask)
            if ask.need.is_hedge
            else pool.queue.try_acquire(ask.need, acquire_slot)
        )
        if target is not None:
            reply(_granted_reply(self, ask, target.endpoint_id))
            return
        if pool.endpoint_slots.waits_for_cold(pool.targets()):
            node_metrics.METRICS.count('redwingvalve_cold_waits')
        if ask.may_wait:
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
        self.takeovers.cancel(key)
        self._cancel_waiting(key)
        for pool in self._pools.values():
            pool.release(key, release.leaving, release.result)

    def holdings(
        self, sender: messages.Sender, holdings: messages.Holdings
    ) -> None:
        """Reconcile the holds of a node with those that it reports."""
        endpoint_ids = {
            number: endpoint_id
            for number, endpoint_id in holdings.endpoint_ids.items()
            if not self.is_past(endpoint_id, holdings.born_ms.get(number, 0))
        }
        self.pool(holdings.pool).reconcile(
            sender, attrs.evolve(holdings, endpoint_ids=endpoint_ids)
        )
        self.takeovers.record_report(holdings.pool, sender.vm)

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Forget the previous processes of an endpoint that has restarted.

        Its counted starts are kept: what was granted for the previous process
        may arrive at the next one, which may be cold.
        """
        self.limits.forget(endpoint_id, born_ms)
        self.cold.endpoints.forget(endpoint_id, born_ms)
        for pool in self._pools.values():
            pool.endpoint_slots.forget(endpoint_id, born_ms)

    def record_report(
        self, sender: messages.Sender, report: endpoint_reports.EndpointReport
    ) -> None:
        """Apply what a node reports of endpoints, and its starts there."""
        recorder = report_recorder.ReportRecorder(
            self.limits,
            self.cold,
            self.forwarder,
            self.mark_leaving,
            self.is_past,
        )
        recorder.record(sender, report, self.clock())

    def drop_node(self, vm: str) -> None:
        """Free the slots of a node that is gone."""
        for pool in self._pools.values():
            pool.drop_node(vm)

    def tick(self) -> None:
        """Drop expired state of all pools and serve their queues."""
        now_s = self.clock()
        self.limits.drop_expired(now_s)
        self.cold.drop_expired(now_s)
        self.cold.endpoints.drop_expired()
        self.forwarder.flush(now_s)
        self.forwarder.knowledge.track(self.cold.endpoints.pools())
        self.forwarder.knowledge.tick(now_s)
        self.forwarder.ask_confirmations(now_s)
        self.takeovers.check_ownership()
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
            cold=self.cold,
            knowledge=lambda: self.forwarder.knowledge.of_pool(
                key, self.clock()
            ),
            on_limited_start=functools.partial(self._forward_start, key),
        )
        self._pools[key] = created
        LOG.info('pool counted here', extra=attrs.asdict(key))
        return created

    def _answer_delayed(self, delayed: list[takeover.DelayedAsk]) -> None:
        for one in delayed:
            waited_s = self.clock() - one.arrived_s
            need = wait_queue.deduct_elapsed(one.ask.need, waited_s)
            self.ask(one.sender, attrs.evolve(one.ask, need=need), one.reply)

    def _hand_over(self, key: hold_table.Key) -> None:
        """Have an ask that waits here sent to another node."""
        waiting_ask = self._waiting_asks[key]
        self._cancel_waiting(key)
        waiting_ask.reply(_moved_reply(key[1]))

    def _cancel_waiting(self, key: hold_table.Key) -> None:
        waiting_ask = self._waiting_asks.pop(key, None)
        if waiting_ask is not None and waiting_ask.task is not None:
            waiting_ask.is_cancelled = True
            waiting_ask.task.cancel()

    def _enqueue(
        self,
        key: tuple[messages.Sender, int],
        ask: messages.Ask,
        reply: ReplyCallback,
    ) -> None:
        waiting_ask = _WaitingAsk(ask.pool, reply)
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
            waiting_ask.reply(_granted_reply(self, ask, target.endpoint_id))
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
        is_rate_limited = self.limits.is_limited(endpoint_id)
        is_cold = self.cold.endpoints.is_cold(endpoint_id)
        if is_rate_limited:
            node_metrics.METRICS.count('redwingvalve_rate_limited_starts')
        if is_cold:
            node_metrics.METRICS.count('redwingvalve_cold_starts')
        now_s = self.clock()
        hold = self.pool(pool).holds.find(key)
        born_ms = hold.born_ms if hold else 0
        self.forwarder.add(pool, key, endpoint_id, now_s, born_ms)
        if is_rate_limited or is_cold:
            self.forwarder.flush(now_s)


def _granted_reply(
    allocator: Allocator, ask: messages.Ask, endpoint_id: str
) -> messages.Reply:
    return messages.Reply(
        ask.number,
        messages.Outcome.GRANTED,
        endpoint_id,
        is_rate_limited=allocator.limits.is_limited(endpoint_id),
        is_cold=allocator.cold.endpoints.is_cold(endpoint_id),
    )


def _moved_reply(number: int) -> messages.Reply:
    return messages.Reply(number, messages.Outcome.MOVED)


def _queued_reply(ask: messages.Ask) -> messages.Reply:
    return messages.Reply(ask.number, messages.Outcome.QUEUED)
