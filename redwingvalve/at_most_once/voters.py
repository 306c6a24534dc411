"""Which entries decide about a caller's own key."""

from collections import abc as collections_abc

from redwingvalve.membership import rendezvous

VOTERS_PER_KEY = 3


def voters_of(
    names: collections_abc.Iterable[str], account: str, request_key: str
) -> tuple[str, ...]:
    """Return the names of the voters by rendezvous hashing, first is first.

    Adding or removing a name moves only the keys that it votes on.
    """
    return rendezvous.holders(
        names, f'{account}\0{request_key}', VOTERS_PER_KEY
    )


def votes_needed(voters: int) -> int:
    """Return a majority, so that any two of them share a voter."""
    return voters // 2 + 1
