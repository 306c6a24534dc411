"""Ranks the nodes that may own a pool, that is, grant its slots.

All nodes rank the living nodes of the pool's data centre in the same order, so
no election is needed. A node that does not answer is skipped for a while by
the node that asked it. Each node learns this with its own next request, long
before the failed node is declared dead.
"""

import math
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import messages
from redwingvalve.membership import rendezvous

# Owners that are asked before a node chooses an endpoint by itself.
OWNERS_TO_ASK = 2
# The set of living nodes changes rarely, and ranking costs a hash for each.
RANKING_TTL_S = 0.25
# A node that did not answer is skipped for the minimum at first; the time
# doubles with each failure in a row.
BACKOFF_MIN_S = 0.3
BACKOFF_MAX_S = 2.4
_BACKOFF_FACTOR = 2


@attrs.frozen
class Candidate:
    """A node that can own pools."""

    vm: str
    data_centre: str


Candidates: typing.TypeAlias = collections_abc.Callable[
    [], collections_abc.Iterable[Candidate]
]


@attrs.define
class _Backoff:
    duration_s: float
    until_s: float


@attrs.define(eq=False)
class PoolOwners:
    """Ranks the owners of pools as this node sees them."""

    candidates: Candidates
    clock: collections_abc.Callable[[], float]
    _rankings: dict[messages.Pool, tuple[str, ...]] = attrs.field(factory=dict)
    _ranked_at_s: float = 0.0
    _backoffs: dict[str, _Backoff] = attrs.field(factory=dict)
    _names: frozenset[str] = frozenset()
    # When the living nodes changed as this node sees them.
    changed_s: float = -math.inf

    def ranked_for(self, pool: messages.Pool) -> tuple[str, ...]:
        """Return the owners to ask for slots of a pool, in order."""
        ranked = self._ranked(pool)
        return tuple(vm for vm in ranked if not self._is_backing_off(vm))[
            :OWNERS_TO_ASK
        ]

    def first_for(self, pool: messages.Pool) -> tuple[str, ...]:
        """Return the owners that nodes ask which get answers from all."""
        return self._ranked(pool)[:OWNERS_TO_ASK]

    def is_first(self, vm: str, pool: messages.Pool) -> bool:
        """Return whether a node is the one that others ask first."""
        return self._ranked(pool)[:1] == (vm,)

    def refresh(self) -> None:
        """Rank the nodes again, as another one has taken a pool over."""
        self._rankings.clear()

    def all_for(self, pool: messages.Pool) -> tuple[str, ...]:
        """Return all nodes that are likely to be asked.

        Other nodes may ask one that doesn't answer this node.
        """
        return tuple(
            dict.fromkeys((*self.ranked_for(pool), *self.first_for(pool)))
        )

    def mark_unresponsive(self, vm: str) -> None:
        """Skip a node that gave no answer until its backoff ends."""
        known = self._backoffs.get(vm)
        duration_s = BACKOFF_MIN_S
        if known is not None:
            duration_s = min(known.duration_s * _BACKOFF_FACTOR, BACKOFF_MAX_S)
        self._backoffs[vm] = _Backoff(duration_s, self.clock() + duration_s)

    def mark_responsive(self, vm: str) -> None:
        """End the backoff of a node that has answered."""
        self._backoffs.pop(vm, None)

    def _ranked(self, pool: messages.Pool) -> tuple[str, ...]:
        now_s = self.clock()
        if now_s - self._ranked_at_s > RANKING_TTL_S:
            self._ranked_at_s = now_s
            self._rankings.clear()
        ranked = self._rankings.get(pool)
        if ranked is None:
            ranked = self._rank(pool)
            self._rankings[pool] = ranked
        return ranked

    def _is_backing_off(self, vm: str) -> bool:
        backoff = self._backoffs.get(vm)
        return backoff is not None and backoff.until_s > self.clock()

    def _rank(self, pool: messages.Pool) -> tuple[str, ...]:
        candidates = list(self.candidates())
        names = frozenset(candidate.vm for candidate in candidates)
        if names != self._names:
            self._names = names
            self.changed_s = self.clock()
        local = [
            candidate.vm
            for candidate in candidates
            if pool.data_centre in {'', candidate.data_centre}
        ]
        # In a data centre without nodes, any node may own the pool.
        vms = local or [candidate.vm for candidate in candidates]
        pool_key = f'{pool.service}\0{pool.model}\0{pool.data_centre}'
        return rendezvous.select(vms, pool_key, len(vms))
