"""Starts, completes and cancels moves of replicas between fabric domains.

Load pattern: see replicas.move_policy. The controller of the domain that gives
up a replica handles its move. Each step is one conditional write of the
allocation, so that no leader is needed and two controllers never move the same
replica twice. All domains are listed only to start a move, since the list is
some megabytes at 150 domains. A move in progress costs one read of one domain.
"""

import random

import attrs
from expression import Error, Ok, Result

from redwingvalve.core import clock
from redwingvalve.plans import fleet_state, planner
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import codec, move_policy, shares
from redwingvalve.replicas import domain as domain_module

# Minimum interval, with jitter, between two lists of all domains. Without it
# many controllers would list them at the same time.
LIST_INTERVAL_S = 20.0
CHECK_INTERVAL_S = 3.0


@attrs.frozen
class StepResult:
    """Result of one step.

    without_room names the deployments whose change has room in no domain.
    """

    changed: bool = False
    listed: bool = False
    without_room: frozenset[str] = frozenset()


Listed = tuple[
    tuple[domain_module.FabricDomain, ...], tuple[shares.DomainCapacity, ...]
]


class MoveReconciler:
    """Reconciles the moves of one domain at the intervals given above."""

    def __init__(
        self,
        store: object_api.ObjectApi,
        vms: vm_list.VmList,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Keep the allocation in store.

        without_room is an input of the next step of the domain controller.
        """
        self._store = store
        self._vms = vms
        self._clock = time_source
        self._rng = rng
        self._next_check_s = 0.0
        self._next_list_s = 0.0
        self.without_room: frozenset[str] = frozenset()

    async def step(
        self,
        domain_state: move_policy.DomainState,
        deployments: move_policy.Deployments,
        allocation: shares.Allocation,
    ) -> bool:
        """Reconcile once; tell whether moves changed.

        allocation may be some seconds old: it only decides whether the stored
        one has to be read.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._next_check_s:
            return False
        if not move_policy.needs_step(domain_state, allocation, deployments):
            self.without_room = frozenset()
            return False
        done = await self._advance(
            domain_state, deployments, may_list=now_s >= self._next_list_s
        )
        jitter = self._rng.uniform(0.75, 1.25)
        self._next_check_s = now_s + CHECK_INTERVAL_S * jitter
        if done.listed:
            self._next_list_s = now_s + LIST_INTERVAL_S * jitter
            self.without_room = done.without_room
        return done.changed

    async def _advance(
        self,
        domain_state: move_policy.DomainState,
        deployments: move_policy.Deployments,
        *,
        may_list: bool,
    ) -> StepResult:
        """Take one step; after an error the next call tries again."""
        allocation = await fleet_state.read_allocation(self._store)
        if allocation.is_error() or not allocation.ok[1]:
            return StepResult()
        before, version = allocation.ok
        after = await self._with_ended_moves(domain_state, deployments, before)
        if after != before:
            return StepResult(changed=await self._write(after, version))
        if not may_list:
            return StepResult()
        listed = await self._list()
        if listed.is_error():
            return StepResult()
        domains, capacities = listed.ok
        if domain_state.short_deployments:
            after = move_policy.relief_moves(deployments, capacities, before)
        else:
            started = move_policy.room_moves(
                domain_state, deployments, capacities, domains, before
            )
            after = shares.start_moves(before, started)
        return StepResult(
            changed=after != before and await self._write(after, version),
            listed=True,
            without_room=move_policy.without_room(
                domain_state, deployments, capacities, after
            ),
        )

    async def _with_ended_moves(
        self,
        domain_state: move_policy.DomainState,
        deployments: move_policy.Deployments,
        before: shares.Allocation,
    ) -> shares.Allocation:
        after = shares.cancel_moves(
            before,
            move_policy.moves_to_cancel(domain_state, before, deployments),
        )
        for move in after.moves:
            if (
                move.from_domain == domain_state.domain.name
                and await self._is_complete(move, after)
            ):
                after = shares.complete_moves(after, (move,))
        return after

    async def _is_complete(
        self, move: shares.Move, allocation: shares.Allocation
    ) -> bool:
        found = await self._store.get(domain_module.KIND, move.to_domain)
        return found.is_ok() and move_policy.serves_full_share(
            domain_module.from_stored(found.ok), allocation, move.deployment
        )

    async def _list(self) -> Result[Listed, object_api.ObjectError]:
        stored = await self._store.list(domain_module.KIND)
        if stored.is_error():
            return Error(stored.error)
        vms = await self._vms.read()
        if vms.is_error():
            return Error(vms.error)
        domains = tuple(map(domain_module.from_stored, stored.ok.objects))
        state = planner.FleetState(domains=domains, vms=vms.ok)
        return Ok((domains, planner.capacities_of(state)))

    async def _write(self, after: shares.Allocation, version: str) -> bool:
        # After a lost answer or a conflict the next step reads the allocation
        # again.
        written = await self._store.update(
            object_api.StoredObject(
                shares.KIND, shares.NAME, version, codec.to_body(after)
            )
        )
        return written.is_ok()


def make_move_reconciler(
    store: object_api.ObjectApi,
    vms: vm_list.VmList,
    time_source: clock.Clock,
    rng: random.Random,
) -> MoveReconciler:
    """Return the move reconciler of one domain."""
    return MoveReconciler(store, vms, time_source, rng)
