"""All endpoints as the store last told, and the replicas that serve.

Load pattern: the store goes away for seconds and entries lapse meanwhile,
although their endpoints live. Without a grace time every endpoint would be
out of use the moment the store is back; so entries that are missing after
trouble stay in use for LAPSE_GRACE_S, in which living endpoints return.
"""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints
from redwingvalve.observability import logs
from redwingvalve.platform import entries, store

LOG = logs.make_logger('registry')
# Endpoints that live are back within two seconds; a request needs some time
# to be sent after this.
LAPSE_GRACE_S = 1.8
# Trouble of the store that ended this long ago still excuses a lapse.
TROUBLE_S = 2.0


@attrs.frozen
class _Lapsed:
    endpoint: endpoints.Endpoint
    since_s: float


class Registry:
    """Endpoints by id."""

    def __init__(
        self, clock: collections_abc.Callable[[], float] = clock.boot_s
    ) -> None:
        """Start without endpoints."""
        self.live: dict[str, endpoints.Endpoint] = {}
        self.is_synced = False
        self.on_change: list[collections_abc.Callable[[], None]] = []
        self._clock = clock
        self._lapsed: dict[str, _Lapsed] = {}
        self._trouble_s: float | None = None
        # Those that said that they would leave, until they are forgotten.
        self._leavers: dict[tuple[str, int], float] = {}

    def on_list(self, listed: list[store.Document]) -> None:
        """Take a whole listing."""
        found = dict(_decode_all(listed))
        missing = [name for name in self.live if name not in found]
        for name in missing:
            self._lapse(name)
        for endpoint in found.values():
            self._take(endpoint)
        self.is_synced = True
        self._tell()

    def on_changes(self, changes: list[store.Change]) -> None:
        """Take changes in their order."""
        for change in changes:
            self._change(change)
        if changes:
            self._tell()

    def on_unavailable(self) -> None:
        """Note that the store gives no usable answers."""
        self._trouble_s = self._clock()

    def may_be_leaving(
        self, endpoint: endpoints.Endpoint, within_s: float
    ) -> bool:
        """Return whether an endpoint may be leaving rather than dead.

        It said so, or the store has been away within within_s and could not
        tell. An endpoint that leaves stops to listen before it has finished.
        """
        now_s = self._clock()
        said_s = self._leavers.get(endpoint.incarnation)
        if said_s is not None and now_s - said_s < within_s:
            return True
        trouble_s = self._trouble_s
        return trouble_s is not None and now_s - trouble_s < within_s

    def usable(self) -> list[endpoints.Endpoint]:
        """Return live endpoints and those whose lapse may be an error."""
        until_s = self._clock() - LAPSE_GRACE_S
        kept = [
            lapsed.endpoint
            for lapsed in self._lapsed.values()
            if lapsed.since_s > until_s
        ]
        return [*self.live.values(), *kept]

    def incarnations(self) -> set[tuple[str, int]]:
        """Return the lives that the store tells of."""
        return {endpoint.incarnation for endpoint in self.usable()}

    def drop_expired(self) -> None:
        """Forget endpoints that did not come back in time."""
        until_s = self._clock() - LAPSE_GRACE_S
        gone = [
            name
            for name, lapsed in self._lapsed.items()
            if lapsed.since_s <= until_s
        ]
        for name in gone:
            self._lapsed.pop(name)
        if gone:
            self._tell()

    def _change(self, change: store.Change) -> None:
        if change.is_removed:
            if change.name in self.live:
                self._lapse(change.name)
            return
        try:
            endpoint = entries.decode_endpoint(change.stored)
        except entries.EndpointEntryError as error:
            LOG.warning('unusable entry', extra={'error': str(error)})
            self.live.pop(change.name, None)
            return
        self._take(endpoint)

    def _take(self, endpoint: endpoints.Endpoint) -> None:
        self.live[endpoint.endpoint_id] = endpoint
        self._lapsed.pop(endpoint.endpoint_id, None)
        if endpoint.draining:
            self._leavers.setdefault(endpoint.incarnation, self._clock())

    def _lapse(self, name: str) -> None:
        endpoint = self.live.pop(name)
        now_s = self._clock()
        trouble_s = self._trouble_s
        is_excused = trouble_s is not None and now_s - trouble_s < TROUBLE_S
        if is_excused and not endpoint.draining:
            self._lapsed[name] = _Lapsed(endpoint, now_s)

    def _tell(self) -> None:
        for listener in self.on_change:
            listener()


def _decode_all(
    listed: list[store.Document],
) -> typing.Iterator[tuple[str, endpoints.Endpoint]]:
    for stored in listed:
        try:
            endpoint = entries.decode_endpoint(stored)
        except entries.EndpointEntryError as error:
            LOG.warning('unusable entry', extra={'error': str(error)})
            continue
        yield endpoint.endpoint_id, endpoint
