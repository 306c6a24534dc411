"""Which processes decide about a caller's own key.

Entries and controllers both vote: what is remembered is in memory only, and
two that die within seconds of each other must not take a majority along.
"""

from collections import abc as collections_abc

from redwingvalve.membership import rendezvous

# A majority of five outlives any two of them; three did not. A request asks
# two voters more, at the same time as the others.
VOTERS_PER_KEY = 5
ROLES = frozenset(('entry', 'control'))


def voters_of(
    names: collections_abc.Iterable[str], account: str, request_key: str
) -> tuple[str, ...]:
    """Return the names of the voters by rendezvous hashing, first is first.

    Adding or removing a name moves only the keys that it votes on.
    """
    return rendezvous.select(names, f'{account}\0{request_key}', VOTERS_PER_KEY)


def votes_needed(voters: int) -> int:
    """Return a majority, so that any two of them share a voter."""
    return voters // 2 + 1
