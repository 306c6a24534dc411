"""Selection of the voters of a key chosen by a caller.

Both entries and controllers vote. Claims are kept in memory only, so the
failure of two processes within seconds must not include a majority.
"""

from collections import abc as collections_abc

from redwingvalve.membership import rendezvous

# A majority of five survives the loss of any two; one of three doesn't. The two
# additional voters are asked in parallel with the others.
VOTERS_PER_KEY = 5
ROLES = frozenset(('entry', 'control'))


def voters_of(
    names: collections_abc.Iterable[str], account: str, request_key: str
) -> tuple[str, ...]:
    """Return the voters by rendezvous hashing, the highest rank first.

    Adding or removing a name moves only the keys that it votes on.
    """
    return rendezvous.select(names, f'{account}\0{request_key}', VOTERS_PER_KEY)


def votes_needed(voters: int) -> int:
    """Return the size of a majority; any two majorities share a voter."""
    return voters // 2 + 1
