"""The actions of the API, backed by the store and the plan manager."""

import typing
from collections import abc as collections_abc

import attrs
from expression import Error, Ok, Result

from redwingvalve.administration import (
    drain_operations,
    drains,
    feasibility,
    operations,
    rights,
    token_operations,
    views,
)
from redwingvalve.configuration import in_force
from redwingvalve.core import clock, findings
from redwingvalve.declaration import reader
from redwingvalve.membership import members
from redwingvalve.plans import fleet_state, objects, plan
from redwingvalve.plans import manager as plan_manager
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import codec
from redwingvalve.replicas import domain as domain_module

AUDITS = 'audits'
VISIBLE_KINDS = frozenset(
    (
        objects.DECLARATIONS,
        objects.PLANS,
        objects.DEPLOYMENTS,
        objects.CLIENT_ACCOUNTS,
        objects.SERVICES,
        domain_module.KIND,
        drains.KIND,
        'nodes',
        'allocations',
    )
)
Answer = operations.Answer
Handler = collections_abc.Callable[
    [operations.Call], collections_abc.Awaitable[Answer]
]
InForceReader = collections_abc.Callable[
    [], collections_abc.Awaitable[in_force.InForce]
]


@attrs.frozen
class Dependencies:
    """Dependencies of the actions; in_force queries the live entries."""

    store: object_api.ObjectApi
    vms: vm_list.VmList
    plans: plan_manager.PlanManager
    members: members.Members
    clock: clock.Clock
    in_force: InForceReader
    waits: collections_abc.Callable[[], list[str]]


class StoreOperations(operations.Operations):
    """Runs the actions; each returns JSON or an error."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Run actions with dependencies."""
        self._deps = dependencies
        drain_actions = drain_operations.DrainOperations(
            dependencies.store,
            dependencies.members,
            dependencies.clock,
            self._domains,
        )
        token_actions = token_operations.TokenOperations(dependencies.store)
        self._handlers: dict[str, Handler] = {
            'status': self._status,
            'replicas': self._replicas,
            'entries': self._entries,
            'events': self._events,
            'audits': self._audits,
            'describe': self._describe,
            'plans': self._plans,
            'plan': self._plan,
            'confirm': self._confirm,
            'discard': self._discard,
            'drain': drain_actions.drain,
            'tokens': token_actions.list,
            'token-create': token_actions.create,
            'token-revoke': token_actions.revoke,
        }

    async def run(self, name: str, call: operations.Call) -> Answer:
        """Run an action and return its JSON response."""
        return await self._handlers[name](call)

    async def _status(self, call: operations.Call) -> Answer:
        current = await fleet_state.read_current(self._deps.store)
        if current.is_error():
            return _plan_error_response(current.error)
        declared = await self._deps.store.list(objects.DEPLOYMENTS)
        if declared.is_error():
            return Error(operations.store_error(declared.error))
        domains = await self._domains()
        if domains.is_error():
            return Error(domains.error)
        found = await self._deps.in_force()
        status = views.status(
            current.ok.confirmed.generation,
            views.declared_deployments(declared.ok),
            domains.ok,
        )
        return Ok(
            {
                **status,
                'not_in_force_on': list(found.missing),
                'waits': self._deps.waits(),
            }
        )

    async def _replicas(self, call: operations.Call) -> Answer:
        domains = await self._domains()
        return domains.map(
            lambda found: {'replicas': views.replica_rows(found)}
        )

    async def _entries(self, call: operations.Call) -> Answer:
        found = await self._deps.in_force()
        rows = views.member_rows(
            self._deps.members.known(), frozenset(found.missing)
        )
        return Ok({'entries': rows})

    async def _events(self, call: operations.Call) -> Answer:
        domains = await self._domains()
        return domains.map(lambda found: {'events': views.event_rows(found)})

    async def _audits(self, call: operations.Call) -> Answer:
        return await self._rows(AUDITS)

    async def _rows(self, kind: str) -> Answer:
        listed = await self._deps.store.list(kind)
        if listed.is_error():
            return Error(operations.store_error(listed.error))
        return Ok({kind: views.stored_rows(listed.ok)})

    async def _describe(self, call: operations.Call) -> Answer:
        kind = call.path['kind']
        if kind not in VISIBLE_KINDS:
            listed = ', '.join(sorted(VISIBLE_KINDS))
            return operations.refuse(
                operations.STATUS_NOT_FOUND,
                'no-such-kind',
                f'{kind!r} is not one of {listed}',
            )
        found = await self._deps.store.get(kind, call.path['name'])
        if found.is_error():
            return Error(operations.store_error(found.error))
        return Ok(attrs.asdict(found.ok))

    async def _plans(self, call: operations.Call) -> Answer:
        listed = await self._deps.plans.list()
        if listed.is_error():
            return _plan_error_response(listed.error)
        return Ok({'plans': [codec.to_body(each) for each in listed.ok]})

    async def _plan(self, call: operations.Call) -> Answer:
        file_name = str(call.body.get('file_name', 'declaration'))
        checked = reader.read_text(call.body['declaration'], file_name)
        if checked.is_error():
            return _findings_response(checked.error.entries)
        vms = await self._deps.vms.read()
        if vms.is_error():
            return Error(operations.store_error(vms.error))
        infeasible = tuple(feasibility.find_impossible(checked.ok, vms.ok))
        if infeasible:
            return _findings_response(infeasible)
        declaration = checked.ok.content
        in_force = await fleet_state.read_current(self._deps.store)
        if in_force.is_error():
            return _plan_error_response(in_force.error)
        made = await self._deps.plans.propose(declaration, call.principal.name)
        if made.is_error():
            return _plan_error_response(made.error)
        return Ok(codec.to_body(made.ok))

    async def _confirm(self, call: operations.Call) -> Answer:
        name = call.path['name']
        proposed = await self._deps.plans.read(name)
        if proposed.is_error():
            return _plan_error_response(proposed.error)
        permission = rights.check_scope(
            call.principal, changed_names(proposed.ok)
        )
        if permission.is_error():
            return Error(operations.missing_right(permission.error))
        confirmed = await self._deps.plans.confirm(name, call.principal.name)
        if confirmed.is_error():
            return _plan_error_response(confirmed.error)
        return Ok({'message': f'{name} is confirmed', 'plan': name})

    async def _discard(self, call: operations.Call) -> Answer:
        name = call.path['name']
        discarded = await self._deps.plans.discard(name, call.principal.name)
        if discarded.is_error():
            return _plan_error_response(discarded.error)
        return Ok({'message': f'{name} is discarded', 'plan': name})

    async def _domains(
        self,
    ) -> Result[
        tuple[domain_module.FabricDomain, ...], operations.OperationError
    ]:
        listed = await self._deps.store.list(domain_module.KIND)
        if listed.is_error():
            return Error(operations.store_error(listed.error))
        return Ok(
            tuple(
                domain_module.from_stored(stored)
                for stored in listed.ok.objects
            )
        )


def changed_names(proposed: plan.Plan) -> list[str]:
    """Return the declared names that a plan would change."""
    return sorted(
        {
            change.subject.rpartition('/')[2].removeprefix('replicas of ')
            for change in proposed.changes
        }
    )


def _findings_response(
    found: tuple[findings.Finding, ...],
) -> Answer:
    return Error(
        operations.OperationError(
            operations.STATUS_UNPROCESSABLE,
            'findings',
            f'the declaration has {len(found)} findings',
            found,
        )
    )


def _plan_error_response(error: plan.PlanError) -> Answer:
    if isinstance(error, plan.PlanNotFound):
        return operations.refuse(
            operations.STATUS_NOT_FOUND,
            'not-found',
            f'no plan is named {error.plan!r}',
        )
    if isinstance(error, plan.StoreError):
        return Error(
            operations.OperationError(
                operations.STATUS_UNAVAILABLE,
                'store-away',
                f'the platform store is unavailable: {error.message}',
                outcome=operations.outcome_of(error.maybe_applied),
            )
        )
    return operations.refuse(
        operations.STATUS_CONFLICT,
        type(error).__name__,
        _conflict_message(error),
    )


def _conflict_message(error: typing.Any) -> str:
    if isinstance(error, plan.PlanLost):
        won = '; '.join(error.changes) or 'see describe plans'
        return (
            f'{error.confirmed_by} confirmed {error.winning_plan} first '
            f'(generation {error.generation}: {won}); plan again'
        )
    if isinstance(error, plan.PlanDecided):
        return f'{error.plan} was {error.state} by {error.decided_by}'
    return f'{error.plan} is outdated: {error.reason}; plan again'


def make_store_operations(dependencies: Dependencies) -> StoreOperations:
    """Return the actions behind the API."""
    return StoreOperations(dependencies)
