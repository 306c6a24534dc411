"""Reserves slots for this node's requests with the owners of the pools.

Load pattern: the owner of a pool dies, freezes or is cut off while requests
need slots. An ask without an answer goes to the next owner in rank, and after
that this node chooses an endpoint by its own view. It reports slots chosen that
way to the next owner together with the granted ones.
"""

import asyncio
import itertools
import random
import typing
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.allocation import held_slots, messages
from redwingvalve.allocation import owners as owners_module
from redwingvalve.ingress import (
    load_balancing,
    refusals,
    reservations,
    state,
    wait_queue,
)
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
# Other data centres that are asked when the local one is full: two random ones
# avoid the fullest as well as asking all of them.
REMOTE_POOLS_ASKED = 2
# Deducted from the time that a request may wait: the grant has to arrive, and
# the request has to be sent.
GRANT_SLACK_S = 0.01
# Attempts per request while owners grant targets that this node does not know,
# or that have just asked it for rest.
MAX_UNUSABLE_GRANTS = 3
# Interval between two reports of the held slots.
REPORT_INTERVAL_S = 0.5
# Callers retry after this time if no owner answers.
RETRY_AFTER_S = 0.8

_GRANTED = messages.Outcome.GRANTED
_QUEUED = messages.Outcome.QUEUED
_NO_ENDPOINTS = messages.Outcome.NO_ENDPOINTS


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
class NodeReserver(reservations.Reserver):
    """Reserves slots for the requests of one node."""

    data_centre: str
    targets: state.TargetProvider
    owners: owners_module.PoolOwners
    transport: messages.Transport
    loads: load_balancing.EndpointLoads
    clock: collections_abc.Callable[[], float]
    rng: random.Random = attrs.field(factory=random.Random)
    # Whether each data centre has its own pool per model.
    is_split_by_data_centre: collections_abc.Callable[[], bool] = lambda: True
    _numbers: typing.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )
    _pending_asks: dict[int, _PendingAsk] = attrs.field(factory=dict)
    _held_slots: held_slots.HeldSlots = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the table of held slots."""
        self._held_slots = held_slots.make_held_slots(
            self.owners, self.transport, self.loads, self.targets, self.clock
        )

    async def reserve(
        self,
        service: str,
        model: str,
        need: wait_queue.SlotRequest,
        avoid: collections_abc.Collection[str],
        slow: collections_abc.Collection[str],
    ) -> reservations.Reservation | reservations.NoSlot:
        """Return a slot for a request, or when its caller may retry."""
        avoided_ids = list(avoid)
        need = _deduct_elapsed(need, GRANT_SLACK_S)
        began_s = self.clock()
        for _ in range(MAX_UNUSABLE_GRANTS):
            rest_s = self._rest_left_s(service, model, avoided_ids)
            left = _deduct_elapsed(need, self.clock() - began_s)
            if rest_s > _longest_rest_s(left):
                return reservations.NoSlot(refusals.before_jitter_s(rest_s))
            await _wait_for_rest(rest_s)
            pools = self._pools_to_ask(service, model)
            if not pools:
                break
            ask = messages.Ask(
                0,
                pools[0],
                len(pools) == 1 and not need.is_hedge,
                _deduct_elapsed(need, self.clock() - began_s),
                tuple(avoided_ids),
                tuple(slow),
                self._resting(service, model, need),
            )
            found = await self._find_slot(pools, ask)
            if isinstance(found, reservations.NoSlot):
                return found
            target = self._find_granted_target(found)
            if target is not None:
                return self._held_slots.hold(found, target)
            self.transport.send(found.owner, messages.Release(found.number))
            avoided_ids.insert(0, found.endpoint_id)
            node_metrics.METRICS.count('redwingvalve_unusable_grants')
        LOG.info(
            'no usable grant',
            extra={
                'service': service,
                'model': model,
                'endpoints': avoided_ids,
                'is_resumed': need.is_resumed,
            },
        )
        return reservations.NoSlot(RETRY_AFTER_S)

    def handle_reply(self, vm: str, reply: messages.Reply) -> None:
        """Handle a reply to an ask."""
        self.owners.mark_responsive(vm)
        pending = self._pending_asks.get(reply.number)
        if pending is not None and pending.vm == vm:
            pending.accept(reply)
        elif reply.outcome is _GRANTED and reply.number not in self._held_slots:
            # No request waits for the slot any more.
            self.transport.send(vm, messages.Release(reply.number))

    async def run(self) -> typing.NoReturn:
        """Report held slots to their owners until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Report held slots and rate limits to their owners."""
        self._held_slots.report()

    async def _find_slot(
        self, pools: list[messages.Pool], ask: messages.Ask
    ) -> held_slots.Grant | reservations.NoSlot:
        """Return a slot of the first pool that has one, or wait for one.

        If all pools are full, the request waits for the one with the shortest
        expected wait.
        """
        if ask.need.is_hedge:
            # Only the nearest pool: traffic to other data centres is expensive.
            spare = await self._try_pool(ask)
            if isinstance(spare, messages.Reply):
                return reservations.NoSlot(spare.retry_after_s)
            return spare
        began_s = self.clock()
        shortest_pool, shortest_s = pools[0], float('inf')
        for pool in pools:
            answer = await self._try_pool(attrs.evolve(ask, pool=pool))
            if not isinstance(answer, messages.Reply):
                return answer
            if answer.expected_wait_s < shortest_s:
                shortest_pool, shortest_s = pool, answer.expected_wait_s
        need = _deduct_elapsed(ask.need, self.clock() - began_s)
        last = attrs.evolve(ask, pool=shortest_pool, may_wait=True, need=need)
        answer = await self._try_pool(last)
        if isinstance(answer, messages.Reply):
            return reservations.NoSlot(answer.retry_after_s)
        return answer

    async def _try_pool(
        self, ask: messages.Ask
    ) -> held_slots.Grant | reservations.NoSlot | messages.Reply:
        """Return a slot or a refusal, or the reply if the pool is full."""
        found = await self._ask_owners(ask)
        if found is None:
            return self._choose_locally(ask)
        vm, reply = found
        if reply.outcome is _GRANTED:
            return held_slots.Grant(
                reply.number,
                ask.pool,
                vm,
                reply.endpoint_id,
                reply.is_rate_limited,
            )
        if ask.may_wait:
            return reservations.NoSlot(reply.retry_after_s)
        return reply

    def _pools_to_ask(self, service: str, model: str) -> list[messages.Pool]:
        """Return the pools to ask, that of the local data centre first."""
        targets = self.targets.find_targets(service, model)
        if not (model and self.is_split_by_data_centre()):
            found = [messages.Pool(service, model, '')]
            return found if targets else []
        data_centres = {
            target.data_centre
            for target in targets
            if not self._held_slots.rests.left_s(target.endpoint_id)
        }
        others = sorted(data_centres - {self.data_centre})
        sampled = self.rng.sample(others, min(len(others), REMOTE_POOLS_ASKED))
        if self.data_centre in data_centres:
            sampled.insert(0, self.data_centre)
        return [messages.Pool(service, model, one) for one in sampled]

    async def _ask_owners(
        self, ask: messages.Ask
    ) -> tuple[str, messages.Reply] | None:
        """Return the owner that answered and its reply, or None."""
        asked_s = self.clock()
        for vm in self.owners.ranked_for(ask.pool):
            self._held_slots.report_before_ask(ask.pool, vm)
            pending = _PendingAsk(next(self._numbers), vm)
            self._pending_asks[pending.number] = pending
            need = _deduct_elapsed(ask.need, self.clock() - asked_s)
            reply = None
            try:
                reply = await self._exchange(
                    pending,
                    attrs.evolve(ask, number=pending.number, need=need),
                )
            finally:
                self._pending_asks.pop(pending.number)
                # A cancelled request leaves a slot that was just granted.
                if reply is None or not _is_final(pending.latest):
                    release = messages.Release(pending.number)
                    self.transport.send(vm, release)
            if reply is not None and reply.outcome is not _NO_ENDPOINTS:
                return vm, reply
            self.owners.mark_unresponsive(vm)
            node_metrics.METRICS.count('redwingvalve_silent_owners')
        return None

    async def _exchange(
        self, pending: _PendingAsk, ask: messages.Ask
    ) -> messages.Reply | None:
        began_s = self.clock()
        until_s = began_s + ask.need.wait_s + WAIT_SLACK_S
        reply = await self._send_and_wait(pending, ask, REPLY_TIMEOUT_S)
        missed = 0
        while reply is not None and reply.outcome is _QUEUED:
            if self.clock() > until_s:
                return messages.Reply(
                    ask.number,
                    messages.Outcome.REFUSED,
                    retry_after_s=RETRY_AFTER_S,
                )
            next_reply = await self._wait(pending, POLL_INTERVAL_S)
            if next_reply is None:
                need = _deduct_elapsed(ask.need, self.clock() - began_s)
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

    def _choose_locally(
        self, ask: messages.Ask
    ) -> held_slots.Grant | reservations.NoSlot:
        """Choose an endpoint by this node's own view."""
        if ask.need.is_hedge:
            # Only an owner knows whether requests wait for the slot.
            return reservations.NoSlot(RETRY_AFTER_S)
        node_metrics.METRICS.count('redwingvalve_places_chosen_alone')
        targets = self.targets.find_targets(ask.pool.service, ask.pool.model)
        # Only an owner knows how much of a rate limit other nodes have used.
        limited = self._held_slots.endpoint_reporter.limited()
        avoid = (*ask.avoid, *ask.resting, *limited)
        sampled = load_balancing.sample_candidates(targets, self.rng)
        for candidates in (sampled, targets):
            found = load_balancing.choose_least_loaded(
                candidates, self.loads, self.rng, avoid, ask.slow
            )
            if found is not None:
                number = next(self._numbers)
                return held_slots.Grant(number, ask.pool, '', found.endpoint_id)
        return reservations.NoSlot(RETRY_AFTER_S)

    def _resting(
        self, service: str, model: str, need: wait_queue.SlotRequest
    ) -> tuple[str, ...]:
        """Return the targets that rest, for a hedge also limited ones."""
        names = self._held_slots.rests.resting()
        if need.is_hedge:
            names += self._held_slots.endpoint_reporter.limited()
        if not names:
            return ()
        targets = {
            target.endpoint_id
            for target in self.targets.find_targets(service, model)
        }
        return tuple(name for name in names if name in targets)

    def _rest_left_s(
        self,
        service: str,
        model: str,
        avoid: collections_abc.Collection[str],
    ) -> float:
        """Return how much longer all endpoints that may be tried rest."""
        return min(
            (
                self._held_slots.rests.left_s(target.endpoint_id)
                for target in self.targets.find_targets(service, model)
                if target.endpoint_id not in avoid
            ),
            default=0.0,
        )

    def _find_granted_target(
        self, grant: held_slots.Grant
    ) -> load_balancing.Target | None:
        pool = grant.pool
        if self._held_slots.rests.left_s(grant.endpoint_id) > 0:
            return None
        for target in self.targets.find_targets(pool.service, pool.model):
            if target.endpoint_id == grant.endpoint_id:
                return target
        return None


def _deduct_elapsed(
    need: wait_queue.SlotRequest, elapsed_s: float
) -> wait_queue.SlotRequest:
    """Return the request with its time limits reduced by elapsed_s."""
    return attrs.evolve(
        need,
        on_time_s=max(0, need.on_time_s - elapsed_s),
        wait_s=max(0, need.wait_s - elapsed_s),
    )


def _longest_rest_s(need: wait_queue.SlotRequest) -> float:
    """Return how long a request may wait until an endpoint has rested.

    A request that was sent before may be a stream that its caller receives: it
    can't be refused any more, only broken off.
    """
    return need.wait_s if need.is_resumed else 0.0


async def _wait_for_rest(rest_s: float) -> None:
    # Even a sleep of 0 s lets all other tasks go first.
    if rest_s > 0:
        await anyio.sleep(rest_s)


def _is_final(reply: messages.Reply | None) -> bool:
    return reply is not None and reply.outcome is not _QUEUED
