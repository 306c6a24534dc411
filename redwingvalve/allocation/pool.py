"""The places of one pool: who waits for them, and who gets the next one.

Load answered: requests of a model come to hundreds of nodes, a few a second to
each, and its places change hands several times a second. What any node
remembers of the others is older than a request lasts. So one node counts the
places of a pool, and the waiting room stands where they are counted.
"""

import functools
import math
import random
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import hold_table, messages
from redwingvalve.ingress import (
    duration_estimates,
    load_balancing,
    reservations,
    wait_queue,
)

# Places that late requests leave free, in spreads of the number in use, and at
# most as a share of all.
RESERVED_SPREADS = 0.5
MOST_RESERVED_SHARE = 0.25
# An endpoint that refuses although places seem free serves requests that
# nobody holds any more; they end within this.
REFUSED_S = 0.25
# A place whose request ended without an answer is left alone for as long: its
# endpoint may be dead, which the next connection shows.
UNSURE_S = 0.25
# An endpoint that a node found slow is chosen last for this long.
SLOW_S = 2.0

Clock = collections_abc.Callable[[], float]
Targets = collections_abc.Callable[
    [], collections_abc.Sequence[load_balancing.Target]
]


@attrs.frozen
class _Unsure:
    """A place that may still be taken, or be a dead endpoint's."""

    endpoint_id: str
    until_s: float


@attrs.define(eq=False)
class SlotPool(wait_queue.SlotCapacity):
    """Counts, grants and queues for one pool."""

    targets: Targets
    rng: random.Random
    clock: Clock
    holds: hold_table.HoldTable = attrs.field(factory=hold_table.HoldTable)
    _hold: duration_estimates.DurationEstimate = attrs.field(
        factory=duration_estimates.make_hold_time_estimate
    )
    _refused_until_s: dict[str, float] = attrs.field(factory=dict)
    _slow_until_s: dict[str, float] = attrs.field(factory=dict)
    _unsure: list[_Unsure] = attrs.field(factory=list)
    queue: wait_queue.WaitQueue = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the waiting room."""
        self.queue = wait_queue.WaitQueue(self.clock, self)

    @property
    def is_busy(self) -> bool:
        """Return whether places are held or waited for."""
        return bool(len(self.holds) or len(self.queue))

    def selector(
        self, sender: messages.Sender, ask: messages.Ask
    ) -> load_balancing.AcquireSlot:
        """Return what takes a place for an ask."""
        return functools.partial(self._take, sender, ask)

    def note_slow(self, ask: messages.Ask) -> None:
        """Take what a node has found slow."""
        until_s = self.clock() + SLOW_S
        for endpoint_id in ask.slow:
            self._slow_until_s[endpoint_id] = until_s

    def release(
        self, key: hold_table.Key, leaving: reservations.ReleaseState
    ) -> None:
        """Free a place and give it to the first that waits."""
        hold = self.holds.release(key)
        if hold is None:
            return
        now_s = self.clock()
        if leaving is reservations.ReleaseState.REFUSED:
            self._refused_until_s[hold.endpoint_id] = now_s + REFUSED_S
        elif leaving is reservations.ReleaseState.UNCERTAIN:
            self._unsure.append(_Unsure(hold.endpoint_id, now_s + UNSURE_S))
        else:
            self._hold.observe(now_s - hold.since_s)
        self.queue.dispatch()

    def confirm(
        self, sender: messages.Sender, endpoint_ids: dict[int, str]
    ) -> None:
        """Take what a node holds."""
        self.holds.confirm(sender, endpoint_ids, self.clock())
        self.queue.dispatch()

    def drop_node(self, vm: str) -> None:
        """Free what a node held that is gone."""
        if self.holds.drop_node(vm):
            self.queue.dispatch()

    def tick(self) -> None:
        """Forget what is over, and let those that wait look again."""
        now_s = self.clock()
        self.holds.drop_expired(now_s)
        self._refused_until_s = _unexpired(self._refused_until_s, now_s)
        self._slow_until_s = _unexpired(self._slow_until_s, now_s)
        self._unsure = [one for one in self._unsure if one.until_s > now_s]
        self.queue.dispatch()

    def expected_s(self, ask: wait_queue.SlotRequest) -> float:
        """Return how long a request would wait."""
        next_s = 1 / max(self.freed_per_s(), wait_queue.MIN_FREED_PER_S)
        return max(self.queue.expected_wait_s(ask), next_s)

    def free_slots(self) -> int:
        """Return the places that are free."""
        return sum(map(self._free_at, self.targets()))

    def slots(self) -> int:
        """Return all places, taken or free."""
        return sum(target.slots for target in self.targets())

    def freed_per_s(self) -> float:
        """Return the places that come free in a second while all are taken."""
        return self.slots() / self._hold.seconds

    def has_spare_slots(self) -> bool:
        """Return whether late requests may take a place now.

        Some places are kept for requests that can be on time: half of the
        square root of all, which is how far their number strays by chance.
        """
        slots = self.slots()
        strays = RESERVED_SPREADS * math.sqrt(slots)
        return self.free_slots() > min(strays, slots * MOST_RESERVED_SHARE)

    def _take(
        self, sender: messages.Sender, ask: messages.Ask
    ) -> load_balancing.Target | None:
        found = self._choose(ask.avoid)
        if found is not None:
            key = (sender, ask.number)
            self.holds.hold(key, found.endpoint_id, self.clock())
        return found

    def _choose(
        self, avoid: collections_abc.Container[str]
    ) -> load_balancing.Target | None:
        free = [
            target
            for target in self.targets()
            if target.endpoint_id not in avoid and self._free_at(target) > 0
        ]
        return min(free, key=self._rank, default=None)

    def _rank(self, target: load_balancing.Target) -> tuple[bool, float, float]:
        filled = self.holds.count(target.endpoint_id) / target.slots
        is_slow = target.endpoint_id in self._slow_until_s
        return is_slow, filled, self.rng.random()

    def _free_at(self, target: load_balancing.Target) -> int:
        now_s = self.clock()
        if self._refused_until_s.get(target.endpoint_id, 0) > now_s:
            return 0
        unsure = sum(
            one.endpoint_id == target.endpoint_id and one.until_s > now_s
            for one in self._unsure
        )
        held = self.holds.count(target.endpoint_id) + unsure
        return max(0, target.slots - held)


def _unexpired(until_s: dict[str, float], now_s: float) -> dict[str, float]:
    return {name: one for name, one in until_s.items() if one > now_s}


PoolTargets: typing.TypeAlias = collections_abc.Callable[
    [messages.Pool], collections_abc.Sequence[load_balancing.Target]
]
