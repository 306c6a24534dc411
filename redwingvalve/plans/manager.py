"""Proposes, confirms and discards plans.

A confirmation takes two writes. The first sets the state of the plan, so that
a plan is decided only once. The second commits it: a conditional update of a
single object makes it the current plan, and of several concurrent updates one
succeeds. A process that dies between the two writes leaves an uncommitted
plan, which any controller commits later.
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
    """Manages all plans of a fleet."""

    def __init__(
        self,
        store: object_api.ObjectApi,
        vms: vm_list.VmList,
        time_source: clock.Clock,
    ) -> None:
        """Keep plans in store; read the VMs of the fleet from vms."""
        self._store = store
        self._vms = vms
        self._clock = time_source

    async def propose(
        self, declaration: schema.Declaration, operator: str, name: str = ''
    ) -> PlanResult:
        """Make a plan and store it; nothing else changes."""
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
        """Return all stored plans."""
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
        """Confirm and commit a plan, or return why that is not possible.

        A committed plan is applied here if possible, and otherwise by any
        controller.
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
            return Error(await self._make_plan_lost(proposed, current))
        reason = _outdated_reason(proposed, state)
        if reason:
            return Error(plan.PlanOutdated(name, reason))
        uncommitted = await self._decide(
            found.ok, plan.PlanState.CONFIRMED, operator
        )
        if uncommitted.is_error():
            return uncommitted
        committed = await self.commit(uncommitted.ok, current)
        if committed.is_ok():
            await self._apply_current()
        return committed

    async def commit(
        self, uncommitted: plan.Plan, current: fleet_state.CurrentConfirmation
    ) -> PlanResult:
        """Make a plan the current one; of concurrent calls one succeeds."""
        if current.confirmed.plan == uncommitted.name:
            return Ok(uncommitted)
        # A process that still applies the older plan and is paused between
        # its check and its write would restore old content in an object that
        # the newer plan does not write. Once the older plan is applied, no
        # such write can be pending.
        if not current.confirmed.applied:
            return Error(
                plan.StoreError(
                    f'plan {current.confirmed.plan} is still being applied'
                )
            )
        confirmed = objects.Confirmation(
            generation=uncommitted.basis.generation + 1,
            plan=uncommitted.name,
            confirmed_by=uncommitted.decided_by,
            confirmed_at_s=self._clock.wall_s(),
            applied=False,
        )
        written = await self._write_current(confirmed, current.version)
        if written.is_ok():
            return Ok(uncommitted)
        if not isinstance(written.error, object_api.Conflict):
            return Error(fleet_state.to_plan_error(written.error))
        newer = await fleet_state.read_current(self._store)
        if newer.is_error():
            return Error(newer.error)
        if newer.ok.confirmed.plan == uncommitted.name:
            return Ok(uncommitted)
        return Error(await self._make_plan_lost(uncommitted, newer.ok))

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
        existing = found.ok[0]
        if existing.state != plan.PlanState.PROPOSED:
            return Error(
                plan.PlanDecided(
                    name, existing.state.value, existing.decided_by
                )
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

    async def _make_plan_lost(
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


def _outdated_reason(proposed: plan.Plan, state: planner.FleetState) -> str:
    """Return why a plan is outdated, or '' if it still applies.

    VMs come and go every few minutes in a large fleet. If every such change
    made a plan outdated, it could hardly ever be confirmed. A plan applies as
    long as its placement still fits and a plan made now would have the same
    changes and risks.
    """
    before = dict(proposed.basis.domain_fingerprints)
    after = dict(planner.basis_of(state).domain_fingerprints)
    names = sorted(set(before) | set(after))
    changed = [name for name in names if before.get(name) != after.get(name)]
    recomputed = planner.make_plan(
        proposed.declaration,
        state,
        planner.Proposal(
            proposed.name, proposed.proposed_by, proposed.proposed_at_s
        ),
    )
    gaining = _domains_gaining_replicas(proposed, recomputed, state)
    if gaining:
        return f'replicas moved in {", ".join(gaining)}'
    fits = planner.placement_fits(proposed, state)
    if fits and _predicted_outcome(recomputed) == _predicted_outcome(proposed):
        return ''
    where = ', '.join(changed) or 'the VM list'
    return f'VMs or replicas changed in {where}'


def _domains_gaining_replicas(
    proposed: plan.Plan, recomputed: plan.Plan, state: planner.FleetState
) -> list[str]:
    """Return the domains to which replicas moved after the plan was made.

    The plan would stop these replicas before replacements are formed in their
    old domains, so a replica would be missing for the time of a load.
    """
    return [
        share.domain
        for share in recomputed.allocation.shares
        if proposed.allocation.replicas(share.domain, share.deployment)
        < min(
            share.replicas,
            state.allocation.replicas(share.domain, share.deployment),
        )
    ]


def _predicted_outcome(made: plan.Plan) -> tuple[object, ...]:
    counts = tuple(
        (change.kind, change.subject, change.count) for change in made.changes
    )
    return (counts, made.risks)


def make_plan_manager(
    store: object_api.ObjectApi,
    vms: vm_list.VmList,
    time_source: clock.Clock,
) -> PlanManager:
    """Return a manager of the plans in a store."""
    return PlanManager(store, vms, time_source)
