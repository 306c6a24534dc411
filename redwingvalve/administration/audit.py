"""The audit trail: who did what, and what came of it, kept in the store.

The entry is written before the action, so that a process that dies in the
middle leaves a trace, and completed after it. An action whose entry cannot be
written is refused: nothing changes without a trace.
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
LONGEST_DETAIL = 500


@attrs.frozen
class AuditEntry:
    """One action; result is started, done or refused with the reason."""

    at_s: float
    who: str
    team: str
    action: str
    target: str
    result: str = STARTED
    detail: str = ''


class AuditTrail:
    """Writes entries; names sort by time."""

    def __init__(
        self, store: object_api.ObjectApi, time_source: clock.Clock
    ) -> None:
        """Write into store with the wall time of time_source."""
        self._store = store
        self._clock = time_source

    async def begin(
        self, principal: rights.Principal, action: str, target: str
    ) -> Result[object_api.StoredObject, object_api.ObjectError]:
        """Write that an action starts."""
        now_s = self._clock.wall_s()
        entry = AuditEntry(
            now_s, principal.name, principal.team, action, target
        )
        suffix = secrets.token_hex(SUFFIX_BYTES)
        name = f'{int(now_s * MILLISECONDS):014d}-{suffix}'
        return await self._store.create(KIND, name, attrs.asdict(entry))

    async def finish(
        self, begun: object_api.StoredObject, result: str, detail: str = ''
    ) -> Result[None, object_api.ObjectError]:
        """Write what came of an action; a lost answer harms nothing.

        Nobody else writes this object, so repeating the write is safe; if it
        never arrives the entry stays at started, which is the truth known.
        """
        body = {
            **begun.body,
            'result': result,
            'detail': detail[:LONGEST_DETAIL],
        }
        written = await self._store.update(attrs.evolve(begun, body=body))
        if written.is_error():
            return Error(written.error)
        return Ok(None)
