"""What this node knows of one kind, kept to pass it on to other nodes.

Load pattern: some eighty nodes watch two hundred endpoints that change several
times a second; each change would cost eighty answers of the store, which is
dearer than the requests are worth. Two nodes of a data centre watch the store
and the others watch them.

A mirror says how long ago the store itself was heard, so that a node behind it
knows how old its knowledge is. A question is answered once something changed
or the store was heard again: 'no changes' is then as good as the store's own
word. A mirror that has lost touch with the store says so at once.
"""

import asyncio
import collections
from collections import abc as collections_abc

import attrs

from redwingvalve.core import clock
from redwingvalve.platform import store

# Changes kept for nodes that come from another source or were held up.
KEPT_BATCHES = 256
# Beyond the wait of a watch, an answer takes a round trip.
CONTACT_SLACK_S = 0.5
# Said where the store was never heard: too old for any bound.
NEVER_S = 3600.0


@attrs.frozen
class _Batch:
    revision: int
    changes: list[store.Change]


class WatchCache:
    """All objects of a kind, and the changes that led there."""

    def __init__(self) -> None:
        """Know nothing."""
        self.revision = 0
        self._first_revision = 0
        self._objects: dict[str, store.Document] = {}
        self._batches: collections.deque[_Batch] = collections.deque(
            maxlen=KEPT_BATCHES
        )
        self._contact_s: float | None = None
        self._wait_s = 0.0
        self._changed = asyncio.Event()

    @property
    def age_s(self) -> float:
        """Return how long ago the store itself was heard.

        Time in which this VM was suspended counts: after it, what is known
        here looks newer than it is by a clock that stood still.
        """
        if self._contact_s is None:
            return NEVER_S
        return clock.boot_s() - self._contact_s

    @property
    def is_current(self) -> bool:
        """Return whether the store itself was heard lately."""
        return self.age_s < self._wait_s + CONTACT_SLACK_S

    def listing(self) -> store.Listing:
        """Return all objects."""
        objects = list(self._objects.values())
        return store.Listing(objects, self.revision, self.age_s)

    def heard(self, wait_s: float, is_from_store: bool) -> None:
        """Note an answer; the next one is due within wait_s."""
        self._wait_s = wait_s
        self._contact_s = clock.boot_s() if is_from_store else None
        self._tell()

    def apply_listing(self, listing: store.Listing) -> None:
        """Take all objects at a revision.

        What differs from what was known is told as changes. When the store
        forgets its history, its relays list anew, and the hundreds of nodes
        behind them need not.
        """
        found = {
            str(stored['metadata']['name']): stored
            for stored in listing.objects
        }
        if self.revision and listing.revision >= self.revision:
            missed = _differences(self._objects, found)
            self.apply_changes(store.Changes(missed, listing.revision))
            self._tell()
            return
        self._objects = found
        self._batches.clear()
        self.revision = listing.revision
        self._first_revision = listing.revision
        self._tell()

    def apply_changes(self, found: store.Changes) -> None:
        """Take changes in their order."""
        self.revision = max(self.revision, found.revision)
        if not found.changes:
            return
        for change in found.changes:
            if change.is_removed:
                self._objects.pop(change.name, None)
            else:
                self._objects[change.name] = change.stored
        if len(self._batches) == KEPT_BATCHES:
            self._first_revision = self._batches[0].revision
        self._batches.append(_Batch(found.revision, found.changes))
        self._tell()

    def has_history(self, after_revision: int) -> bool:
        """Return whether all changes after a revision are kept."""
        return after_revision >= self._first_revision

    async def changes_after(
        self, after_revision: int, wait_s: float
    ) -> store.Changes:
        """Return changes after a revision, or none.

        None is said when the store was heard again, at the latest after wait_s.

        A batch that reaches past the revision is told whole: it may repeat
        changes from before, but ends with the newest state of each object.

        Raises HistoryGoneError if changes after the revision aren't kept. The
        mirror may have been listed anew during the wait: told 'no changes' and
        the new revision then, a node would never hear of what the listing
        brought, such as a key that was taken away.
        """
        found = self._after(after_revision)
        if not found:
            await self._wait(wait_s)
            found = self._after(after_revision)
        if not self.has_history(after_revision):
            raise store.HistoryGoneError('listed anew')
        revision = max(self.revision, after_revision)
        return store.Changes(found, revision, self.age_s)

    def _after(self, revision: int) -> list[store.Change]:
        return _newest(
            change
            for batch in self._batches
            if batch.revision > revision
            for change in batch.changes
        )

    async def _wait(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _tell(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _differences(
    known: dict[str, store.Document], found: dict[str, store.Document]
) -> list[store.Change]:
    """Return the changes that lead from the known objects to those found."""
    removed = [
        store.Change(stored, is_removed=True)
        for name, stored in known.items()
        if name not in found
    ]
    apply_changes = [
        store.Change(stored, is_removed=False)
        for name, stored in found.items()
        if name not in known
        or store.revision_of(known[name]) != store.revision_of(stored)
    ]
    return [*removed, *apply_changes]


def _newest(
    changes: collections_abc.Iterable[store.Change],
) -> list[store.Change]:
    """Return the last state of each object, and its removal.

    A configuration has tens of kilobytes, and in a series of them several
    versions come in one batch; told all of them, the nodes behind a relay fill
    its link for seconds, and neither they nor the relay hear of the last one.
    The state before a removal stays: it may say that an endpoint was leaving.
    """
    newest: dict[tuple[str, bool], store.Change] = {}
    for change in changes:
        key = (change.name, change.is_removed)
        newest.pop(key, None)
        newest[key] = change
    return list(newest.values())
