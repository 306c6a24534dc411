"""An LRU prefix cache whose events are delayed and partly lost."""

import collections
import random

import attrs

EVENT_HISTORY_SIZE = 2000


@attrs.frozen
class CacheEvent:
    """A block was stored or removed, at time at_s."""

    number: int
    at_s: float
    type: str
    prefix_hash: str


class PrefixCache:
    """Blocks in least-recently-used order, and the history of events."""

    def __init__(
        self,
        capacity_blocks: int,
        lag_s: float,
        event_loss_ratio: float,
        seed: int,
    ) -> None:
        """Show events after lag_s, except a lost event_loss_ratio of them."""
        self._capacity_blocks = capacity_blocks
        self._lag_s = lag_s
        self._event_loss_ratio = event_loss_ratio
        self._random = random.Random(seed)
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENT_HISTORY_SIZE
        )
        self._number = 0

    def use(self, hashes: tuple[str, ...], now_s: float) -> int:
        """Return the number of leading blocks cached; store the others."""
        held = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._blocks:
                break
            held += 1
        for prefix_hash in hashes:
            if prefix_hash not in self._blocks:
                self._record('stored', prefix_hash, now_s)
            self._blocks[prefix_hash] = None
            self._blocks.move_to_end(prefix_hash)
        while len(self._blocks) > self._capacity_blocks:
            removed, _ = self._blocks.popitem(last=False)
            self._record('removed', removed, now_s)
        return held

    def clear(self, now_s: float) -> None:
        """Remove all blocks, as loading another model does."""
        for prefix_hash in tuple(self._blocks):
            self._record('removed', prefix_hash, now_s)
        self._blocks.clear()

    def first_number(self) -> int:
        """Return the number of the oldest event in the history.

        Without events it is the number of the next one.
        """
        if not self._events:
            return self._number + 1
        return self._events[0].number

    def visible(self, after: int, now_s: float) -> tuple[CacheEvent, ...]:
        """Return the events after a number that are at least lag_s old."""
        return tuple(
            event
            for event in self._events
            if event.number > after and event.at_s <= now_s - self._lag_s
        )

    def _record(self, event_type: str, prefix_hash: str, now_s: float) -> None:
        self._number += 1
        if self._random.random() < self._event_loss_ratio:
            return
        self._events.append(
            CacheEvent(self._number, now_s, event_type, prefix_hash)
        )
