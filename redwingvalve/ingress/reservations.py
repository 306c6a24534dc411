"""Interface for reserving a slot at an endpoint for one request."""

import abc
import enum
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import load_balancing, wait_queue
from redwingvalve.platform import endpoint_statements


class ReleaseState(enum.Enum):
    """State of a slot when its request releases it."""

    FREE = 1
    # The connection broke, or the endpoint stalled or didn't answer in time: it
    # may still be processing the request, or have crashed.
    UNCERTAIN = 2
    # The endpoint replied that it has no free slot.
    REFUSED = 3


class EndpointResult(enum.Enum):
    """What the outcome of a request says about its endpoint."""

    # Nothing: the caller left, or nothing was sent.
    UNKNOWN = 0
    SUCCESS = 1
    FAILURE = 2


class Reservation(abc.ABC):
    """A slot that is held for a request until it is released."""

    target: load_balancing.Target

    @abc.abstractmethod
    def record_statement(
        self, statement: endpoint_statements.Statement
    ) -> None:
        """Record what the endpoint states in the head of its answer."""

    @abc.abstractmethod
    def release(
        self,
        leaving: ReleaseState,
        result: EndpointResult = EndpointResult.UNKNOWN,
    ) -> None:
        """Release the slot, with the result of its request."""


@attrs.frozen
class NoSlot:
    """No slot becomes free in time; the caller may retry."""

    retry_after_s: float


class Reserver(abc.ABC):
    """Reserves slots."""

    @abc.abstractmethod
    async def reserve(
        self,
        service: str,
        model: str,
        need: wait_queue.SlotRequest,
        avoid: collections_abc.Collection[str],
        slow: collections_abc.Collection[str],
    ) -> Reservation | NoSlot:
        """Reserve a slot for a request, or return when its caller may retry.

        avoid lists the endpoints that were tried already, slow those to be
        chosen last.
        """
