"""The actions on tokens."""

import attrs
from expression import Error, Ok

from redwingvalve.administration import operations, rights, tokens, views
from redwingvalve.platform_api import object_api


class TokenOperations:
    """Lists, creates and revokes the tokens in the store."""

    def __init__(self, store: object_api.ObjectApi) -> None:
        """Manage the tokens in store."""
        self._store = store

    async def list(self, call: operations.Call) -> operations.Answer:
        """Return all tokens without their secrets."""
        listed = await self._store.list(tokens.KIND)
        if listed.is_error():
            return Error(operations.store_error(listed.error))
        rows = views.stored_rows(listed.ok)
        for row in rows:
            row.pop('secret_hash', None)
        return Ok({'tokens': rows})

    async def create(self, call: operations.Call) -> operations.Answer:
        """Create a token; its bearer is only in this response."""
        role = call.body['role']
        if role not in set(rights.Role):
            return operations.refuse(
                operations.STATUS_UNPROCESSABLE,
                'bad-role',
                f'{role!r} is not one of {", ".join(rights.Role)}',
            )
        issued = tokens.issue(
            call.body['name'],
            call.body['team'],
            rights.Role(role),
            tuple(str(scope) for scope in call.body.get('scopes', ['*'])),
            float(call.body.get('expires_at_s', 0)),
        )
        created = await self._store.create(
            tokens.KIND, issued.record.token_id, tokens.encode(issued.record)
        )
        if created.is_error():
            return Error(operations.store_error(created.error))
        return Ok(
            {
                'bearer': issued.bearer,
                'token_id': issued.record.token_id,
            }
        )

    async def revoke(self, call: operations.Call) -> operations.Answer:
        """Revoke a token; processes reject it after their next refresh."""
        found = await self._store.get(tokens.KIND, call.path['name'])
        if found.is_error():
            return Error(operations.store_error(found.error))
        revoked = attrs.evolve(
            found.ok, body={**found.ok.body, 'revoked': True}
        )
        written = await self._store.update(revoked)
        if written.is_error():
            return Error(operations.store_error(written.error))
        return Ok({'message': f'token {found.ok.name} is revoked'})
