"""Interface for the nodes that can take over a request."""

import abc
import contextlib
import typing

import attrs

from redwingvalve.http1 import pool

# Status by which a node declines a forwarded request, before anything has run.
DECLINED = 421
# A service and one of its models, '' for a plain service.
TargetPool: typing.TypeAlias = tuple[str, str]


@attrs.frozen
class PeerTarget:
    """Another node, and its address for requests of nodes."""

    vm: str
    address: pool.Address


class PeerProvider(abc.ABC):
    """Provides the nodes that a request can be forwarded to."""

    @abc.abstractmethod
    def candidates(
        self, target_pool: TargetPool | None
    ) -> typing.Iterator[PeerTarget]:
        """Return the nodes to try, one by one until one takes the request.

        target_pool is the only one that this node can't reach, None if it
        reaches no endpoint at all.
        """

    @abc.abstractmethod
    def track(self, vm: str) -> typing.ContextManager[None]:
        """Count a request as handled by a node until the context is left."""

    @abc.abstractmethod
    def count_by_state(self) -> dict[str, int]:
        """Return the numbers of other nodes by what is known of them."""

    @abc.abstractmethod
    def mark_declined(self, vm: str, target_pool: TargetPool | None) -> None:
        """Avoid a node for a while that didn't take a request.

        target_pool is that of candidates().
        """

    @abc.abstractmethod
    def mark_taken(self, vm: str) -> None:
        """Record that a node has taken a request."""


class NoPeers(PeerProvider):
    """Provides no node."""

    def candidates(
        self, target_pool: TargetPool | None
    ) -> typing.Iterator[PeerTarget]:
        """Return no node."""
        return iter(())

    def track(self, vm: str) -> typing.ContextManager[None]:
        """Count nothing."""
        return contextlib.nullcontext()

    def count_by_state(self) -> dict[str, int]:
        """Return no numbers."""
        return {}

    def mark_declined(self, vm: str, target_pool: TargetPool | None) -> None:
        """Do nothing."""

    def mark_taken(self, vm: str) -> None:
        """Do nothing."""
