"""The slots that requests of this node hold, and reports of them."""

from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import cold_reporter as cold_reporter_module
from redwingvalve.allocation import (
    cold_starts,
    endpoint_rests,
    messages,
    owners,
)
from redwingvalve.allocation import (
    endpoint_reporter as endpoint_reporter_module,
)
from redwingvalve.ingress import load_balancing, reservations, state
from redwingvalve.platform import endpoint_statements


@attrs.frozen
class Grant:
    """A slot that was granted to this node."""

    number: int
    pool: messages.Pool
    # Empty if this node chose the target locally.
    owner: str
    endpoint_id: str
    is_rate_limited: bool = False
    is_cold: bool = False
    # The client account, empty if none.
    account: str = ''


@attrs.frozen
class _HeldSlot:
    grant: Grant
    target: load_balancing.Target
    started_s: float


@attrs.frozen
class _SlotReservation(reservations.Reservation):
    target: load_balancing.Target
    _number: int
    _slots: 'HeldSlots'

    def record_statement(
        self, statement: endpoint_statements.Statement
    ) -> None:
        self._slots.record_statement(self._number, statement)

    def release(
        self,
        leaving: reservations.ReleaseState,
        result: reservations.EndpointResult = (
            reservations.EndpointResult.UNKNOWN
        ),
    ) -> None:
        self._slots.release(messages.Release(self._number, leaving, result))


@attrs.define(eq=False)
class HeldSlots:
    """All slots that this node holds, by number of the ask."""

    owners: owners.PoolOwners
    transport: messages.Transport
    loads: load_balancing.EndpointLoads
    clock: collections_abc.Callable[[], float]
    endpoint_reporter: endpoint_reporter_module.EndpointReporter
    rests: endpoint_rests.EndpointRests
    cold_reporter: cold_reporter_module.ColdReporter
    _held: dict[int, _HeldSlot] = attrs.field(factory=dict)
    _last_owners: dict[messages.Pool, str] = attrs.field(factory=dict)

    def __contains__(self, number: object) -> bool:
        """Return whether the slot granted for an ask is held."""
        return number in self._held

    def hold(
        self, grant: Grant, target: load_balancing.Target
    ) -> reservations.Reservation:
        """Hold a granted slot until it is released."""
        now_s = self.clock()
        self._held[grant.number] = _HeldSlot(grant, target, now_s)
        self.loads.add_request(target.endpoint_id)
        self.endpoint_reporter.record_start(target.endpoint_id, grant.number)
        self.cold_reporter.record_start(
            cold_reporter_module.OwnStart(
                grant.pool,
                target.endpoint_id,
                grant.number,
                grant.owner,
                now_s,
                target.born_ms,
            )
        )
        return _SlotReservation(target, grant.number, self)

    def record_statement(
        self, number: int, statement: endpoint_statements.Statement
    ) -> None:
        """Record what the endpoint of a held slot states in its answer."""
        held = self._held.get(number)
        if held is None:
            return
        if statement.rest_s:
            self.rests.start(held.grant.endpoint_id, statement.rest_s)
        request = endpoint_reporter_module.AnsweredRequest(
            held.grant.pool,
            number,
            held.grant.endpoint_id,
            held.started_s,
            held.grant.is_rate_limited,
            held.target.born_ms,
        )
        self.endpoint_reporter.record_answer(request, statement.requests_per_s)
        if statement.cold_left_s:
            self.cold_reporter.record_cold(
                held.grant.pool,
                held.target,
                statement.cold_left_s,
                is_known_to_owner=held.grant.is_cold,
            )
        if statement.is_leaving:
            self.endpoint_reporter.record_leaving(
                held.grant.pool, held.grant.endpoint_id, held.target.born_ms
            )

    def release(self, release: messages.Release) -> None:
        """Release a slot."""
        held = self._held.pop(release.number, None)
        if held is None:
            return
        self.loads.remove_request(held.target.endpoint_id)
        owner = held.grant.owner or self._current_owner(held.grant.pool)
        if owner:
            self.transport.send(owner, release)

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Release the slots of an endpoint's previous processes.

        Their requests are gone, and their answers say nothing about the next.
        """
        self.rests.forget(endpoint_id)
        self.endpoint_reporter.forget(endpoint_id, born_ms)
        self.cold_reporter.forget(endpoint_id, born_ms)
        past = [
            number
            for number, held in self._held.items()
            if held.target.endpoint_id == endpoint_id
            and not (born_ms and held.target.born_ms == born_ms)
        ]
        for number in past:
            self.release(messages.Release(number))

    def report(self) -> None:
        """Report held slots and rate limits to the owners of their pools."""
        self.endpoint_reporter.report(self._last_owners)
        self.cold_reporter.report(self._last_owners)
        pools = {held.grant.pool for held in self._held.values()}
        for pool in pools:
            self._report_to_owner(pool)

    def report_before_ask(self, pool: messages.Pool, vm: str) -> None:
        """Report to an owner before it grants more."""
        self.endpoint_reporter.report_before_ask(pool, vm)
        is_new_owner = self._last_owners.get(pool) != vm
        self.cold_reporter.report_before_ask(
            pool, vm, is_new_owner=is_new_owner
        )
        if not is_new_owner:
            return
        is_first = pool not in self._last_owners
        self._last_owners[pool] = vm
        if not is_first:
            self._report_to_owner(pool)

    def _current_owner(self, pool: messages.Pool) -> str:
        return next(iter(self.owners.ranked_for(pool)), '')

    def report_pool(self, pool: messages.Pool, vm: str) -> None:
        """Report the slots of a pool to a node, also if there are none."""
        endpoint_ids = self._endpoint_ids(pool)
        accounts = {
            number: self._held[number].grant.account
            for number in endpoint_ids
            if self._held[number].grant.account
        }
        born_ms = {
            number: self._held[number].target.born_ms
            for number in endpoint_ids
            if self._held[number].target.born_ms
        }
        holdings = messages.Holdings(pool, endpoint_ids, accounts, born_ms)
        self.transport.send(vm, holdings)

    def _report_to_owner(self, pool: messages.Pool) -> None:
        owner = self._current_owner(pool)
        if owner and self._endpoint_ids(pool):
            self.report_pool(pool, owner)

    def _endpoint_ids(self, pool: messages.Pool) -> dict[int, str]:
        return {
            number: held.target.endpoint_id
            for number, held in self._held.items()
            if held.grant.pool == pool
        }


def make_held_slots(
    pool_owners: owners.PoolOwners,
    transport: messages.Transport,
    loads: load_balancing.EndpointLoads,
    targets: state.TargetProvider,
    clock: collections_abc.Callable[[], float],
    cold: cold_starts.ColdStarts,
) -> HeldSlots:
    """Return an empty table, with what endpoints state to this node."""
    reporter = endpoint_reporter_module.EndpointReporter(
        targets, pool_owners, transport, clock
    )
    rests = endpoint_rests.EndpointRests(clock)
    cold_reporter = cold_reporter_module.ColdReporter(
        cold, pool_owners, transport, clock
    )
    return HeldSlots(
        pool_owners, transport, loads, clock, reporter, rests, cold_reporter
    )
