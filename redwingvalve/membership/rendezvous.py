"""Rendezvous hashing: who does a duty, without anybody deciding it.

Every process that sees the same candidates picks the same ones, and when one
goes only its own duties move (Thaler and Ravishankar 1998).
"""

from collections import abc as collections_abc

import xxhash


def select(
    candidates: collections_abc.Iterable[str], duty: str, count: int
) -> tuple[str, ...]:
    """Return the count candidates that hold a duty, the first one first."""
    ranked = sorted(
        candidates,
        key=lambda name: (_score(duty, name), name),
        reverse=True,
    )
    return tuple(ranked[:count])


def _score(duty: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{duty}\0{name}'.encode())
