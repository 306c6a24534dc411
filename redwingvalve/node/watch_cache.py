"""Cache of one kind of object and its recent changes, for other nodes.

Load pattern: about eighty nodes watch two hundred endpoints that change several
times a second. Without relays each change would cost eighty answers of the
store, which is more than the requests are worth. So two nodes of a data centre,
its hubs, act as relays to the store, and the other nodes watch these.

The cache states how long ago the store itself answered, so that downstream
nodes know the age of their state. A watch is answered when something has
changed or the store has answered again, so that 'no changes' is as reliable as
from the store itself. A cache that has lost the store reports it at once.
"""

import asyncio
import collections
from collections import abc as collections_abc

import attrs

from redwingvalve.core import clock
from redwingvalve.platform import store

# Batches kept for nodes that switch from another source or fell behind.
MAX_BATCHES = 256
# Allowance for the round trip of a watch, in addition to its wait.
RESPONSE_SLACK_S = 0.5
# Age reported if the last answer, if any, came from a relay: beyond any limit.
NEVER_SYNCED_AGE_S = 3600.0


@attrs.frozen
class _Batch:
    revision: int
    changes: list[store.Change]


class WatchCache:
    """All objects of a kind, and their recent changes."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self._first_revision = 0
        self._objects: dict[str, store.Document] = {}
        self._batches: collections.deque[_Batch] = collections.deque(
            maxlen=MAX_BATCHES
        )
        self._synced_s: float | None = None
        self._wait_s = 0.0
        self._changed = asyncio.Event()

    @property
    def age_s(self) -> float:
        """Return how long ago the store itself answered.

        Time in which the VM was suspended counts; by a clock that stops
        meanwhile, the cached state would look newer than it is.
        """
        if self._synced_s is None:
            return NEVER_SYNCED_AGE_S
        return clock.boot_s() - self._synced_s

    @property
    def is_current(self) -> bool:
        """Return whether the store itself has answered recently."""
        return self.age_s < self._wait_s + RESPONSE_SLACK_S

    def listing(self) -> store.Listing:
        """Return all objects."""
        objects = list(self._objects.values())
        return store.Listing(objects, self.revision, self.age_s)

    def record_sync(self, wait_s: float, is_from_store: bool) -> None:
        """Record an answer; the next one is due within wait_s."""
        self._wait_s = wait_s
        self._synced_s = clock.boot_s() if is_from_store else None
        self._notify_waiters()

    def apply_listing(self, listing: store.Listing) -> None:
        """Replace all objects with a listing.

        The differences are recorded as changes. So when the store drops its
        history, only its relays have to relist, and not the hundreds of nodes
        behind them.
        """
        # Objects without a readable name can't be told apart.
        found = {store.name_of(stored): stored for stored in listing.objects}
        found.pop('', None)
        if self.revision and listing.revision >= self.revision:
            missed = _diff(self._objects, found)
            self.apply_changes(store.Changes(missed, listing.revision))
            self._notify_waiters()
            return
        self._objects = found
        self._batches.clear()
        self.revision = listing.revision
        self._first_revision = listing.revision
        self._notify_waiters()

    def apply_changes(self, found: store.Changes) -> None:
        """Apply changes in order."""
        self.revision = max(self.revision, found.revision)
        named = [change for change in found.changes if change.name]
        if not named:
            return
        for change in named:
            if change.is_removed:
                self._objects.pop(change.name, None)
            else:
                self._objects[change.name] = change.stored
        if len(self._batches) == MAX_BATCHES:
            self._first_revision = self._batches[0].revision
        self._batches.append(_Batch(found.revision, named))
        self._notify_waiters()

    def has_history(self, after_revision: int) -> bool:
        """Return whether all changes after a revision are still kept."""
        return after_revision >= self._first_revision

    async def changes_after(
        self, after_revision: int, wait_s: float
    ) -> store.Changes:
        """Return the changes after a revision, perhaps none.

        Waits for a change or the next answer of the store, up to wait_s.

        A batch that extends beyond the revision is returned whole. It may
        repeat earlier changes, but ends with the latest state of each object.

        Raises HistoryGoneError if changes after the revision aren't kept. This
        is checked after the wait, as the cache may have been relisted
        meanwhile: with 'no changes' and the new revision, a node would never
        learn what the listing changed, such as a revoked key.
        """
        found = self._after(after_revision)
        if not found:
            await self._wait(wait_s)
            found = self._after(after_revision)
        if not self.has_history(after_revision):
            raise store.HistoryGoneError(
                'changes after the revision are not kept'
            )
        revision = max(self.revision, after_revision)
        return store.Changes(found, revision, self.age_s)

    def _after(self, revision: int) -> list[store.Change]:
        return _compact(
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

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _diff(
    known: dict[str, store.Document], found: dict[str, store.Document]
) -> list[store.Change]:
    """Return the changes from the known objects to the found ones."""
    removed = [
        store.Change(stored, is_removed=True)
        for name, stored in known.items()
        if name not in found
    ]
    apply_changes = [
        store.Change(stored, is_removed=False)
        for name, stored in found.items()
        if name not in known
        or _raw_revision(known[name]) != _raw_revision(stored)
    ]
    return [*removed, *apply_changes]


def _raw_revision(stored: store.Document) -> object:
    """Return the revision as the store sent it, in whatever form."""
    return stored['metadata'].get('revision')


def _compact(
    changes: collections_abc.Iterable[store.Change],
) -> list[store.Change]:
    """Return the last state of each object, and its removal.

    A configuration has tens of kilobytes, and one batch may hold several of its
    versions. If a relay sent all of them, it would saturate its link for
    seconds, and neither it nor the nodes behind it would receive the last one.
    The state before a removal is kept, as it may say that an endpoint was
    leaving.
    """
    newest: dict[tuple[str, bool], store.Change] = {}
    for change in changes:
        key = (change.name, change.is_removed)
        newest.pop(key, None)
        newest[key] = change
    return list(newest.values())
