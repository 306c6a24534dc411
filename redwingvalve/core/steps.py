"""Runs long work in short steps.

Load pattern: a peer sends so much that the work on it takes longer than callers
of other requests may wait. Such work is written as a generator that yields
after each small part.
"""

import asyncio
import time
import typing
from collections import abc as collections_abc

from redwingvalve.core import collector

# Other tasks run after so much work.
STEP_S: typing.Final = 0.005

_Found = typing.TypeVar('_Found')
# Yields after each part of the work, and returns its result.
Steps: typing.TypeAlias = collections_abc.Generator[None, None, _Found]


async def run(work: Steps[_Found]) -> _Found:
    """Do the work, and let other tasks run meanwhile; return its result."""
    while True:
        with collector.paused():
            until_s = time.perf_counter() + STEP_S
            try:
                while time.perf_counter() < until_s:
                    next(work)
            except StopIteration as end:
                return typing.cast('_Found', end.value)
        await asyncio.sleep(0)


def finish(work: Steps[_Found]) -> _Found:
    """Do the work without a pause; return its result."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            return typing.cast('_Found', end.value)
