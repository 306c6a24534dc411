"""Knows the data centres to whose endpoints nothing new is sent.

Load pattern: the operator evacuates a data centre while requests wait for slots
there, some nodes reach neither the store nor a relay, and others are starting.
By its own watch alone, a node that is cut off would go on sending for as long
as it is cut off. So the nodes also tell one another what they know, with the
revision of the store at which they knew it. The highest revision wins, since
messages may arrive late, repeatedly and in any order.

A node that has just started and knows nothing yet counts every data centre as
evacuated, for at most hold_s. It would otherwise send to an evacuated one if
the store answers the other watches first.
"""

import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.observability import logs, node_metrics
from redwingvalve.platform import store

LOG = logs.make_logger('evacuations')
# Limit on the names in a status message, which has to fit into one packet.
MAX_SHARED_NAMES = 16

_Names: typing.TypeAlias = frozenset[str]


@attrs.frozen
class EvacuationState:
    """The names of all entries at one revision of the store."""

    revision: int = 0
    names: _Names = frozenset()


def _no_revision() -> int:
    """Return 0, the revision while no watch is connected."""
    return 0


def _not_known() -> None:
    """Return None until the data centres of the fleet are known."""


class Evacuations:
    """The evacuated data centres, from the watch and from other nodes."""

    def __init__(
        self,
        *,
        is_enabled: bool = True,
        hold_s: float = 0,
        clock: collections_abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Know nothing yet; without is_enabled nothing is ever evacuated."""
        self.is_enabled = is_enabled
        # Whether the kind has been listed.
        self.is_synced = not is_enabled
        # Called when a data centre is evacuated or no longer is.
        self.on_change: list[collections_abc.Callable[[], None]] = []
        # Returns the revision of what the watch has just delivered.
        self.watched_revision: collections_abc.Callable[[], int] = _no_revision
        # Returns the data centres of the fleet, None until they are known.
        self.data_centres: collections_abc.Callable[
            [], collections_abc.Collection[str] | None
        ] = _not_known
        self._clock = clock
        self._hold_until_s = clock() + hold_s
        self._is_holding = is_enabled and hold_s > 0
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
        self._watched_names = frozenset(map(store.name_of, listed)) - {''}
        self._apply_watched()

    def on_changes(self, changes: list[store.Change]) -> None:
        """Apply changes in order; without any, the revision has advanced."""
        names = set(self._watched_names)
        for change in changes:
            if change.is_removed:
                names.discard(change.name)
            elif change.name:
                names.add(change.name)
        self._watched_names = frozenset(names)
        self._apply_watched()

    def on_unavailable(self) -> None:
        """Do nothing: the last known state stays in force."""

    def observe(
        self, revision: int, names: collections_abc.Iterable[str]
    ) -> None:
        """Apply what another node knows, unless as much is known here."""
        if self.is_enabled and revision > self.revision:
            self._put_in_force(EvacuationState(revision, frozenset(names)))

    def tick(self) -> None:
        """End the hold of a start, and log names once they can be told."""
        if self._is_holding and self._clock() >= self._hold_until_s:
            self._is_holding = False
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
        was_holding = self._is_holding
        before = self.names()
        self._in_force = found
        self._is_holding = False
        if found.names != before:
            self._log_changes()
        if found.names != before or was_holding:
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
