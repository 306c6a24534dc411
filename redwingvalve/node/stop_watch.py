"""Watches when endpoints that leave stop listening amid their answers.

A connection without a request is held open to each endpoint that leaves while
it answers requests of this node. Endpoints close such connections when they
stop listening, or when they have been idle for a while.
"""

import time
import typing

import anyio
import anyio.abc
import attrs

from redwingvalve.fleet import registry as registry_module
from redwingvalve.http1 import client, pool
from redwingvalve.ingress import load_balancing
from redwingvalve.ingress import state as state_module
from redwingvalve.observability import logs

LOG = logs.make_logger('stop-watch')
POLL_INTERVAL_S = 0.02
# Between two connections to an endpoint; doubles with each one.
MAX_PAUSE_S = 1.0
# After the last answer: time to find out how it ended.
LINGER_S = 1.0
MAX_STOPPED = 1_000


@attrs.define(eq=False)
class StopWatch:
    """The endpoints that leave while they answer requests of this node."""

    state: state_module.IngressState
    registry: registry_module.Registry
    _held: dict[tuple[str, int], client.Connection | None] = attrs.field(
        factory=dict
    )
    # Since when endpoints don't listen, by incarnation; the oldest go first.
    _stopped_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        """Learn of endpoints that leave."""
        self.registry.on_change.append(self._entries_changed)

    def stopped_s(self, target: load_balancing.Target) -> float | None:
        """Return when a target was first found not to listen, if it was."""
        return self._stopped_s.get(target.incarnation)

    def connections(
        self, target: load_balancing.Target
    ) -> list[client.Connection]:
        """Return the connections to a target that seem to be open."""
        requests = self.state.in_flight_requests.get(target.endpoint_id, ())
        found = [
            one.connection for one in requests if _is_answered_by(one, target)
        ]
        found.append(self._held.get(target.incarnation))
        return [one for one in found if one is not None and one.is_open]

    async def run(self) -> typing.NoReturn:
        """Watch endpoints until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._start_watches(group)
                await self._changed.wait()
                self._changed = anyio.Event()

    def _entries_changed(self) -> None:
        self._changed.set()

    def _start_watches(self, group: anyio.abc.TaskGroup) -> None:
        for target in self._leaving_targets():
            if target.incarnation not in self._held:
                self._held[target.incarnation] = None
                group.start_soon(self._watch, target)

    def _leaving_targets(self) -> list[load_balancing.Target]:
        """Return the targets of requests that are in progress."""
        return [
            request.target
            for endpoint_id, requests in self.state.in_flight_requests.items()
            if requests and self.registry.is_leaving(endpoint_id)
            for request in requests
            if request.target is not None
        ]

    async def _watch(self, target: load_balancing.Target) -> None:
        try:
            await self._watch_until_stopped(target)
        except Exception:
            # Without the watch, the end of an answer tells less.
            LOG.exception(
                'watch failed', extra={'endpoint': target.endpoint_id}
            )
        finally:
            self._held.pop(target.incarnation)

    async def _watch_until_stopped(self, target: load_balancing.Target) -> None:
        pause_s = POLL_INTERVAL_S
        while self._has_requests(target):
            connect_s = time.monotonic()
            try:
                connection = await self.state.connections.connect(
                    target.address
                )
            except pool.ConnectError as error:
                if error.was_refused and await self.state.reach.confirm():
                    self._note_stop(target, connect_s)
                    return
            else:
                await self._hold(target, connection)
            await anyio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _hold(
        self, target: load_balancing.Target, connection: client.Connection
    ) -> None:
        """Return when a connection is closed, or soon after the requests."""
        self._held[target.incarnation] = connection
        until_s = time.monotonic() + LINGER_S
        try:
            while connection.is_open and time.monotonic() < until_s:
                if self._has_requests(target):
                    until_s = time.monotonic() + LINGER_S
                await anyio.sleep(POLL_INTERVAL_S)
        finally:
            connection.abandon()
            self._held[target.incarnation] = None

    def _has_requests(self, target: load_balancing.Target) -> bool:
        requests = self.state.in_flight_requests.get(target.endpoint_id, ())
        return any(_is_answered_by(one, target) for one in requests)

    def _note_stop(
        self, target: load_balancing.Target, stopped_s: float
    ) -> None:
        while len(self._stopped_s) >= MAX_STOPPED:
            self._stopped_s.pop(next(iter(self._stopped_s)))
        self._stopped_s[target.incarnation] = stopped_s
        LOG.info(
            'endpoint stopped listening amid answers',
            extra={'endpoint': target.endpoint_id},
        )


def _is_answered_by(
    request: state_module.InFlightRequest, target: load_balancing.Target
) -> bool:
    answering = request.target
    return answering is not None and answering.incarnation == target.incarnation
