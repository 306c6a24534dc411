"""Collects the slots in use before a new owner of a pool grants any.

Load pattern: nodes restart one after the other while a pool is full, so that
its owner changes every second. A new owner that knows of no slot in use grants
each of them once more until all nodes have reported, and requests queue at the
endpoints, where they are late. So it first asks all nodes which slots they
hold. Asks that arrive meanwhile are kept and answered afterwards.
"""

import asyncio
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import messages, owners
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('allocation')
# A node answers within a few milliseconds. Nodes that have just died don't
# answer, and the latency targets of callers are hundreds of milliseconds.
COLLECT_TIMEOUT_S = 0.05
# Least time between two collections of a node that isn't the first in rank,
# but is asked because others don't get an answer from the first.
RECOLLECT_INTERVAL_S = 0.5
# How long an owner points others to the node that has taken its pool over:
# until they have ranked the nodes again.
POINT_TO_OWNER_S = owners.RANKING_TTL_S

Key: typing.TypeAlias = tuple[messages.Sender, int]
Reply: typing.TypeAlias = collections_abc.Callable[[messages.Reply], None]


@attrs.define(eq=False)
class DelayedAsk:
    """An ask that arrived while the slots in use were being collected."""

    sender: messages.Sender
    ask: messages.Ask
    reply: Reply
    arrived_s: float


@attrs.define(eq=False)
class _Collection:
    missing: set[str]
    began_s: float
    asks: dict[Key, DelayedAsk] = attrs.field(factory=dict)
    timer: asyncio.TimerHandle | None = None


@attrs.define(eq=False)
class _Yielded:
    until_s: float
    # The nodes that were pointed to the next owner. One that comes back can't
    # reach it, and is served.
    told: set[str] = attrs.field(factory=set)


def _no_holders() -> collections_abc.Iterable[str]:
    """Return no nodes, as none is known."""
    return ()


def _request_nothing(vm: str, message: messages.HoldingsRequest) -> None:
    """Send nothing, as no node is known."""


def _always_owns(pool: messages.Pool) -> bool:
    """Return True, as there is no other node."""
    return True


@attrs.define(eq=False)
class Takeovers:
    """The pools whose slots in use are known, or being collected."""

    clock: collections_abc.Callable[[], float]
    # Called with the delayed asks once a pool's slots are known.
    on_collected: collections_abc.Callable[[list[DelayedAsk]], None]
    # The nodes that may hold slots.
    holders: collections_abc.Callable[[], collections_abc.Iterable[str]] = (
        _no_holders
    )
    request: collections_abc.Callable[[str, messages.HoldingsRequest], None] = (
        _request_nothing
    )
    # Whether this node is the first that others ask for a pool's slots.
    owns: collections_abc.Callable[[messages.Pool], bool] = _always_owns
    # Has owns() judge by the nodes that are known now.
    refresh: collections_abc.Callable[[], None] = lambda: None
    _collected_s: dict[messages.Pool, float] = attrs.field(factory=dict)
    _outdated: set[messages.Pool] = attrs.field(factory=set)
    _collections: dict[messages.Pool, _Collection] = attrs.field(factory=dict)
    _yielded: dict[messages.Pool, _Yielded] = attrs.field(factory=dict)

    def delay(
        self, sender: messages.Sender, ask: messages.Ask, reply: Reply
    ) -> bool:
        """Keep an ask until the slots in use are known; False if they are."""
        if not (self.is_collecting(ask.pool) or self._begin_if_due(ask.pool)):
            return False
        key = (sender, ask.number)
        asks = self._collections[ask.pool].asks
        known = asks.get(key)
        if known is None:
            asks[key] = DelayedAsk(sender, ask, reply, self.clock())
        else:
            known.reply = reply
        return True

    def cancel(self, key: Key) -> None:
        """Drop an ask that nobody waits for any more."""
        for collection in self._collections.values():
            collection.asks.pop(key, None)

    def take_delayed(self) -> list[DelayedAsk]:
        """Remove and return all delayed asks."""
        delayed = []
        for collection in self._collections.values():
            delayed.extend(collection.asks.values())
            collection.asks.clear()
        return delayed

    def record_report(self, pool: messages.Pool, vm: str) -> None:
        """Record that a node has reported the slots that it holds."""
        collection = self._collections.get(pool)
        if collection is None:
            return
        collection.missing.discard(vm)
        if not collection.missing and collection.timer is not None:
            self._finish(pool)

    def check_ownership(self) -> None:
        """Have the slots of pools that other nodes own collected again."""
        for pool in self._collected_s:
            if not self.owns(pool):
                self._outdated.add(pool)

    def yield_to_first(self, pool: messages.Pool) -> bool:
        """Leave a pool to the first node in rank, unless that is this one."""
        if self.is_collecting(pool) or self._owns_now(pool):
            return False
        until_s = self.clock() + POINT_TO_OWNER_S
        self._yielded[pool] = _Yielded(until_s)
        return True

    def has_moved(self, vm: str, pool: messages.Pool) -> bool:
        """Return whether to point a node to the next owner, once each."""
        yielded = self._yielded.get(pool)
        if yielded is None or vm in yielded.told:
            return False
        if yielded.until_s < self.clock() or self.owns(pool):
            self._yielded.pop(pool)
            return False
        yielded.told.add(vm)
        return True

    def is_collecting(self, pool: messages.Pool) -> bool:
        """Return whether the slots of a pool are being collected."""
        return pool in self._collections

    def _begin_if_due(self, pool: messages.Pool) -> bool:
        now_s = self.clock()
        collected_s = self._collected_s.get(pool)
        if collected_s is not None:
            if pool not in self._outdated:
                return False
            is_recent = now_s - collected_s < RECOLLECT_INTERVAL_S
            if is_recent and not self._owns_now(pool):
                return False
        return self._begin(pool, now_s)

    def _owns_now(self, pool: messages.Pool) -> bool:
        """Return whether this node is the first, by the nodes known now."""
        self.refresh()
        return self.owns(pool)

    def _begin(self, pool: messages.Pool, now_s: float) -> bool:
        """Ask all nodes for their slots; return whether any must answer."""
        self._outdated.discard(pool)
        self._collected_s[pool] = now_s
        holders = tuple(self.holders())
        collection = _Collection(set(holders), now_s)
        self._collections[pool] = collection
        for vm in holders:
            # This node's own slots are reported before the call returns.
            self.request(vm, messages.HoldingsRequest(pool))
        if not collection.missing:
            self._collections.pop(pool)
            return False
        loop = asyncio.get_running_loop()
        collection.timer = loop.call_later(
            COLLECT_TIMEOUT_S, self._finish, pool
        )
        return True

    def _finish(self, pool: messages.Pool) -> None:
        collection = self._collections.pop(pool, None)
        if collection is None:
            return
        if collection.timer is not None:
            collection.timer.cancel()
        is_complete = not collection.missing
        node_metrics.METRICS.count(
            'redwingvalve_pool_takeovers', complete=str(is_complete).lower()
        )
        LOG.info(
            'slots in use collected',
            extra={
                **attrs.asdict(pool),
                'silent_nodes': len(collection.missing),
                'delayed_asks': len(collection.asks),
                'asked_by': sorted({key[0].vm for key in collection.asks}),
                'is_first': self.owns(pool),
                'took_ms': int((self.clock() - collection.began_s) * 1000),
            },
        )
        self.on_collected(list(collection.asks.values()))
