"""Interface for the nodes that can take over a request."""

import abc

import attrs

from redwingvalve.http1 import pool

# Status by which a node declines a forwarded request, before anything has run.
DECLINED = 421


@attrs.frozen
class PeerTarget:
    """Another node, and its address for requests of nodes."""

    vm: str
    address: pool.Address


class PeerProvider(abc.ABC):
    """Provides the nodes that a request can be forwarded to."""

    @abc.abstractmethod
    def candidates(self) -> list[PeerTarget]:
        """Return the nodes to try, in order."""

    @abc.abstractmethod
    def live_count(self) -> int:
        """Return the number of other nodes that seem to be alive."""

    @abc.abstractmethod
    def mark_declined(self, vm: str) -> None:
        """Avoid a node for a while that didn't take a request."""


class NoPeers(PeerProvider):
    """Provides no node."""

    def candidates(self) -> list[PeerTarget]:
        """Return no node."""
        return []

    def live_count(self) -> int:
        """Return 0."""
        return 0

    def mark_declined(self, vm: str) -> None:
        """Do nothing."""
