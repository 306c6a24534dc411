"""Reads the bodies of answers that are checked before they are passed on."""

import contextlib
from collections import abc as collections_abc

from redwingvalve.entry import dependencies, upstream
from redwingvalve.http1 import held_bodies, response_limits


def max_bytes(entry_dependencies: dependencies.EntryDependencies) -> int:
    """Return the longest body of an answer."""
    settings = entry_dependencies.settings
    return response_limits.make_limits(0, settings.max_body_bytes).body_bytes


@contextlib.asynccontextmanager
async def read(
    response: upstream.UpstreamResponse,
    entry_dependencies: dependencies.EntryDependencies,
) -> collections_abc.AsyncIterator[bytes]:
    """Read a whole body and hold it during the block.

    Raises OverLimitError if it is too long.
    """
    held = held_bodies.HeldBody(
        max_bytes(entry_dependencies), entry_dependencies.account
    )
    with contextlib.closing(held):
        async for chunk in response.chunks:
            held.add(chunk)
            await held.wait_for_room()
        yield held.joined()
