"""Rendezvous hashing: everybody ranks the same names for a key alike.

When a name leaves, only the keys that it ranked first for move.
"""

from collections import abc as collections_abc

import xxhash


def ranked(key: str, names: collections_abc.Iterable[str]) -> tuple[str, ...]:
    """Return the names, the first choice for the key first."""

    def score(name: str) -> tuple[int, str]:
        digest = xxhash.xxh64_intdigest(f'{key}/{name}'.encode())
        return (digest, name)

    return tuple(sorted(set(names), key=score, reverse=True))
