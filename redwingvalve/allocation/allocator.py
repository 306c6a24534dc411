"""Grants the places of the pools that this node is asked about.

Which node is asked is decided by those that ask. An ask that is repeated gets
the same answer, so that a lost datagram costs a repetition and no place.
"""

import asyncio
import collections
import random
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import messages
from redwingvalve.allocation import pool as pool_module
from redwingvalve.allocation import usage as usage_module
from redwingvalve.ingress import load_balancing
from redwingvalve.observability import logs

LOG = logs.make_logger('allocation')

ReplyCallback = collections_abc.Callable[[messages.Reply], None]


@attrs.define(eq=False)
class _Waiting:
    reply: ReplyCallback
    task: asyncio.Task[None] | None = None
    # Its task has still to end; granted now, a place would be lost.
    is_withdrawn: bool = False


@attrs.define(eq=False)
class Allocator:
    """All pools that this node grants places of."""

    targets: pool_module.PoolTargets
    clock: pool_module.Clock
    rng: random.Random = attrs.field(factory=random.Random)
    _pools: dict[messages.Pool, pool_module.SlotPool] = attrs.field(
        factory=dict
    )
    _waiting: dict[tuple[messages.Sender, int], _Waiting] = attrs.field(
        factory=dict
    )

    def ask(
        self, sender: messages.Sender, ask: messages.Ask, reply: ReplyCallback
    ) -> None:
        """Answer an ask, at once or once a place is free."""
        key = (sender, ask.number)
        waits = self._waiting.get(key)
        if waits is not None:
            waits.reply = reply
            reply(_queued(ask))
            return
        if not self.targets(ask.pool):
            reply(messages.Reply(ask.number, messages.Outcome.UNABLE))
            return
        pool = self.pool(ask.pool)
        held = pool.holds.find(key)
        if held is not None:
            reply(_granted(ask, held.endpoint_id))
            return
        pool.note_slow(ask)
        select = pool.selector(sender, ask)
        target = pool.queue.try_acquire(ask.need, select)
        if target is not None:
            reply(_granted(ask, target.endpoint_id))
        elif ask.may_wait:
            self._queue(key, ask, reply)
        else:
            expected_s = pool.expected_s(ask.need)
            full = messages.Outcome.FULL
            reply(messages.Reply(ask.number, full, expected_s=expected_s))

    def release(
        self, sender: messages.Sender, release: messages.Release
    ) -> None:
        """Free a place, or stop waiting for one."""
        key = (sender, release.number)
        waits = self._waiting.pop(key, None)
        if waits is not None and waits.task is not None:
            waits.is_withdrawn = True
            waits.task.cancel()
        for pool in self._pools.values():
            pool.release(key, release.leaving)

    def holdings(
        self, sender: messages.Sender, holdings: messages.Holdings
    ) -> None:
        """Take what a node holds."""
        self.pool(holdings.pool).confirm(sender, holdings.endpoint_ids)

    def drop_node(self, vm: str) -> None:
        """Free what a node held that is gone."""
        for pool in self._pools.values():
            pool.drop_node(vm)

    def tick(self) -> None:
        """Free what has lapsed, and use what has become known."""
        for pool in self._pools.values():
            pool.tick()

    @property
    def is_busy(self) -> bool:
        """Return whether places are held or waited for."""
        return any(pool.is_busy for pool in self._pools.values())

    def usage(self) -> dict[str, int]:
        """Return the places held and wanted, by service and model."""
        counts: collections.Counter[str] = collections.Counter()
        for key, pool in self._pools.items():
            name = usage_module.name_of(key.service, key.model)
            counts[name] += len(pool.holds) + len(pool.queue)
        return {name: count for name, count in counts.items() if count}

    def queue_length(self, service: str, model: str) -> int:
        """Return how many requests wait here for places of a model."""
        return sum(
            len(pool.queue)
            for key, pool in self._pools.items()
            if (key.service, key.model) == (service, model)
        )

    def pool(self, key: messages.Pool) -> pool_module.SlotPool:
        """Return the places of a pool."""
        known = self._pools.get(key)
        if known is not None:
            return known
        made = pool_module.SlotPool(
            targets=lambda: self.targets(key),
            rng=self.rng,
            clock=self.clock,
        )
        self._pools[key] = made
        LOG.info('pool counted here', extra=attrs.asdict(key))
        return made

    def _queue(
        self,
        key: tuple[messages.Sender, int],
        ask: messages.Ask,
        reply: ReplyCallback,
    ) -> None:
        waits = _Waiting(reply)
        self._waiting[key] = waits
        loop = asyncio.get_running_loop()
        waits.task = loop.create_task(self._wait(key, ask, waits))
        reply(_queued(ask))

    async def _wait(
        self,
        key: tuple[messages.Sender, int],
        ask: messages.Ask,
        waits: _Waiting,
    ) -> None:
        pool = self.pool(ask.pool)
        take = pool.selector(key[0], ask)

        def select() -> load_balancing.Target | None:
            return None if waits.is_withdrawn else take()

        try:
            target = await pool.queue.acquire(ask.need, select)
        finally:
            if self._waiting.get(key) is waits:
                self._waiting.pop(key)
        if target is not None:
            waits.reply(_granted(ask, target.endpoint_id))
            return
        refused = messages.Reply(
            ask.number,
            messages.Outcome.REFUSED,
            retry_after_s=pool.queue.retry_after_s(),
        )
        waits.reply(refused)


def _queued(ask: messages.Ask) -> messages.Reply:
    return messages.Reply(ask.number, messages.Outcome.QUEUED)


def _granted(ask: messages.Ask, endpoint_id: str) -> messages.Reply:
    return messages.Reply(ask.number, messages.Outcome.GRANTED, endpoint_id)
