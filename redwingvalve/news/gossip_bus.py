"""News bus that uses the exchanges of membership as its transport."""

import math
from collections import abc as collections_abc

from redwingvalve.core import clock
from redwingvalve.membership import delegates, members
from redwingvalve.news import bus, store
from redwingvalve.observability import logs
from redwingvalve.wire import messages

LOG = logs.make_logger('news')
Exchange = messages.peer.Exchange
Record = messages.peer.NewsRecord
Digest = messages.peer.NewsDigest
MS_PER_S = 1000
# The numbers of an incarnation start at this multiple of it, so that those of
# a restarted owner are above the ones from before its restart.
NUMBERS_PER_INCARNATION = 1_000_000
# Larger bodies from peers are rejected, whatever the limit of the channel.
MAX_BODY_BYTES = 16_000
DROP_INTERVAL_S = 1.0


class GossipNews(bus.NewsBus, delegates.ExchangeDelegate):
    """News in two stores, one for each scope."""

    def __init__(self, present: members.Members, timers: clock.Clock) -> None:
        """Publish as present.local_member()."""
        me = present.local_member().name
        self._members = present
        self._clock = timers
        self._region = store.NewsStore(me)
        self._everywhere = store.NewsStore(me)
        self._last_number = 0
        self._urgent: set[str] = set()
        self._on_urgent: collections_abc.Callable[[], None] = _ignore
        self._last_drop_s = timers.monotonic_s()

    def on_urgent(self, callback: collections_abc.Callable[[], None]) -> None:
        """Set the callback for urgent news published or received."""
        self._on_urgent = callback

    # Interface of bus.NewsBus.

    def publish(self, channel: bus.Channel, key: str, body: bytes) -> None:
        """Publish an item under key; an empty body retracts it."""
        if len(body) > min(channel.max_item_bytes, MAX_BODY_BYTES):
            LOG.error(
                f'news item for {channel.name} too large: {len(body)} bytes'
            )
            return
        now_s = self._clock.monotonic_s()
        me = self._members.local_member()
        first_number = me.incarnation * NUMBERS_PER_INCARNATION
        self._last_number = max(self._last_number, first_number) + 1
        item = store.Item(
            channel=channel.name,
            owner=me.name,
            owner_incarnation=me.incarnation,
            key=key,
            number=self._last_number,
            body=body,
            published_s=now_s,
            max_age_s=channel.max_age_s,
        )
        self._store(channel.scope).put(item, now_s)
        if channel.urgent:
            self._urgent.add(channel.name)
            self._on_urgent()

    def read(self, channel: bus.Channel) -> tuple[bus.NewsItem, ...]:
        """Return all unexpired items of a channel."""
        now_s = self._clock.monotonic_s()
        if channel.urgent:
            self._urgent.add(channel.name)
        return tuple(
            bus.NewsItem(
                channel=item.channel,
                owner=item.owner,
                owner_incarnation=item.owner_incarnation,
                key=item.key,
                number=item.number,
                body=item.body,
                age_s=now_s - item.published_s,
            )
            for item in self._store(channel.scope).read(channel.name, now_s)
            if now_s - item.published_s <= channel.max_age_s
        )

    # Interface of delegates.ExchangeDelegate.

    def ask(self, request: Exchange, peer_region: str) -> None:
        """Add the highest number known of each owner to a request."""
        self._drop_expired()
        if peer_region == self._members.local_member().region:
            request.region_digest = _to_digest(self._region.digest())
        request.everywhere_digest = _to_digest(self._everywhere.digest())

    def answer(self, received: Exchange, reply: Exchange) -> None:
        """Add items the requester lacks and digests of those lacking here."""
        if received.region_digest is not None and self._same_region(received):
            peer_numbers = _from_digest(received.region_digest)
            reply.region_news = self._missing(self._region, peer_numbers)
            reply.region_digest = _to_digest(
                self._region.numbers_behind(peer_numbers)
            )
        if received.everywhere_digest is not None:
            peer_numbers = _from_digest(received.everywhere_digest)
            reply.everywhere_news = self._missing(
                self._everywhere, peer_numbers
            )
            reply.everywhere_digest = _to_digest(
                self._everywhere.numbers_behind(peer_numbers)
            )

    def follow_up(
        self, received: Exchange, follow_up_message: Exchange
    ) -> bool:
        """Add the items that a reply asks for."""
        if received.region_digest is not None and self._same_region(received):
            follow_up_message.region_news = self._missing(
                self._region,
                _from_digest(received.region_digest),
                only_named=True,
            )
        if received.everywhere_digest is not None:
            follow_up_message.everywhere_news = self._missing(
                self._everywhere,
                _from_digest(received.everywhere_digest),
                only_named=True,
            )
        return bool(
            follow_up_message.region_news or follow_up_message.everywhere_news
        )

    def receive(
        self, received: Exchange, address: tuple[str, int], delay_s: float
    ) -> None:
        """Store items from a peer, adding the delivery delay to their age."""
        if math.isinf(delay_s):
            # The age of the items is unknown. They aren't lost: as their
            # numbers aren't recorded, the next exchange offers them again.
            return
        packed_s = self._clock.monotonic_s() - delay_s
        if self._same_region(received):
            self._store_received(self._region, received.region_news, packed_s)
        self._store_received(
            self._everywhere, received.everywhere_news, packed_s
        )

    def _store(self, scope: bus.Scope) -> store.NewsStore:
        if scope is bus.Scope.REGION:
            return self._region
        return self._everywhere

    def _same_region(self, received: Exchange) -> bool:
        return received.sender.region == self._members.local_member().region

    def _missing(
        self,
        target: store.NewsStore,
        peer_numbers: dict[int, int],
        *,
        only_named: bool = False,
    ) -> list[Record]:
        now_s = self._clock.monotonic_s()
        missing = target.items_missing_from(
            peer_numbers, now_s, only_named=only_named
        )
        return [_to_record(item, now_s) for item in missing]

    def _store_received(
        self,
        target: store.NewsStore,
        received: list[Record] | None,
        packed_s: float,
    ) -> None:
        now_s = self._clock.monotonic_s()
        for record in received or ():
            if not _is_valid(record) or not target.accepts_owner(record.owner):
                continue
            is_new = target.put(_from_record(record, packed_s), now_s)
            if is_new and record.channel in self._urgent:
                self._on_urgent()

    def _drop_expired(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._last_drop_s < DROP_INTERVAL_S:
            return
        self._last_drop_s = now_s
        self._region.drop_expired(now_s)
        self._everywhere.drop_expired(now_s)


def _to_record(item: store.Item, now_s: float) -> Record:
    return Record(
        channel=item.channel,
        owner=item.owner,
        owner_incarnation=_explicit_incarnation(item),
        key=item.key or None,
        number=item.number,
        body=item.body,
        # Rounded up, so that an item never appears younger than it is.
        age_ms=math.ceil((now_s - item.published_s) * MS_PER_S),
        max_age_ms=int(item.max_age_s * MS_PER_S),
    )


def _explicit_incarnation(item: store.Item) -> int | None:
    if item.number // NUMBERS_PER_INCARNATION == item.owner_incarnation:
        return None
    return item.owner_incarnation


def _from_record(record: Record, packed_s: float) -> store.Item:
    return store.Item(
        channel=record.channel,
        owner=record.owner,
        owner_incarnation=(
            record.owner_incarnation or record.number // NUMBERS_PER_INCARNATION
        ),
        key=record.key or '',
        number=record.number,
        body=record.body or b'',
        published_s=packed_s - (record.age_ms or 0) / MS_PER_S,
        max_age_s=(record.max_age_ms or 0) / MS_PER_S,
    )


def _is_valid(record: Record) -> bool:
    if not record.channel or not record.owner or not record.number:
        return False
    return len(record.body or b'') <= MAX_BODY_BYTES


def _to_digest(numbers: collections_abc.Mapping[int, int]) -> Digest:
    return Digest(
        owner_hashes=list(numbers.keys()), numbers=list(numbers.values())
    )


def _from_digest(digest: Digest) -> dict[int, int]:
    return dict(
        zip(digest.owner_hashes or (), digest.numbers or (), strict=False)
    )


def _ignore() -> None:
    """Do nothing."""


def make_gossip_news(
    present: members.Members, timers: clock.Clock
) -> GossipNews:
    """Return an empty news bus; add it to the members as a delegate."""
    return GossipNews(present, timers)
