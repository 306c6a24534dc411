"""What this node knows of one kind, kept to pass it on to other nodes.

Load pattern: some eighty nodes watch two hundred endpoints that change several
times a second; each change would cost eighty answers of the store, which is
dearer than the requests are worth. Two nodes of a data centre watch the store
and the others watch them.

A mirror that has lost touch with the store says so at once, so that a node
behind it turns to another source within the time in which it must know of
leaving endpoints.
"""

import asyncio
import collections
import time

import attrs

from redwingvalve.platform import store

# Changes kept for nodes that come from another source or were held up.
KEPT_BATCHES = 256
# Beyond the wait of a watch, an answer takes a round trip.
CONTACT_SLACK_S = 0.5


@attrs.frozen
class _Batch:
    revision: int
    changes: list[store.Change]


class Mirror:
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
    def is_in_touch(self) -> bool:
        """Return whether the store itself was heard lately."""
        if self._contact_s is None:
            return False
        since_s = time.monotonic() - self._contact_s
        return since_s < self._wait_s + CONTACT_SLACK_S

    def objects(self) -> list[store.Document]:
        """Return all objects."""
        return list(self._objects.values())

    def heard(self, wait_s: float, is_from_store: bool) -> None:
        """Note an answer; the next one is due within wait_s."""
        self._wait_s = wait_s
        self._contact_s = time.monotonic() if is_from_store else None

    def replaced(self, listing: store.Listing) -> None:
        """Take all objects at a revision; changes before it are unknown."""
        self._objects = {
            str(stored['metadata']['name']): stored
            for stored in listing.objects
        }
        self._batches.clear()
        self.revision = listing.revision
        self._first_revision = listing.revision
        self._tell()

    def changed(self, found: store.Changes) -> None:
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
        """Return changes after a revision, or none after wait_s.

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
        return store.Changes(found, max(self.revision, after_revision))

    def _after(self, revision: int) -> list[store.Change]:
        return [
            change
            for batch in self._batches
            if batch.revision > revision
            for change in batch.changes
        ]

    async def _wait(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _tell(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
