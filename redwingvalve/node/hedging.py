"""Hedged calls: a call whose answer may be lost is repeated before it fails.

The first answer counts. Waiting for the time limit of one call before the next
is made would use up the time in which the answer is needed.
"""

import typing
from collections import abc as collections_abc

import anyio

from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('watching')
_Answer = typing.TypeVar('_Answer')
# Failures of a call; the last three are raised for malformed answers.
FAILURES = (store.StoreError, KeyError, TypeError, ValueError)


class _Race(typing.Generic[_Answer]):
    def __init__(
        self, call: collections_abc.Callable[[], typing.Awaitable[_Answer]]
    ) -> None:
        self.answers: list[_Answer] = []
        self.errors: list[Exception] = []
        self.ended = anyio.Event()
        self._call = call

    async def attempt(self) -> None:
        try:
            self.answers.append(await self._call())
        except FAILURES as error:
            LOG.debug('call failed', extra={'error': str(error)})
            self.errors.append(error)
        self.ended.set()

    @property
    def is_decided(self) -> bool:
        """Return whether more calls are pointless."""
        is_gone = any(
            isinstance(error, store.HistoryGoneError) for error in self.errors
        )
        return is_gone or bool(self.answers)

    async def wait_attempt(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            await self.ended.wait()
        self.ended = anyio.Event()


async def first_answer(
    call: collections_abc.Callable[[], typing.Awaitable[_Answer]],
    attempts: int,
    delay_s: float,
) -> _Answer:
    """Return the first answer; raise the last failure if all calls fail.

    Another call is made after delay_s without an answer, or at once if the
    previous one failed. HistoryGoneError counts as an answer.
    """
    race = _Race(call)
    async with anyio.create_task_group() as group:
        for _ in range(attempts):
            group.start_soon(race.attempt)
            await race.wait_attempt(delay_s)
            if race.is_decided:
                break
        while not race.is_decided and len(race.errors) < attempts:
            await race.wait_attempt(delay_s)
        group.cancel_scope.cancel()
    if race.answers:
        return race.answers[0]
    raise race.errors[-1]
