"""Tells how much this node knows of the recent starts in a pool.

Load pattern: the owners of a pool change while its endpoints get as many
requests as they tolerate. Owners tell each other what they grant, so that the
next one goes on where the last one stopped. A node that was not among them, has
just started or stood still didn't hear it; two owners that don't hear each
other may both grant.
"""

import enum
import math
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import messages

# Limits count the starts of a second; the rest is for those told late.
MISSED_S = 1.2
# Time between two ticks after which datagrams may have been missed. Idle nodes
# tick each 0.5 s.
MAX_TICK_GAP_S = 0.9
# Interval at which owners ask each other for a confirmation.
CONFIRM_INTERVAL_S = 0.15
# An owner that confirmed nothing for this long may have missed starts; two lost
# confirmations are tolerated. Two owners that lose contact each grant a cold
# endpoint what start_limits.COLD_SPREAD_S allows meanwhile.
CONTACT_S = 0.5
# The limit of warm endpoints leaves less room, and loses less without contact.
# With 0.5 s, 27 requests in one second reached an endpoint that nobody knew to
# be cold while owners failed.
RECENT_CONTACT_S = 0.3


class Knowledge(enum.IntEnum):
    """What a node knows of the starts of the last second, most first."""

    ALL = 1
    # All but what another owner may have granted in the last moments.
    MOST = 2
    # Another owner may be granting without its knowledge.
    OWN = 3
    # Others may have granted as much as the limits allow.
    NONE = 4


Owners: typing.TypeAlias = collections_abc.Callable[
    [messages.Pool], collections_abc.Sequence[str]
]


def _no_owners(pool: messages.Pool) -> tuple[str, ...]:
    return ('',)


def _never() -> float:
    return -math.inf


@attrs.define
class _Contact:
    """Contact with another owner."""

    confirmed_s: float = -math.inf
    # When the first of an unbroken series of confirmations arrived.
    since_s: float = math.inf

    def knowledge(self, now_s: float) -> Knowledge:
        """Return what is known of what the other owner grants."""
        silent_s = now_s - self.confirmed_s
        if silent_s > CONTACT_S or now_s - self.since_s <= MISSED_S:
            return Knowledge.OWN
        if silent_s > RECENT_CONTACT_S:
            return Knowledge.MOST
        return Knowledge.ALL

    def confirm(self, now_s: float) -> None:
        if now_s - self.confirmed_s > CONTACT_S:
            self.since_s = now_s
        self.confirmed_s = now_s


@attrs.define(eq=False)
class OwnerKnowledge:
    """What this node knows of all starts, by pool."""

    local_vm: str = ''
    # The nodes that are asked for a pool's slots, as this node sees them.
    owners: Owners = _no_owners
    # When the nodes that may own pools changed.
    changed_s: collections_abc.Callable[[], float] = _never
    # Of this process, or since it stood still.
    started_s: float = -math.inf
    _last_tick_s: float = math.inf
    # When this node was last not among the owners of a pool.
    _missed_s: dict[messages.Pool, float] = attrs.field(factory=dict)
    _contacts: dict[str, _Contact] = attrs.field(factory=dict)

    def of_pool(self, pool: messages.Pool, now_s: float) -> Knowledge:
        """Return what is known here of the starts in a pool."""
        if not self._is_informed(pool, now_s):
            return Knowledge.NONE
        return max(
            (self._contact(vm).knowledge(now_s) for vm in self._others(pool)),
            default=Knowledge.ALL,
        )

    def contacts_to_ask(self, now_s: float) -> list[str]:
        """Return the other owners that are to confirm that they hear this."""
        others = {
            vm
            for pool in self._missed_s
            if self._is_owner(pool)
            for vm in self._others(pool)
        }
        return [
            vm
            for vm in others
            if now_s - self._contact(vm).confirmed_s > CONFIRM_INTERVAL_S
        ]

    def track(self, pools: collections_abc.Iterable[messages.Pool]) -> None:
        """Note from now on whether this node is among the owners of pools.

        One that was second in rank all along, and told of all starts, would
        otherwise know nothing when it is asked for the first time.
        """
        for pool in pools:
            if pool not in self._missed_s:
                self._missed_s[pool] = self.changed_s()

    def record_confirmation(self, vm: str, now_s: float) -> None:
        """Record that another owner received what this node told it."""
        self._contact(vm).confirm(now_s)

    def tick(self, now_s: float) -> None:
        """Note pools that this node doesn't own, and its own standstills."""
        if now_s - self._last_tick_s > MAX_TICK_GAP_S:
            self.started_s = now_s
        self._last_tick_s = now_s
        for pool in self._missed_s:
            if not self._is_owner(pool):
                self._missed_s[pool] = now_s

    def _is_informed(self, pool: messages.Pool, now_s: float) -> bool:
        if not self._is_owner(pool):
            self._missed_s[pool] = now_s
            return False
        if pool not in self._missed_s:
            # It isn't known for how long this node has been an owner.
            self._missed_s[pool] = self.changed_s()
        missed_s = max(self._missed_s[pool], self.started_s)
        return now_s - missed_s > MISSED_S

    def _is_owner(self, pool: messages.Pool) -> bool:
        return self.local_vm in self.owners(pool)

    def _others(self, pool: messages.Pool) -> list[str]:
        return [vm for vm in self.owners(pool) if vm != self.local_vm]

    def _contact(self, vm: str) -> _Contact:
        return self._contacts.setdefault(vm, _Contact())
