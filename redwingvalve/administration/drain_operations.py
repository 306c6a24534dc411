"""The action that drains a VM, a replica or an entry."""

from collections import abc as collections_abc

import attrs
from expression import Error, Ok, Result

from redwingvalve.administration import drains, operations, rights
from redwingvalve.core import clock
from redwingvalve.membership import members
from redwingvalve.platform_api import object_api
from redwingvalve.replicas import domain as domain_module

DomainsResult = Result[
    tuple[domain_module.FabricDomain, ...], operations.OperationError
]
DomainReader = collections_abc.Callable[
    [], collections_abc.Awaitable[DomainsResult]
]


class DrainOperations:
    """Writes and deletes drains in the store."""

    def __init__(
        self,
        store: object_api.ObjectApi,
        known_members: members.Members,
        time_source: clock.Clock,
        read_domains: DomainReader,
    ) -> None:
        """Find targets in known_members and the domains from read_domains."""
        self._store = store
        self._members = known_members
        self._clock = time_source
        self._domains = read_domains

    async def drain(self, call: operations.Call) -> operations.Answer:
        """Drain a VM, replica or entry, or undo that."""
        kind = call.body['kind']
        name = call.body['name']
        if kind not in drains.KINDS:
            return operations.refuse(
                operations.STATUS_UNPROCESSABLE,
                'bad-drain',
                f'{kind!r} is not one of {", ".join(drains.KINDS)}',
            )
        if call.body.get('undo'):
            return await self._undo(call, kind, name)
        target = await self._find_target(kind, name)
        if target.is_error():
            return Error(target.error)
        permission = rights.check_scope(call.principal, target.ok.names)
        if permission.is_error():
            return Error(operations.missing_right(permission.error))
        requested = drains.Drain(
            kind,
            name,
            call.principal.name,
            self._clock.wall_s(),
            target.ok.vms,
            target.ok.names,
        )
        created = await self._store.create(
            drains.KIND, drains.object_name(kind, name), attrs.asdict(requested)
        )
        already_drained = created.is_error() and isinstance(
            created.error, object_api.Conflict
        )
        if created.is_error() and not already_drained:
            return Error(operations.store_error(created.error))
        return Ok(
            {
                'message': f'{kind} {name} is draining; '
                'requests in progress are finished'
            }
        )

    async def _find_target(
        self, kind: str, name: str
    ) -> Result[drains.Target, operations.OperationError]:
        if kind == drains.ENTRY:
            member_names = {each.name for each in self._members.known()}
            found = drains.Target() if name in member_names else None
        else:
            domains = await self._domains()
            if domains.is_error():
                return Error(domains.error)
            found = drains.find_target(kind, name, domains.ok)
        if found is not None:
            return Ok(found)
        return operations.refuse(
            operations.STATUS_NOT_FOUND,
            'not-found',
            f'no {kind} is named {name!r}',
        )

    async def _undo(
        self, call: operations.Call, kind: str, name: str
    ) -> operations.Answer:
        """Delete a drain, even if its target no longer exists."""
        object_name = drains.object_name(kind, name)
        found = await self._store.get(drains.KIND, object_name)
        if found.is_error():
            return Error(operations.store_error(found.error))
        target = await self._find_target(kind, name)
        target_gone = target.is_error() and (
            target.error.status == operations.STATUS_NOT_FOUND
        )
        if target.is_error() and not target_gone:
            return Error(target.error)
        names = set(drains.read_drain(found.ok).names)
        if target.is_ok():
            names.update(target.ok.names)
        permission = rights.check_scope(call.principal, names)
        if permission.is_error():
            return Error(operations.missing_right(permission.error))
        return await self._delete(kind, name, found.ok)

    async def _delete(
        self, kind: str, name: str, stored: object_api.StoredObject
    ) -> operations.Answer:
        deleted = await self._store.delete(
            drains.KIND, stored.name, stored.version
        )
        if deleted.is_error():
            return Error(operations.store_error(deleted.error))
        when = 'after its restart' if kind == drains.ENTRY else 'again'
        return Ok({'message': f'{kind} {name} accepts work {when}'})
