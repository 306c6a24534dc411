"""Begins, ends and calls off moves of replicas between fabric domains.

Load pattern: see replicas.moving. The controller of the domain that gives a
replica up does the work, and one conditional write of the allocation agrees,
so that no leader is needed and two controllers never move the same replica
twice. All domains are listed only to begin a move, since at 150 domains a
list is some megabytes; an open move costs one read of one domain.
"""

import random

import attrs
from expression import Error, Ok, Result

from redwingvalve.core import clock
from redwingvalve.plans import fleet_state, planner
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import codec, move_policy, shares
from redwingvalve.replicas import domain as domain_module

# A whole domain's controllers would list all domains at once without a wait.
SEEK_EVERY_S = 20.0
LOOK_EVERY_S = 3.0


@attrs.frozen
class Step:
    """What was done; without_room names deployments whose change found none."""

    changed: bool = False
    listed: bool = False
    without_room: frozenset[str] = frozenset()


Listed = tuple[
    tuple[domain_module.FabricDomain, ...], tuple[shares.DomainCapacity, ...]
]


class MoveReconciler:
    """Takes the steps of one domain, no more often than stated above."""

    def __init__(
        self,
        store: object_api.ObjectApi,
        vms: vm_list.VmList,
        time_source: clock.Clock,
        chance: random.Random,
    ) -> None:
        """Agree through store; without_room is for the next decision."""
        self._store = store
        self._vms = vms
        self._clock = time_source
        self._chance = chance
        self._look_from_s = 0.0
        self._seek_from_s = 0.0
        self.without_room: frozenset[str] = frozenset()

    async def step(
        self,
        domain_state: move_policy.DomainState,
        deployments: move_policy.Deployments,
        agreed: shares.Allocation,
    ) -> bool:
        """Make one pass; tell whether moves changed.

        agreed may be some seconds old: it only tells whether to look.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._look_from_s:
            return False
        if not move_policy.concerns(domain_state, agreed, deployments):
            self.without_room = frozenset()
            return False
        done = await self._advance(
            domain_state, deployments, may_seek=now_s >= self._seek_from_s
        )
        jitter = self._chance.uniform(0.75, 1.25)
        self._look_from_s = now_s + LOOK_EVERY_S * jitter
        if done.listed:
            self._seek_from_s = now_s + SEEK_EVERY_S * jitter
            self.without_room = done.without_room
        return done.changed

    async def _advance(
        self,
        domain_state: move_policy.DomainState,
        deployments: move_policy.Deployments,
        *,
        may_seek: bool,
    ) -> Step:
        """Take one step; errors leave all to the next pass."""
        agreed = await fleet_state.read_allocation(self._store)
        if agreed.is_error() or not agreed.ok[1]:
            return Step()
        before, version = agreed.ok
        after = await self._ended(domain_state, deployments, before)
        if after != before:
            return Step(changed=await self._write(after, version))
        if not may_seek:
            return Step()
        listed = await self._list()
        if listed.is_error():
            return Step()
        domains, capacities = listed.ok
        if domain_state.short:
            after = move_policy.relief_moves(deployments, capacities, before)
        else:
            begun = move_policy.room_moves(
                domain_state, deployments, capacities, domains, before
            )
            after = shares.start_moves(before, begun)
        return Step(
            changed=after != before and await self._write(after, version),
            listed=True,
            without_room=move_policy.without_room(
                domain_state, deployments, capacities, after
            ),
        )

    async def _ended(
        self,
        domain_state: move_policy.DomainState,
        deployments: move_policy.Deployments,
        before: shares.Allocation,
    ) -> shares.Allocation:
        after = shares.cancel_moves(
            before, move_policy.called_off(domain_state, before, deployments)
        )
        for move in after.moves:
            if (
                move.from_domain == domain_state.domain.name
                and await self._arrived(move, after)
            ):
                after = shares.complete_moves(after, (move,))
        return after

    async def _arrived(
        self, move: shares.Move, agreed: shares.Allocation
    ) -> bool:
        found = await self._store.get(domain_module.KIND, move.to_domain)
        return found.is_ok() and move_policy.holds_share(
            domain_module.from_stored(found.ok), agreed, move.deployment
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
        # After a lost answer or a conflict the next pass reads what stands.
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
    chance: random.Random,
) -> MoveReconciler:
    """Return the mover of one domain."""
    return MoveReconciler(store, vms, time_source, chance)
