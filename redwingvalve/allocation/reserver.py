"""Gets places for this node's requests from the nodes that grant them.

Load pattern: the node that grants dies, freezes, or is cut off while requests
need places. An ask without an answer goes to the next node in rank, and after
that this node chooses an endpoint by what it knows itself. What it holds then
is told to whoever counts next, with what it holds otherwise.
"""

import asyncio
import itertools
import random
import typing
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.allocation import messages
from redwingvalve.allocation import owners as owners_module
from redwingvalve.ingress import load_balancing, reservations, state, wait_queue
from redwingvalve.observability import node_metrics

# A round trip between data centres takes a few milliseconds, a busy node
# answers some milliseconds later; goals of callers are hundreds of them.
ANSWER_S = 0.04
# Between two questions whether an ask still waits; one lost answer is excused.
POLL_S = 0.1
MISSED_POLLS = 2
# Beyond the time that a request may wait.
WAIT_SLACK_S = 0.2
# Other data centres that are asked when the own one is full: with two that are
# drawn by chance the fullest are avoided as well as with all.
OTHERS_ASKED = 2
# Of the time in which a granted request can still be on time: a grant has to
# come back, and the request has to be sent.
GRANT_SLACK_S = 0.01
# Targets that this node doesn't know are given back, so many times.
MOST_UNKNOWN = 3
# Holdings are told this often while there are any.
REPORT_INTERVAL_S = 0.5
# Without an owner that answers, callers come back after this.
RETRY_AFTER_S = 0.8

_GRANTED = messages.Outcome.GRANTED
_QUEUED = messages.Outcome.QUEUED
_UNABLE = messages.Outcome.UNABLE


class Transport(typing.Protocol):
    """Carries messages to other nodes; some get lost."""

    def send(self, vm: str, message: messages.Message) -> None:
        """Send a message to a node, or drop it if the node isn't known."""


@attrs.define(eq=False)
class _Pending:
    number: int
    vm: str
    latest: messages.Reply | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def take(self, reply: messages.Reply) -> None:
        """Take a reply unless a later one has overtaken it."""
        if reply.outcome is _QUEUED and _is_final(self.latest):
            return
        self.latest = reply
        self.changed.set()


@attrs.frozen
class _Grant:
    number: int
    pool: messages.Pool
    # Empty if this node chose by itself.
    granter: str
    endpoint_id: str


@attrs.frozen
class _Held:
    pool: messages.Pool
    target: load_balancing.Target
    # Who granted it; empty if this node chose by itself.
    granter: str


@attrs.frozen
class _Place(reservations.Reservation):
    target: load_balancing.Target
    _number: int
    _reserver: 'NodeReserver'

    def release(self, leaving: reservations.ReleaseState) -> None:
        self._reserver.give_back(self._number, leaving)


@attrs.define(eq=False)
class NodeReserver(reservations.Reserver):
    """Reserves places for one node."""

    data_centre: str
    targets: state.TargetProvider
    owners: owners_module.PoolOwners
    transport: Transport
    loads: load_balancing.EndpointLoads
    clock: collections_abc.Callable[[], float]
    rng: random.Random = attrs.field(factory=random.Random)
    # Whether the data centres of a model count their places apart.
    is_split_by_data_centre: collections_abc.Callable[[], bool] = lambda: True
    _numbers: typing.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )
    _pending: dict[int, _Pending] = attrs.field(factory=dict)
    _held: dict[int, _Held] = attrs.field(factory=dict)
    _told_owners: dict[messages.Pool, str] = attrs.field(factory=dict)

    async def reserve(
        self,
        service: str,
        model: str,
        need: wait_queue.SlotRequest,
        avoid: collections_abc.Collection[str],
        slow: collections_abc.Collection[str],
    ) -> reservations.Reservation | reservations.NoSlot:
        """Return a place for a request, or when its caller may come back."""
        avoided = list(avoid)
        need = _later(need, GRANT_SLACK_S)
        for _ in range(MOST_UNKNOWN):
            pools = self._pools(service, model)
            if not pools:
                break
            ask = messages.Ask(
                0, pools[0], len(pools) == 1, need, tuple(avoided), tuple(slow)
            )
            found = await self._find(pools, ask)
            if isinstance(found, reservations.NoSlot):
                return found
            target = self._known(found)
            if target is not None:
                return self._keep(found, target)
            self.transport.send(found.granter, messages.Release(found.number))
            avoided.append(found.endpoint_id)
        return reservations.NoSlot(RETRY_AFTER_S)

    def heard(self, vm: str, reply: messages.Reply) -> None:
        """Take a reply to an ask."""
        self.owners.has_answered(vm)
        pending = self._pending.get(reply.number)
        if pending is not None and pending.vm == vm:
            pending.take(reply)
        elif reply.outcome is _GRANTED and reply.number not in self._held:
            # Nobody waits for it any more.
            self.transport.send(vm, messages.Release(reply.number))

    def give_back(
        self, number: int, leaving: reservations.ReleaseState
    ) -> None:
        """Release a place."""
        held = self._held.pop(number, None)
        if held is None:
            return
        self.loads.remove_request(held.target.endpoint_id)
        owner = held.granter or self._owner(held.pool)
        if owner:
            self.transport.send(owner, messages.Release(number, leaving))

    async def run(self) -> typing.NoReturn:
        """Tell owners what is held here until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Tell owners what is held here."""
        pools = {held.pool for held in self._held.values()}
        for pool in pools:
            self._report_pool(pool)

    async def _find(
        self, pools: list[messages.Pool], ask: messages.Ask
    ) -> _Grant | reservations.NoSlot:
        """Return a place in the first pool that has one, or wait for one."""
        began_s = self.clock()
        shortest, shortest_s = pools[0], float('inf')
        for pool in pools:
            decided = await self._try(attrs.evolve(ask, pool=pool))
            if not isinstance(decided, messages.Reply):
                return decided
            if decided.expected_s < shortest_s:
                shortest, shortest_s = pool, decided.expected_s
        need = _later(ask.need, self.clock() - began_s)
        last = attrs.evolve(ask, pool=shortest, may_wait=True, need=need)
        decided = await self._try(last)
        if isinstance(decided, messages.Reply):
            return reservations.NoSlot(decided.retry_after_s)
        return decided

    async def _try(
        self, ask: messages.Ask
    ) -> _Grant | reservations.NoSlot | messages.Reply:
        """Return a place or a refusal; the reply if the pool is full."""
        found = await self._ask(ask)
        if found is None:
            return self._choose(ask)
        vm, reply = found
        if reply.outcome is _GRANTED:
            return _Grant(reply.number, ask.pool, vm, reply.endpoint_id)
        if ask.may_wait:
            return reservations.NoSlot(reply.retry_after_s)
        return reply

    def _pools(self, service: str, model: str) -> list[messages.Pool]:
        """Return the pools to be asked, that of this data centre first."""
        targets = self.targets.find_targets(service, model)
        if not (model and self.is_split_by_data_centre()):
            found = [messages.Pool(service, model, '')]
            return found if targets else []
        data_centres = {target.data_centre for target in targets}
        others = sorted(data_centres - {self.data_centre})
        drawn = self.rng.sample(others, min(len(others), OTHERS_ASKED))
        if self.data_centre in data_centres:
            drawn.insert(0, self.data_centre)
        return [messages.Pool(service, model, one) for one in drawn]

    async def _ask(
        self, ask: messages.Ask
    ) -> tuple[str, messages.Reply] | None:
        """Return who decided an ask, and what; None without an answer."""
        asked_s = self.clock()
        for vm in self.owners.ranked_for(ask.pool):
            self._note_owner(ask.pool, vm)
            pending = _Pending(next(self._numbers), vm)
            self._pending[pending.number] = pending
            need = _later(ask.need, self.clock() - asked_s)
            try:
                reply = await self._exchange(
                    pending,
                    attrs.evolve(ask, number=pending.number, need=need),
                )
            finally:
                self._pending.pop(pending.number)
                if not _is_final(pending.latest):
                    release = messages.Release(pending.number)
                    self.transport.send(vm, release)
            if reply is not None and reply.outcome is not _UNABLE:
                return vm, reply
            self.owners.was_silent(vm)
            node_metrics.METRICS.count('redwingvalve_silent_owners')
        return None

    async def _exchange(
        self, pending: _Pending, ask: messages.Ask
    ) -> messages.Reply | None:
        began_s = self.clock()
        until_s = began_s + ask.need.wait_s + WAIT_SLACK_S
        reply = await self._send_and_wait(pending, ask, ANSWER_S)
        missed = 0
        while reply is not None and reply.outcome is _QUEUED:
            if self.clock() > until_s:
                return messages.Reply(
                    ask.number,
                    messages.Outcome.REFUSED,
                    retry_after_s=RETRY_AFTER_S,
                )
            newer = await self._wait(pending, POLL_S)
            if newer is None:
                need = _later(ask.need, self.clock() - began_s)
                again = attrs.evolve(ask, need=need)
                newer = await self._send_and_wait(pending, again, ANSWER_S)
            missed = 0 if newer else missed + 1
            if missed >= MISSED_POLLS:
                return None
            reply = newer or reply
        return reply

    async def _send_and_wait(
        self, pending: _Pending, ask: messages.Ask, timeout_s: float
    ) -> messages.Reply | None:
        pending.changed.clear()
        self.transport.send(pending.vm, ask)
        return await self._wait(pending, timeout_s)

    async def _wait(
        self, pending: _Pending, timeout_s: float
    ) -> messages.Reply | None:
        if not pending.changed.is_set():
            try:
                async with asyncio.timeout(timeout_s):
                    await pending.changed.wait()
            except TimeoutError:
                return None
        pending.changed.clear()
        return pending.latest

    def _choose(self, ask: messages.Ask) -> _Grant | reservations.NoSlot:
        """Choose by what this node knows itself."""
        node_metrics.METRICS.count('redwingvalve_places_chosen_alone')
        targets = self.targets.find_targets(ask.pool.service, ask.pool.model)
        drawn = load_balancing.sample_candidates(targets, self.rng)
        for among in (drawn, targets):
            found = load_balancing.choose_least_loaded(
                among, self.loads, self.rng, ask.avoid, ask.slow
            )
            if found is not None:
                number = next(self._numbers)
                return _Grant(number, ask.pool, '', found.endpoint_id)
        return reservations.NoSlot(RETRY_AFTER_S)

    def _known(self, grant: _Grant) -> load_balancing.Target | None:
        pool = grant.pool
        for target in self.targets.find_targets(pool.service, pool.model):
            if target.endpoint_id == grant.endpoint_id:
                return target
        return None

    def _keep(
        self, grant: _Grant, target: load_balancing.Target
    ) -> reservations.Reservation:
        self._held[grant.number] = _Held(grant.pool, target, grant.granter)
        self.loads.add_request(target.endpoint_id)
        return _Place(target, grant.number, self)

    def _owner(self, pool: messages.Pool) -> str:
        return next(iter(self.owners.ranked_for(pool)), '')

    def _note_owner(self, pool: messages.Pool, vm: str) -> None:
        """Tell a new owner what is held here, before it grants more."""
        if self._told_owners.get(pool) == vm:
            return
        is_first = pool not in self._told_owners
        self._told_owners[pool] = vm
        if not is_first:
            self._report_pool(pool)

    def _report_pool(self, pool: messages.Pool) -> None:
        owner = self._owner(pool)
        endpoint_ids = {
            number: held.target.endpoint_id
            for number, held in self._held.items()
            if held.pool == pool
        }
        if owner and endpoint_ids:
            holdings = messages.Holdings(pool, endpoint_ids)
            self.transport.send(owner, holdings)


def _later(
    need: wait_queue.SlotRequest, passed_s: float
) -> wait_queue.SlotRequest:
    """Return what a request needs once some time has passed."""
    return attrs.evolve(
        need,
        on_time_s=max(0, need.on_time_s - passed_s),
        wait_s=max(0, need.wait_s - passed_s),
    )


def _is_final(reply: messages.Reply | None) -> bool:
    return reply is not None and reply.outcome is not _QUEUED
