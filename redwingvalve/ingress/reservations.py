"""A place at an endpoint for one request, from whoever grants it."""

import abc
import enum
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import load_balancing, wait_queue


class ReleaseState(enum.Enum):
    """In what state a request leaves its place."""

    FREE = 1
    # The endpoint broke off, fell silent or gave no answer in time: it may
    # still be at work on the request, or dead.
    UNCERTAIN = 2
    # The endpoint has said that it has no place.
    REFUSED = 3


class Reservation(abc.ABC):
    """A place that is held for a request until it is released."""

    target: load_balancing.Target

    @abc.abstractmethod
    def release(self, leaving: ReleaseState) -> None:
        """Give the place back."""


@attrs.frozen
class NoSlot:
    """Nothing is free in time; the caller may come back."""

    retry_after_s: float


class Reserver(abc.ABC):
    """Finds places."""

    @abc.abstractmethod
    async def reserve(
        self,
        service: str,
        model: str,
        need: wait_queue.SlotRequest,
        avoid: collections_abc.Collection[str],
        slow: collections_abc.Collection[str],
    ) -> Reservation | NoSlot:
        """Return a place for a request, or when its caller may come back.

        avoid names the endpoints that were tried, slow those that are chosen
        last.
        """
