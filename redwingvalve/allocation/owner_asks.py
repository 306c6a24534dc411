"""Asks the owners of a pool for a slot, one after the other.

Load pattern: an owner dies, freezes, is cut off or stops while requests need
slots. An ask without an answer goes to the next owner in rank. One that waits
at an owner that stops follows the pool to its next owner.
"""

import asyncio
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import messages
from redwingvalve.allocation import owners as owners_module
from redwingvalve.ingress import wait_queue
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('reserver')
# A round trip between data centres takes a few milliseconds, and a busy node
# some more to answer; the latency targets of callers are hundreds of them.
REPLY_TIMEOUT_S = 0.04
# Interval at which a queued ask is checked; a single lost answer is tolerated.
POLL_INTERVAL_S = 0.1
MAX_MISSED_POLLS = 2
# Added to the time that a request may wait.
WAIT_SLACK_S = 0.2
# Owners of a pool, one after the other, that a waiting request follows.
MAX_OWNER_CHANGES = 3
# Callers retry after this time if no owner answers.
RETRY_AFTER_S = 0.8

_QUEUED = messages.Outcome.QUEUED
_NO_ENDPOINTS = messages.Outcome.NO_ENDPOINTS
_MOVED = messages.Outcome.MOVED


@attrs.define(eq=False)
class _PendingAsk:
    number: int
    vm: str
    latest: messages.Reply | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def accept(self, reply: messages.Reply) -> None:
        """Accept a reply unless it was overtaken by the final one."""
        if reply.outcome is _QUEUED and _is_final(self.latest):
            return
        self.latest = reply
        self.changed.set()


@attrs.define(eq=False)
class OwnerAsks:
    """The asks of one node that wait for replies."""

    owners: owners_module.PoolOwners
    transport: messages.Transport
    clock: collections_abc.Callable[[], float]
    # Numbers of asks.
    numbers: typing.Iterator[int]
    # Reports to an owner what it has to know before it grants more.
    report_before_ask: collections_abc.Callable[[messages.Pool, str], None]
    # Whether an evacuation has left a pool without endpoints.
    is_evacuated: collections_abc.Callable[[messages.Pool], bool]
    _pending: dict[int, _PendingAsk] = attrs.field(factory=dict)

    def accept(self, vm: str, reply: messages.Reply) -> bool:
        """Accept a reply; return whether an ask was waiting for it."""
        pending = self._pending.get(reply.number)
        if pending is None or pending.vm != vm:
            return False
        pending.accept(reply)
        return True

    async def ask(self, ask: messages.Ask) -> tuple[str, messages.Reply] | None:
        """Return the owner that answered and its reply, or None."""
        asked_s = self.clock()
        for _ in range(MAX_OWNER_CHANGES):
            need = wait_queue.deduct_elapsed(ask.need, self.clock() - asked_s)
            found = await self._ask_ranked(attrs.evolve(ask, need=need))
            if found is None or found[1].outcome is not _MOVED:
                return found
            self.owners.refresh()
            if self.owners.is_first(found[0], ask.pool):
                # It may be asked no more before its status has arrived.
                self.owners.mark_unresponsive(found[0])
        return None

    async def _ask_ranked(
        self, ask: messages.Ask
    ) -> tuple[str, messages.Reply] | None:
        """Return the first of the ranked owners that answers, or None."""
        asked_s = self.clock()
        for vm in self.owners.ranked_for(ask.pool):
            need = wait_queue.deduct_elapsed(ask.need, self.clock() - asked_s)
            reply = await self._ask_owner(vm, attrs.evolve(ask, need=need))
            if reply is not None and reply.outcome is not _NO_ENDPOINTS:
                return vm, reply
            self.owners.mark_unresponsive(vm)
            node_metrics.METRICS.count('redwingvalve_silent_owners')
            LOG.info(
                'owner gave no slot' if reply else 'owner silent',
                extra={'owner': vm, **attrs.asdict(ask.pool)},
            )
        return None

    async def _ask_owner(
        self, vm: str, ask: messages.Ask
    ) -> messages.Reply | None:
        """Return the final reply of an owner, None if it gives none."""
        self.report_before_ask(ask.pool, vm)
        pending = _PendingAsk(next(self.numbers), vm)
        self._pending[pending.number] = pending
        reply = None
        try:
            reply = await self._exchange(
                pending, attrs.evolve(ask, number=pending.number)
            )
        finally:
            self._pending.pop(pending.number)
            # A cancelled request leaves a slot that was just granted.
            if reply is None or not _is_final(pending.latest):
                release = messages.Release(pending.number)
                self.transport.send(vm, release)
        return reply

    async def _exchange(
        self, pending: _PendingAsk, ask: messages.Ask
    ) -> messages.Reply | None:
        began_s = self.clock()
        until_s = began_s + ask.need.wait_s + WAIT_SLACK_S
        reply = await self._send_and_wait(pending, ask, REPLY_TIMEOUT_S)
        missed = 0
        while reply is not None and reply.outcome is _QUEUED:
            if self.clock() > until_s or self.is_evacuated(ask.pool):
                return messages.Reply(
                    ask.number,
                    messages.Outcome.REFUSED,
                    retry_after_s=RETRY_AFTER_S,
                )
            next_reply = await self._wait(pending, POLL_INTERVAL_S)
            if next_reply is None:
                need = wait_queue.deduct_elapsed(
                    ask.need, self.clock() - began_s
                )
                repeated = attrs.evolve(ask, need=need)
                next_reply = await self._send_and_wait(
                    pending, repeated, REPLY_TIMEOUT_S
                )
            missed = 0 if next_reply else missed + 1
            if missed >= MAX_MISSED_POLLS:
                return None
            reply = next_reply or reply
        return reply

    async def _send_and_wait(
        self, pending: _PendingAsk, ask: messages.Ask, timeout_s: float
    ) -> messages.Reply | None:
        pending.changed.clear()
        self.transport.send(pending.vm, ask)
        return await self._wait(pending, timeout_s)

    async def _wait(
        self, pending: _PendingAsk, timeout_s: float
    ) -> messages.Reply | None:
        if not pending.changed.is_set():
            try:
                async with asyncio.timeout(timeout_s):
                    await pending.changed.wait()
            except TimeoutError:
                return None
        pending.changed.clear()
        return pending.latest


def _is_final(reply: messages.Reply | None) -> bool:
    return reply is not None and reply.outcome is not _QUEUED
