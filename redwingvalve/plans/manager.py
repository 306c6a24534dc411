"""Proposes, confirms and discards plans.

A confirmation has two writes. The first marks the plan, so that it can be
decided once only; the second makes it the one in force, by a conditional
update of one object for which racing operators compete. A process that dies
between the two leaves a marked plan, which any controller carries on.
"""

import secrets

import attrs
from expression import Error, Ok, Result

from redwingvalve.core import clock
from redwingvalve.declaration import schema
from redwingvalve.plans import (
    applier,
    fleet_state,
    objects,
    plan,
    planner,
    verified_writes,
)
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import codec

PlanResult = Result[plan.Plan, plan.PlanError]
NAME_BYTES = 5


class PlanManager:
    """All plans of one operator's system."""

    def __init__(
        self,
        store: object_api.ObjectApi,
        vms: vm_list.VmList,
        time_source: clock.Clock,
    ) -> None:
        """Keep plans in store."""
        self._store = store
        self._vms = vms
        self._clock = time_source

    async def propose(
        self, declaration: schema.Declaration, operator: str, name: str = ''
    ) -> PlanResult:
        """Make a plan and keep it; nothing else changes."""
        read = await fleet_state.read_fleet_state(self._store, self._vms)
        if read.is_error():
            return Error(read.error)
        proposal = planner.Proposal(
            name or f'plan-{secrets.token_hex(NAME_BYTES)}',
            operator,
            self._clock.wall_s(),
        )
        made = planner.make_plan(declaration, read.ok[0], proposal)
        written = await verified_writes.create(
            self._store, objects.PLANS, made.name, codec.to_body(made)
        )
        if written.is_error():
            return Error(fleet_state.to_plan_error(written.error))
        return Ok(made)

    async def read(self, name: str) -> PlanResult:
        """Return a plan."""
        found = await fleet_state.read_plan(self._store, name)
        return found.map(lambda pair: pair[0])

    async def list(self) -> Result[tuple[plan.Plan, ...], plan.PlanError]:
        """Return all kept plans."""
        listed = await self._store.list(objects.PLANS)
        if listed.is_error():
            return Error(fleet_state.to_plan_error(listed.error))
        return Ok(
            tuple(
                codec.from_body(stored.body, plan.Plan)
                for stored in listed.ok.objects
            )
        )

    async def discard(self, name: str, operator: str) -> PlanResult:
        """Discard a proposed plan."""
        found = await self._read_undecided(name)
        if found.is_error():
            return Error(found.error)
        return await self._decide(found.ok, plan.PlanState.DISCARDED, operator)

    async def confirm(self, name: str, operator: str) -> PlanResult:
        """Put a plan in force, or tell why not and who was faster.

        Once it is in force it is applied here if possible, and otherwise by
        any controller.
        """
        await self._apply_current()
        found = await self._read_undecided(name)
        if found.is_error():
            return Error(found.error)
        proposed = found.ok[0]
        read = await fleet_state.read_fleet_state(self._store, self._vms)
        if read.is_error():
            return Error(read.error)
        state, current = read.ok
        if state.generation != proposed.basis.generation:
            return Error(await self._lost(proposed, current))
        moved = _moved(proposed, state)
        if moved:
            return Error(plan.PlanOutdated(name, moved))
        marked = await self._decide(
            found.ok, plan.PlanState.CONFIRMED, operator
        )
        if marked.is_error():
            return marked
        committed = await self.commit(marked.ok, current)
        if committed.is_ok():
            await self._apply_current()
        return committed

    async def commit(
        self, marked: plan.Plan, current: fleet_state.CurrentConfirmation
    ) -> PlanResult:
        """Make a marked plan the one in force; exactly one wins."""
        if current.confirmed.plan == marked.name:
            return Ok(marked)
        # A carrier of an older plan, paused between its check and its write,
        # would bring old content back into an object that the newer plan
        # left alone. Once a plan was applied, none of its writes is left.
        if not current.confirmed.applied:
            return Error(
                plan.StoreError(
                    f'plan {current.confirmed.plan} is still being applied'
                )
            )
        confirmed = objects.Confirmation(
            generation=marked.basis.generation + 1,
            plan=marked.name,
            confirmed_by=marked.decided_by,
            confirmed_at_s=self._clock.wall_s(),
            applied=False,
        )
        written = await self._write_current(confirmed, current.version)
        if written.is_ok():
            return Ok(marked)
        if not isinstance(written.error, object_api.Conflict):
            return Error(fleet_state.to_plan_error(written.error))
        newer = await fleet_state.read_current(self._store)
        if newer.is_error():
            return Error(newer.error)
        if newer.ok.confirmed.plan == marked.name:
            return Ok(marked)
        return Error(await self._lost(marked, newer.ok))

    async def _apply_current(self) -> None:
        current = await fleet_state.read_current(self._store)
        if current.is_ok() and not current.ok.confirmed.applied:
            await applier.apply_confirmed(self._store, current.ok)

    async def _write_current(
        self, confirmed: objects.Confirmation, version: str
    ) -> verified_writes.StoredResult:
        kind, name = objects.DECLARATIONS, objects.CURRENT
        body = codec.to_body(confirmed)
        if not version:
            return await verified_writes.create(self._store, kind, name, body)
        return await verified_writes.update(
            self._store, object_api.StoredObject(kind, name, version, body)
        )

    async def _read_undecided(
        self, name: str
    ) -> Result[tuple[plan.Plan, str], plan.PlanError]:
        found = await fleet_state.read_plan(self._store, name)
        if found.is_error():
            return found
        kept = found.ok[0]
        if kept.state != plan.PlanState.PROPOSED:
            return Error(
                plan.PlanDecided(name, kept.state.value, kept.decided_by)
            )
        return found

    async def _decide(
        self,
        found: tuple[plan.Plan, str],
        state: plan.PlanState,
        operator: str,
    ) -> PlanResult:
        proposed, version = found
        decided = attrs.evolve(proposed, state=state, decided_by=operator)
        written = await verified_writes.update(
            self._store,
            object_api.StoredObject(
                objects.PLANS, proposed.name, version, codec.to_body(decided)
            ),
        )
        if written.is_ok():
            return Ok(decided)
        if not isinstance(written.error, object_api.Conflict):
            return Error(fleet_state.to_plan_error(written.error))
        newer = await self.read(proposed.name)
        if newer.is_error():
            return newer
        return Error(
            plan.PlanDecided(
                proposed.name, newer.ok.state.value, newer.ok.decided_by
            )
        )

    async def _lost(
        self, loser: plan.Plan, current: fleet_state.CurrentConfirmation
    ) -> plan.PlanLost:
        confirmed = current.confirmed
        winner = await self.read(confirmed.plan)
        changes: tuple[str, ...] = ()
        if winner.is_ok():
            changes = tuple(
                f'{change.subject}: {change.count} {change.kind.value}'
                for change in winner.ok.changes
            )
        return plan.PlanLost(
            loser.name,
            confirmed.confirmed_by,
            confirmed.plan,
            confirmed.generation,
            changes,
        )


def _moved(proposed: plan.Plan, state: planner.FleetState) -> str:
    """Say what moved, if the plan would now be another one.

    VMs come and go every few minutes in a large fleet. A plan that any such
    change made void could hardly ever be confirmed. It holds while its own
    placement still fits and a plan made now would promise the same.
    """
    before = dict(proposed.basis.domain_fingerprints)
    after = dict(planner.basis_of(state).domain_fingerprints)
    names = sorted(set(before) | set(after))
    changed = [name for name in names if before.get(name) != after.get(name)]
    remade = planner.make_plan(
        proposed.declaration,
        state,
        planner.Proposal(
            proposed.name, proposed.proposed_by, proposed.proposed_at_s
        ),
    )
    moved = _moved_since(proposed, remade, state)
    if moved:
        return f'replicas moved in {", ".join(moved)}'
    fits = planner.placement_fits(proposed, state)
    if fits and _promises(remade) == _promises(proposed):
        return ''
    where = ', '.join(changed) or 'the VM list'
    return f'VMs or replicas changed in {where}'


def _moved_since(
    proposed: plan.Plan, remade: plan.Plan, state: planner.FleetState
) -> list[str]:
    """Name the domains to which replicas moved after the plan was made.

    The plan would take them back in one step, without their old place being
    formed first: callers would miss a replica for the time of a load.
    """
    return [
        share.domain
        for share in remade.allocation.shares
        if proposed.allocation.replicas(share.domain, share.deployment)
        < min(
            share.replicas,
            state.allocation.replicas(share.domain, share.deployment),
        )
    ]


def _promises(made: plan.Plan) -> tuple[object, ...]:
    counts = tuple(
        (change.kind, change.subject, change.count) for change in made.changes
    )
    return (counts, made.risks)


def make_plan_manager(
    store: object_api.ObjectApi,
    vms: vm_list.VmList,
    time_source: clock.Clock,
) -> PlanManager:
    """Return the book of plans kept in a store."""
    return PlanManager(store, vms, time_source)
