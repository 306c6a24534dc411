"""Tasks that act on endpoints, and which endpoints they act on."""

import collections
import typing

import anyio
import anyio.abc

from redwingvalve.fleet import endpoints
from redwingvalve.observability import logs

LOG = logs.make_logger('tasks')
Work: typing.TypeAlias = typing.Coroutine[typing.Any, typing.Any, typing.Any]
Members: typing.TypeAlias = tuple[endpoints.Endpoint, ...]


class EndpointTasks:
    """Runs tasks and tracks which endpoints they act on."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        """Run tasks in group."""
        self._group = group
        # Tasks by endpoint: the check of a replica may name a member that is
        # ordered into another one meanwhile.
        self._busy: collections.Counter[str] = collections.Counter()

    def is_busy(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether a task acts on an endpoint."""
        return self._busy[endpoint.endpoint_id] > 0

    def is_any_busy(self, members: Members) -> bool:
        """Return whether a task acts on any of the endpoints."""
        return any(map(self.is_busy, members))

    def start(self, members: Members, work: Work) -> None:
        """Run work that acts on members; they are busy until it ends."""
        self._busy.update(member.endpoint_id for member in members)
        self._group.start_soon(self._run, members, work)

    async def _run(self, members: Members, work: Work) -> None:
        try:
            await work
        except Exception:
            # The next reconciliation, a moment later, starts what is still to
            # be done again; an error here must not end the node.
            LOG.exception('endpoint task failed')
        finally:
            self._busy.subtract(member.endpoint_id for member in members)
            self._busy = +self._busy
