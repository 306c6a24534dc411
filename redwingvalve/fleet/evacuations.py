"""Knows the data centres to whose endpoints nothing new is sent.

Load pattern: the operator evacuates a data centre while requests wait for slots
there, some nodes reach neither the store nor a relay, and others are starting.
By its own watch alone, a node that is cut off would go on sending for as long
as it is cut off. So the nodes also tell one another what they know, with the
revision of the store at which they knew it. The highest revision wins, since
messages may arrive late, repeatedly and in any order.

While a node may know less than the time limit allows, it counts every data
centre as evacuated, and its callers are told to retry: after its start until it
knows anything, for the time limit at most, and for a moment after its process
or VM was stopped for a large part of the limit.
"""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.core import clock as clock_module
from redwingvalve.core import texts
from redwingvalve.fleet import watch_handler
from redwingvalve.observability import logs, node_metrics
from redwingvalve.platform import store

LOG = logs.make_logger('evacuations')
# Limit on the names in a status message, which has to fit into one packet.
MAX_SHARED_NAMES = 16
# A process that was stopped for this share of the time limit may have missed
# the start of an evacuation. The rest is left for what it knew to be old.
PAUSE_SHARE = 0.5
# After that pause, until status messages of other nodes and an answer of the
# store have arrived: three status intervals of a large fleet.
PAUSE_HOLD_S = 0.75

_Names: typing.TypeAlias = frozenset[str]


@attrs.frozen
class EvacuationState:
    """The names of all entries at one revision of the store."""

    revision: int = 0
    names: _Names = frozenset()


def _usable(names: collections_abc.Iterable[str]) -> _Names:
    """Return the names without those that no data centre can have."""
    return frozenset(name for name in names if name and texts.is_name(name))


def _no_revision() -> int:
    """Return 0, the revision while no watch is connected."""
    return 0


def _not_known() -> None:
    """Return None until the data centres of the fleet are known."""


def _refresh_nothing() -> None:
    """Refresh nothing while no watch is connected."""


class Evacuations(watch_handler.WatchHandler):
    """The evacuated data centres, from the watch and from other nodes."""

    def __init__(
        self,
        limit_s: float | None,
        clock: collections_abc.Callable[[], float] = clock_module.boot_s,
    ) -> None:
        """Know nothing yet; without limit_s nothing is ever evacuated.

        limit_s is the time from a change of the store until it is in force.
        """
        self.is_enabled = limit_s is not None
        # Whether the kind has been listed.
        self.is_synced = limit_s is None
        # Called when a data centre is evacuated or no longer is.
        self.on_change: list[collections_abc.Callable[[], None]] = []
        # Returns the revision of what the watch has just delivered.
        self.watched_revision: collections_abc.Callable[[], int] = _no_revision
        # Returns the data centres of the fleet, None until they are known.
        self.data_centres: collections_abc.Callable[
            [], collections_abc.Collection[str] | None
        ] = _not_known
        # Has the kind fetched at once, whatever the watch is waiting for.
        self.refresh_now: collections_abc.Callable[[], None] = _refresh_nothing
        self._clock = clock
        self._limit_s = limit_s or 0.0
        # When this process last showed that it runs.
        self._ran_s = clock()
        self._hold_until_s = self._ran_s + self._limit_s
        self._is_holding = limit_s is not None
        self._watched_names: _Names = frozenset()
        # None until anything is known.
        self._in_force: EvacuationState | None = None
        # Data centres whose evacuation was logged, and other names.
        self._begun: set[str] = set()
        self._unknown: set[str] = set()

    @property
    def revision(self) -> int:
        """Return the store revision of the state in force, 0 if unknown."""
        return self._in_force.revision if self._in_force else 0

    def names(self) -> _Names:
        """Return the names of all entries, of unknown data centres too."""
        return self._in_force.names if self._in_force else frozenset()

    def shared_names(self) -> list[str]:
        """Return the names to tell other nodes; known data centres first."""
        names = sorted(self.names(), key=self._sharing_rank)
        return names[:MAX_SHARED_NAMES]

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether nothing new may be sent to a data centre."""
        return self._is_holding or data_centre in self.names()

    @property
    def is_any_evacuated(self) -> bool:
        """Return whether any endpoint may be out of use here."""
        return self._is_holding or bool(self.names())

    def on_list(self, listed: list[store.Document]) -> None:
        """Replace all entries with a complete listing."""
        self.is_synced = True
        self._watched_names = _usable(map(store.name_of, listed))
        self._apply_watched()

    def on_changes(self, changes: list[store.Change]) -> None:
        """Apply changes in order; without any, the revision has advanced."""
        names = set(self._watched_names)
        for change in changes:
            if change.is_removed:
                names.discard(change.name)
            else:
                names.add(change.name)
        self._watched_names = _usable(names)
        self._apply_watched()

    def on_unavailable(self) -> None:
        """Do nothing: the last known state stays in force."""

    def observe(
        self, revision: int, names: collections_abc.Iterable[str]
    ) -> None:
        """Apply what another node knows, unless as much is known here."""
        if self.is_enabled and revision > self.revision:
            self._put_in_force(EvacuationState(revision, frozenset(names)))

    def check_pause(self) -> None:
        """Hold requests back if this process was stopped for too long.

        To be called before each send and, by tick(), several times a second.
        """
        if not self.is_enabled:
            return
        now_s = self._clock()
        paused_s = now_s - self._ran_s
        self._ran_s = now_s
        if paused_s < PAUSE_SHARE * self._limit_s:
            return
        LOG.warning('stopped too long', extra={'paused_s': round(paused_s, 2)})
        self._hold_until_s = max(self._hold_until_s, now_s + PAUSE_HOLD_S)
        self._is_holding = True
        self.refresh_now()
        self._notify_listeners()

    def tick(self) -> None:
        """End a hold in time, and log names once they can be told."""
        self.check_pause()
        if self._is_holding and self._clock() >= self._hold_until_s:
            self._is_holding = False
            if self._in_force is None:
                LOG.warning('evacuations unknown, all data centres in use')
            self._notify_listeners()
        if not self.names() <= self._begun:
            self._log_changes()

    def gauge(self) -> list[node_metrics.Sample]:
        """Return 1 for each evacuated data centre, 0 for the others."""
        return [
            node_metrics.Sample(
                float(name in self.names()), (('data_centre', name),)
            )
            for name in sorted(self.data_centres() or ())
        ]

    def _apply_watched(self) -> None:
        revision = self.watched_revision()
        if self._in_force is None or revision >= self.revision:
            self._put_in_force(EvacuationState(revision, self._watched_names))

    def _put_in_force(self, found: EvacuationState) -> None:
        is_first = self._in_force is None
        before = self.names()
        self._in_force = found
        if is_first:
            self._is_holding = False
            self._hold_until_s = 0.0
        if found.names != before:
            self._log_changes()
        if found.names != before or is_first:
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.on_change:
            listener()

    def _sharing_rank(self, name: str) -> tuple[bool, str]:
        return name not in self._begun, name

    def _log_changes(self) -> None:
        """Log evacuations that have begun or ended, and unknown names once."""
        names = self.names()
        for ended in sorted(self._begun - names):
            LOG.warning('evacuation ended', extra=self._log_fields(ended))
        self._begun &= names
        self._unknown &= names
        known = self.data_centres()
        if known is None:
            return
        for name in sorted(names - self._begun):
            if name in known:
                self._begun.add(name)
                LOG.warning('evacuation begins', extra=self._log_fields(name))
            elif name not in self._unknown:
                self._unknown.add(name)
                LOG.warning(
                    'evacuation of no known data centre',
                    extra=self._log_fields(name),
                )

    def _log_fields(self, name: str) -> dict[str, str | int]:
        return {'data_centre': name, 'revision': self.revision}
