"""Rendezvous hashing: assigns duties to processes without coordination.

Processes that see the same candidates select the same ones, and when a
candidate fails only its own duties move (Thaler and Ravishankar 1998).
"""

from collections import abc as collections_abc

import xxhash


def select(
    candidates: collections_abc.Iterable[str], duty: str, count: int
) -> tuple[str, ...]:
    """Return the count candidates that rank highest for a duty, in order."""
    ranked = sorted(
        candidates,
        key=lambda name: (_score(duty, name), name),
        reverse=True,
    )
    return tuple(ranked[:count])


def _score(duty: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{duty}\0{name}'.encode())
