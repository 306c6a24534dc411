"""Reserves slots for this node's requests with the owners of the pools.

Load pattern: the owner of a pool dies, freezes or is cut off while requests
need slots. An ask without an answer goes to the next owner in rank, and after
that this node chooses an endpoint by its own view. It reports slots chosen that
way to the next owner together with the granted ones.
"""

import itertools
import random
import typing
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.allocation import (
    cold_starts,
    held_slots,
    messages,
    owner_asks,
)
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

_GRANTED = messages.Outcome.GRANTED


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
    # Whether an evacuation has left a pool without endpoints.
    is_evacuated: collections_abc.Callable[[messages.Pool], bool] = (
        lambda pool: False
    )
    # Targets that this node leaves to others, as it can't connect to them.
    unreached: collections_abc.Callable[
        [str, str], collections_abc.Sequence[str]
    ] = lambda service, model: ()
    # This node's own starts.
    cold: cold_starts.ColdStarts = attrs.field(
        factory=cold_starts.make_unlimited
    )
    _numbers: typing.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )
    _asks: owner_asks.OwnerAsks = attrs.field(init=False)
    _held_slots: held_slots.HeldSlots = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the table of held slots, and the asks for more."""
        self._held_slots = held_slots.make_held_slots(
            self.owners,
            self.transport,
            self.loads,
            self.targets,
            self.clock,
            self.cold,
        )
        self._asks = owner_asks.OwnerAsks(
            self.owners,
            self.transport,
            self.clock,
            self._numbers,
            self._held_slots.report_before_ask,
            self.is_evacuated,
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
        need = wait_queue.deduct_elapsed(need, GRANT_SLACK_S)
        began_s = self.clock()
        for _ in range(MAX_UNUSABLE_GRANTS):
            rest_s = self._rest_left_s(service, model, avoided_ids)
            left = wait_queue.deduct_elapsed(need, self.clock() - began_s)
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
                wait_queue.deduct_elapsed(need, self.clock() - began_s),
                tuple(avoided_ids),
                tuple(slow),
                self._resting(service, model, need),
            )
            found = await self._try_pools(pools, ask, avoided_ids)
            if found is not None:
                return found
        LOG.info(
            'no usable grant',
            extra={
                'service': service,
                'model': model,
                'endpoints': avoided_ids,
                'is_resumed': need.is_resumed,
            },
        )
        return reservations.NoSlot(owner_asks.RETRY_AFTER_S)

    def handle_reply(self, vm: str, reply: messages.Reply) -> None:
        """Handle a reply to an ask."""
        self.owners.mark_responsive(vm)
        if self._asks.accept(vm, reply):
            return
        if reply.outcome is _GRANTED and reply.number not in self._held_slots:
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

    async def _try_pools(
        self, pools: list[messages.Pool], ask: messages.Ask, avoided: list[str]
    ) -> reservations.Reservation | reservations.NoSlot | None:
        """Return a slot or a refusal, None if another try may find a slot."""
        found = await self._find_slot(pools, ask)
        if isinstance(found, reservations.NoSlot):
            # Other pools may serve what waited for an evacuated one.
            return None if any(map(self.is_evacuated, pools)) else found
        target = self._find_granted_target(found)
        if target is not None:
            return self._held_slots.hold(found, target)
        self.transport.send(found.owner, messages.Release(found.number))
        avoided.insert(0, found.endpoint_id)
        node_metrics.METRICS.count('redwingvalve_unusable_grants')
        return None

    def report_pool(self, pool: messages.Pool, vm: str) -> None:
        """Report the held slots of a pool to a node that takes it over."""
        self._held_slots.report_pool(pool, vm)

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Forget the previous processes of an endpoint that has restarted."""
        self._held_slots.forget(endpoint_id, born_ms)

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
        need = wait_queue.deduct_elapsed(ask.need, self.clock() - began_s)
        last = attrs.evolve(ask, pool=shortest_pool, may_wait=True, need=need)
        answer = await self._try_pool(last)
        if isinstance(answer, messages.Reply):
            return reservations.NoSlot(answer.retry_after_s)
        return answer

    async def _try_pool(
        self, ask: messages.Ask
    ) -> held_slots.Grant | reservations.NoSlot | messages.Reply:
        """Return a slot or a refusal, or the reply if the pool is full."""
        found = await self._asks.ask(ask)
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
                is_cold=reply.is_cold,
                account=ask.need.account,
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

    def _choose_locally(
        self, ask: messages.Ask
    ) -> held_slots.Grant | reservations.NoSlot:
        """Choose an endpoint by this node's own view."""
        if ask.need.is_hedge:
            # Only an owner knows whether requests wait for the slot.
            return reservations.NoSlot(owner_asks.RETRY_AFTER_S)
        node_metrics.METRICS.count('redwingvalve_places_chosen_alone')
        targets = self.targets.find_targets(ask.pool.service, ask.pool.model)
        # Only an owner knows how much of a rate limit other nodes have used.
        limited = self._held_slots.endpoint_reporter.limited()
        unusable = self._held_slots.cold_reporter.unusable()
        avoid = (*ask.avoid, *ask.resting, *limited, *unusable)
        sampled = load_balancing.sample_candidates(targets, self.rng)
        for candidates in (sampled, targets):
            found = load_balancing.choose_least_loaded(
                candidates, self.loads, self.rng, avoid, ask.slow
            )
            if found is not None:
                number = next(self._numbers)
                return held_slots.Grant(
                    number,
                    ask.pool,
                    '',
                    found.endpoint_id,
                    account=ask.need.account,
                )
        return reservations.NoSlot(owner_asks.RETRY_AFTER_S)

    def _resting(
        self, service: str, model: str, need: wait_queue.SlotRequest
    ) -> tuple[str, ...]:
        """Return the targets to avoid that other nodes may use.

        They rest or are out of reach, for a hedge they may also be limited.
        """
        unreached = tuple(self.unreached(service, model))
        names = self._held_slots.rests.resting()
        if need.is_hedge:
            names += self._held_slots.endpoint_reporter.limited()
        if not names:
            return unreached
        targets = {
            target.endpoint_id
            for target in self.targets.find_targets(service, model)
        }
        in_use = tuple(name for name in names if name in targets)
        return unreached + in_use

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
