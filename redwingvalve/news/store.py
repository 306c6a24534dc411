"""The news of one scope: the latest items, and those that a peer lacks.

Pure: time is an argument. Load pattern: each of the 72 members of a region
publishes several items per second, and each item must reach the other 71
once. Sending all items in each message would cost the number of members times
the size of all news. Instead, a member sends the highest number it has of
each owner and receives only items above it. The items of an owner are sent
in the order of their numbers, so that a message truncated at its limit gives
the receiver a prefix and the next message continues from there: a returning
node catches up in bounded pieces.
"""

import collections
import functools
from collections import abc as collections_abc

import attrs
import xxhash

# A returning node sends several requests per second, so with this limit it
# receives the news of a region (a few thousand items) within seconds.
MAX_ITEMS_IN_MESSAGE = 400
MAX_BYTES_IN_MESSAGE = 48_000
# Encoded size of an item without its body and names.
ITEM_OVERHEAD_BYTES = 64
_HASH_RANGE = 2**32
_HALF_HASH_RANGE = 2**31

Digest = collections_abc.Mapping[int, int]
ItemKey = tuple[str, str]


@attrs.frozen
class Item:
    """The latest item of one owner for one key.

    published_s is on the clock of this process.
    """

    channel: str
    owner: str
    owner_incarnation: int
    key: str
    number: int
    body: bytes
    published_s: float
    max_age_s: float

    def is_expired(self, now_s: float) -> bool:
        """Return whether the item is older than its maximum age."""
        return now_s - self.published_s > self.max_age_s


class NewsStore:
    """Items by owner, with the highest number known of each owner."""

    def __init__(self, me: str) -> None:
        """Start empty; items owned by me are accepted from no peer."""
        self._me = me
        self._highest: dict[str, int] = {}
        self._items: dict[str, dict[ItemKey, Item]] = collections.defaultdict(
            dict
        )
        self._channels: dict[str, dict[ItemKey, Item]] = (
            collections.defaultdict(dict)
        )

    def put(self, item: Item, now_s: float) -> bool:
        """Store an item unless known or expired; return whether stored."""
        if item.number <= self._highest.get(item.owner, 0):
            return False
        self._highest[item.owner] = item.number
        if item.is_expired(now_s):
            return False
        self._items[item.owner][item.channel, item.key] = item
        self._channels[item.channel][item.owner, item.key] = item
        return True

    def accepts_owner(self, owner: str) -> bool:
        """Return whether items of this owner are accepted from peers."""
        return owner != self._me

    def read(
        self, channel: str, now_s: float
    ) -> collections_abc.Iterator[Item]:
        """Yield a channel's items that are neither expired nor retracted."""
        for item in self._channels[channel].values():
            if item.body and not item.is_expired(now_s):
                yield item

    def drop_expired(self, now_s: float) -> None:
        """Remove expired items, and owners without items."""
        for owner in tuple(self._items):
            items = self._items[owner]
            for item_key, item in tuple(items.items()):
                if item.is_expired(now_s):
                    del items[item_key]
                    del self._channels[item.channel][owner, item.key]
            if not items and owner != self._me:
                del self._items[owner]
                self._highest.pop(owner, None)

    def digest(self) -> dict[int, int]:
        """Return the highest number known of each owner, by its hash.

        If the hashes of two owners collide, the lower number is used, so
        that items are sent twice rather than never.
        """
        found: dict[int, int] = {}
        for owner, number in self._highest.items():
            hashed = owner_hash(owner)
            found[hashed] = min(found.get(hashed, number), number)
        return found

    def numbers_behind(self, theirs: Digest) -> dict[int, int]:
        """Return the numbers of the owners of whom a peer has newer items."""
        mine = self.digest()
        return {
            hashed: mine.get(hashed, 0)
            for hashed, number in theirs.items()
            if number > mine.get(hashed, 0)
        }

    def items_missing_from(
        self, theirs: Digest, now_s: float, *, only_named: bool
    ) -> list[Item]:
        """Return items above a peer's numbers, up to the message limits.

        only_named leaves out owners that the digest doesn't contain;
        otherwise the peer is assumed to have no items of them.
        """
        chosen: list[Item] = []
        size_bytes = 0
        for item in self._above(theirs, now_s, only_named=only_named):
            size_bytes += len(item.body) + ITEM_OVERHEAD_BYTES
            if size_bytes > MAX_BYTES_IN_MESSAGE:
                break
            chosen.append(item)
            if len(chosen) >= MAX_ITEMS_IN_MESSAGE:
                break
        return chosen

    def _above(
        self, theirs: Digest, now_s: float, *, only_named: bool
    ) -> collections_abc.Iterator[Item]:
        """Yield the items above a digest, ordered by number for each owner."""
        for owner, items in self._items.items():
            above_all = self._highest[owner] if only_named else 0
            have = theirs.get(owner_hash(owner), above_all)
            if self._highest[owner] <= have:
                continue
            for item in sorted(items.values(), key=_number):
                if item.number > have and not item.is_expired(now_s):
                    yield item


@functools.lru_cache(maxsize=20_000)
def owner_hash(owner: str) -> int:
    """Return the signed 32-bit hash that identifies an owner in digests."""
    hashed = xxhash.xxh32_intdigest(owner.encode())
    if hashed >= _HALF_HASH_RANGE:
        return hashed - _HASH_RANGE
    return hashed


def _number(item: Item) -> int:
    return item.number
