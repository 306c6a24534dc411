"""The audit trail of actions and their results, kept in the store.

An entry is written before its action and completed afterwards, so that there
is an entry even if the process dies during the action. If the entry can't be
written, the action is refused: there are no changes without an audit entry.
"""

import secrets

import attrs
from expression import Error, Ok, Result

from redwingvalve.administration import rights
from redwingvalve.core import clock
from redwingvalve.platform_api import object_api

KIND = 'audits'
STARTED = 'started'
MILLISECONDS = 1000
SUFFIX_BYTES = 4
MAX_DETAIL_CHARACTERS = 500


@attrs.frozen
class AuditEntry:
    """An action; result is started, done or refused, detail is the reason."""

    at_s: float
    who: str
    team: str
    action: str
    target: str
    result: str = STARTED
    detail: str = ''


class AuditTrail:
    """Writes audit entries, whose names sort by time."""

    def __init__(
        self, store: object_api.ObjectApi, time_source: clock.Clock
    ) -> None:
        """Write into store with the wall time of time_source."""
        self._store = store
        self._clock = time_source

    async def begin(
        self, principal: rights.Principal, action: str, target: str
    ) -> Result[object_api.StoredObject, object_api.ObjectError]:
        """Write the entry of an action that starts."""
        now_s = self._clock.wall_s()
        entry = AuditEntry(
            now_s, principal.name, principal.team, action, target
        )
        suffix = secrets.token_hex(SUFFIX_BYTES)
        name = f'{int(now_s * MILLISECONDS):014d}-{suffix}'
        return await self._store.create(KIND, name, attrs.asdict(entry))

    async def finish(
        self, started: object_api.StoredObject, result: str, detail: str = ''
    ) -> Result[None, object_api.ObjectError]:
        """Write the result of an action; a lost response does no harm.

        Nothing else writes this object, so repeating the write is safe. If the
        write never arrives, the entry keeps the result started, which is all
        that is known then.
        """
        body = {
            **started.body,
            'result': result,
            'detail': detail[:MAX_DETAIL_CHARACTERS],
        }
        written = await self._store.update(attrs.evolve(started, body=body))
        if written.is_error():
            return Error(written.error)
        return Ok(None)
