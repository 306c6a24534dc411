"""Caches the endpoint entries of the store.

Load pattern: the store is unavailable for seconds, and entries expire
meanwhile although their endpoints are alive. Without a grace period, every
endpoint would be out of use the moment the store is back. So entries that are
missing after an outage stay in use for EXPIRY_GRACE_S, within which living
endpoints register again.
"""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.core import clock, steps
from redwingvalve.fleet import (
    closing_marks,
    endpoints,
    incarnation_tracker,
    unusable_entries,
    watch_handler,
)
from redwingvalve.observability import logs
from redwingvalve.platform import entries, store

LOG = logs.make_logger('registry')
# Living endpoints register again within 2 s. The grace period ends earlier,
# because a request routed at its end still takes some time to send.
EXPIRY_GRACE_S = 1.8
# An expiry within this time of an outage of the store is attributed to it.
RECENT_OUTAGE_S = 2.0
# Read for each entry of a listing.
_OUTDATED: typing.Final = incarnation_tracker.Observation.OUTDATED
_NEW: typing.Final = incarnation_tracker.Observation.NEW


@attrs.frozen
class _Expired:
    endpoint: endpoints.Endpoint
    since_s: float


@attrs.frozen
class _Decoded:
    """Endpoints by id, and the unusable entries of a listing."""

    found: dict[str, endpoints.Endpoint] = attrs.field(factory=dict)
    unusable: unusable_entries.Entries = attrs.field(factory=dict)


@attrs.frozen
class _DecodedChange:
    """A change, with its endpoint, or why its entry is unusable."""

    change: store.Change
    name: str
    endpoint: endpoints.Endpoint | None = None
    reason: str = ''


class Registry(watch_handler.DecodingHandler[_Decoded, list[_DecodedChange]]):
    """Endpoints by id, as the store last listed them."""

    def __init__(
        self, clock: collections_abc.Callable[[], float] = clock.boot_s
    ) -> None:
        """Start without endpoints."""
        self.live: dict[str, endpoints.Endpoint] = {}
        self.is_synced = False
        self.on_change: list[collections_abc.Callable[[], None]] = []
        # Called with the id of an endpoint that has a new incarnation, before
        # on_change: nothing remembered about the id applies to it.
        self.on_new_incarnation: list[
            collections_abc.Callable[[str], None]
        ] = []
        self.tracker = incarnation_tracker.IncarnationTracker(clock)
        self.closing = closing_marks.ClosingMarks()
        self._clock = clock
        self._expired: dict[str, _Expired] = {}
        self._last_outage_s: float | None = None
        # When each incarnation was first seen draining.
        self._draining_since_s: dict[tuple[str, int], float] = {}
        self._unusable = unusable_entries.UnusableEntries()
        self._unknown_services = unusable_entries.UnknownServices()

    def decode_list(
        self, listed: list[store.Document]
    ) -> steps.Steps[_Decoded]:
        """Decode a listing, and log its unusable entries."""
        decoded = _Decoded()
        for stored in listed:
            try:
                endpoint = entries.decode_endpoint(stored)
            except entries.EndpointEntryError as error:
                self._unusable.record(stored, str(error), decoded.unusable)
            else:
                decoded.found[endpoint.endpoint_id] = endpoint
            yield
        return decoded

    def apply_list(self, decoded: _Decoded) -> None:
        """Replace all entries with a complete listing."""
        found = decoded.found
        self._unusable.replace(decoded.unusable)
        for unusable_id in decoded.unusable:
            self._drop(unusable_id)
        missing = [name for name in self.live if name not in found]
        for missing_id in missing:
            self._expire(missing_id)
        for endpoint in found.values():
            self._add(endpoint)
        self.is_synced = True
        self._notify_listeners()

    def decode_changes(
        self, changes: list[store.Change]
    ) -> steps.Steps[list[_DecodedChange]]:
        """Decode changes, and log the unusable entries."""
        decoded = []
        for change in changes:
            decoded.append(_decode_change(change))
            self._unusable.log_new(change.stored, decoded[-1].reason)
            yield
        return decoded

    def apply_changes(self, decoded: list[_DecodedChange]) -> None:
        """Apply changes in order."""
        for one in decoded:
            self._apply_change(one)
        if decoded:
            self._notify_listeners()

    def on_unavailable(self) -> None:
        """Record that the store gives no usable answers."""
        self._last_outage_s = self._clock()

    def set_services(
        self, has_engine: collections_abc.Mapping[str, bool]
    ) -> None:
        """Apply the configured services, and which of them serve models."""
        self._unknown_services.set_services(has_engine)
        self._unknown_services.check(self.live)

    def may_be_leaving(
        self, endpoint: endpoints.Endpoint, within_s: float
    ) -> bool:
        """Return whether an endpoint may be leaving rather than dead.

        That is so if it was first seen draining within within_s, or if the
        store was unavailable within within_s and could not report it. An
        endpoint that leaves stops listening before its requests have finished.
        """
        if self.has_begun_to_leave(endpoint, within_s):
            return True
        last_outage_s = self._last_outage_s
        since_s = self._clock() - within_s
        return last_outage_s is not None and last_outage_s > since_s

    def has_begun_to_leave(
        self, endpoint: endpoints.Endpoint, within_s: float
    ) -> bool:
        """Return whether an endpoint was first seen draining within_s ago."""
        draining_since_s = self._draining_since_s.get(endpoint.incarnation)
        since_s = self._clock() - within_s
        return draining_since_s is not None and draining_since_s > since_s

    def is_leaving(self, endpoint_id: str) -> bool:
        """Return whether an endpoint drains or is gone, by its entry.

        One whose entry has expired beside an outage isn't until it is dropped.
        """
        endpoint = self.live.get(endpoint_id)
        if endpoint is None:
            return endpoint_id not in self._expired
        return endpoint.draining

    def usable(self) -> list[endpoints.Endpoint]:
        """Return live endpoints and those within the grace period."""
        until_s = self._clock() - EXPIRY_GRACE_S
        kept = [
            expired.endpoint
            for expired in self._expired.values()
            if expired.since_s > until_s
        ]
        return [*self.live.values(), *kept]

    def incarnations(self) -> set[tuple[str, int]]:
        """Return the incarnations of all usable endpoints."""
        return {endpoint.incarnation for endpoint in self.usable()}

    def drop_expired(self) -> None:
        """Drop endpoints that did not register again in time."""
        until_s = self._clock() - EXPIRY_GRACE_S
        gone = [
            name
            for name, expired in self._expired.items()
            if expired.since_s <= until_s
        ]
        for name in gone:
            self._expired.pop(name)
        if gone:
            self._notify_listeners()

    def _apply_change(self, decoded: _DecodedChange) -> None:
        if decoded.change.is_removed:
            self._remove(decoded)
            return
        if decoded.endpoint is None:
            self._unusable.add(decoded.change.stored, decoded.reason)
            self._drop(decoded.name)
            return
        self._unusable.remove(decoded.name)
        self._add(decoded.endpoint)

    def _remove(self, decoded: _DecodedChange) -> None:
        born_ms = entries.born_ms_of(decoded.change.stored)
        if self.tracker.is_past(decoded.name, born_ms):
            return
        self._unusable.remove(decoded.name)
        if decoded.name in self.live:
            self._expire(decoded.name)

    def _drop(self, name: str) -> None:
        """Take an endpoint out of use without a grace period."""
        self.live.pop(name, None)
        self._expired.pop(name, None)

    def _add(self, endpoint: endpoints.Endpoint) -> None:
        endpoint_id = endpoint.endpoint_id
        observed = self.tracker.observe(
            endpoint_id, endpoint.born_ms, endpoint.sequence
        )
        if observed is _OUTDATED:
            return
        if observed is _NEW:
            self._begin_incarnation(endpoint)
        self.live[endpoint_id] = endpoint
        self.closing.observe(endpoint)
        self._expired.pop(endpoint_id, None)
        if endpoint.draining:
            self._draining_since_s.setdefault(
                endpoint.incarnation, self._clock()
            )

    def _begin_incarnation(self, endpoint: endpoints.Endpoint) -> None:
        LOG.info(
            'endpoint has restarted',
            extra={
                'endpoint': endpoint.endpoint_id,
                'born_ms': endpoint.born_ms,
            },
        )
        self._draining_since_s = {
            incarnation: since_s
            for incarnation, since_s in self._draining_since_s.items()
            if incarnation[0] != endpoint.endpoint_id
        }
        for listener in self.on_new_incarnation:
            listener(endpoint.endpoint_id)

    def _expire(self, name: str) -> None:
        endpoint = self.live.pop(name)
        now_s = self._clock()
        last_outage_s = self._last_outage_s
        is_outage_recent = (
            last_outage_s is not None
            and now_s - last_outage_s < RECENT_OUTAGE_S
        )
        if is_outage_recent and not endpoint.draining:
            self._expired[name] = _Expired(endpoint, now_s)

    def _notify_listeners(self) -> None:
        self._unknown_services.check(self.live)
        for listener in self.on_change:
            listener()


def _decode_change(change: store.Change) -> _DecodedChange:
    name = change.name
    if change.is_removed:
        return _DecodedChange(change, name)
    try:
        endpoint = entries.decode_endpoint(change.stored)
    except entries.EndpointEntryError as error:
        return _DecodedChange(change, name, reason=str(error))
    return _DecodedChange(change, name, endpoint)
