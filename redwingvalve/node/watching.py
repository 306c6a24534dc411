"""Follows one kind of objects in the store."""

import abc
import random
import typing

import anyio

from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('watching')
# Between two tries while the store gives no answers, so that nodes that lost
# it together don't return together.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4


class Follower(abc.ABC):
    """What is told of a kind's objects."""

    @abc.abstractmethod
    def replaced(self, listed: list[store.Document]) -> None:
        """Take all objects of the kind."""

    @abc.abstractmethod
    def changed(self, changes: list[store.Change]) -> None:
        """Take changes in their order."""

    @abc.abstractmethod
    def troubled(self) -> None:
        """Note that the store gives no usable answers."""


class KindWatch:
    """Lists a kind once, then watches it, for as long as it runs."""

    def __init__(
        self,
        client: store.StoreClient,
        kind: str,
        follower: Follower,
        wait_s: float,
        pause_s: float = 0.0,
    ) -> None:
        """Tell the follower.

        wait_s bounds how long a connection that fell silent goes unnoticed;
        pause_s is left between two watches, so that changes that come close
        together cost one call.
        """
        self._client = client
        self._kind = kind
        self._follower = follower
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._revision: int | None = None
        self._is_lost = False

    async def run(self) -> typing.NoReturn:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except store.HistoryGoneError:
                LOG.info('history gone', extra={'kind': self._kind})
                self._revision = None
                self._follower.troubled()
            except store.StoreError as error:
                await self._lost(error)
            except (KeyError, TypeError, ValueError) as error:
                await self._lost(error)

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._client.list_kind(self._kind)
            self._revision = listing.revision
            self._found()
            self._follower.replaced(listing.objects)
            return
        found = await self._client.watch(
            self._kind, self._revision, self._wait_s
        )
        self._revision = found.revision
        self._found()
        self._follower.changed(found.changes)
        await anyio.sleep(self._pause_s)

    async def _lost(self, error: Exception) -> None:
        self._follower.troubled()
        if not self._is_lost:
            LOG.warning(
                'store lost', extra={'kind': self._kind, 'error': str(error)}
            )
        self._is_lost = True
        await anyio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))

    def _found(self) -> None:
        if self._is_lost:
            LOG.info('store is back', extra={'kind': self._kind})
        self._is_lost = False
