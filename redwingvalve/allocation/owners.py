"""Which node grants the places of a pool.

All nodes rank the living nodes of the pool's data centre alike, so that nobody
has to decide it. A node that doesn't answer is passed over for a while by the
one that asked it; each node finds that out for itself with its next request,
long before the silence of the dead one shows.
"""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import messages
from redwingvalve.membership import rendezvous

# Asked before a node chooses by itself.
ASKED_OWNERS = 2
# The living change seldom; ranking them costs a hash for each.
RANKED_FOR_S = 0.25
# How long a node that gave no answer is passed over at first and at most; the
# time doubles with each failure in a row.
PASSED_OVER_MIN_S = 0.3
PASSED_OVER_MAX_S = 2.4
_DOUBLED = 2


@attrs.frozen
class Candidate:
    """A node that may own pools."""

    vm: str
    data_centre: str


Candidates: typing.TypeAlias = collections_abc.Callable[
    [], collections_abc.Iterable[Candidate]
]


@attrs.define
class _Silence:
    pause_s: float
    until_s: float


@attrs.define(eq=False)
class PoolOwners:
    """Ranks the owners of pools as this node sees them."""

    candidates: Candidates
    clock: collections_abc.Callable[[], float]
    _ranked: dict[messages.Pool, tuple[str, ...]] = attrs.field(factory=dict)
    _ranked_s: float = 0.0
    _silent: dict[str, _Silence] = attrs.field(factory=dict)

    def ranked_for(self, pool: messages.Pool) -> tuple[str, ...]:
        """Return the nodes to be asked, the first one first."""
        now_s = self.clock()
        if now_s - self._ranked_s > RANKED_FOR_S:
            self._ranked_s = now_s
            self._ranked.clear()
        ranked = self._ranked.get(pool)
        if ranked is None:
            ranked = self._rank(pool)
            self._ranked[pool] = ranked
        return tuple(vm for vm in ranked if not self._is_passed_over(vm))[
            :ASKED_OWNERS
        ]

    def was_silent(self, vm: str) -> None:
        """Pass a node over that gave no answer."""
        known = self._silent.get(vm)
        pause_s = PASSED_OVER_MIN_S
        if known is not None:
            pause_s = min(known.pause_s * _DOUBLED, PASSED_OVER_MAX_S)
        self._silent[vm] = _Silence(pause_s, self.clock() + pause_s)

    def has_answered(self, vm: str) -> None:
        """Ask a node again that gives answers."""
        self._silent.pop(vm, None)

    def _is_passed_over(self, vm: str) -> bool:
        silence = self._silent.get(vm)
        return silence is not None and silence.until_s > self.clock()

    def _rank(self, pool: messages.Pool) -> tuple[str, ...]:
        candidates = list(self.candidates())
        near = [
            one.vm
            for one in candidates
            if pool.data_centre in {'', one.data_centre}
        ]
        # A data centre of endpoints only: any node may count them.
        names = near or [one.vm for one in candidates]
        duty = f'{pool.service}\0{pool.model}\0{pool.data_centre}'
        return rendezvous.holders(names, duty, len(names))
