"""The Peer service of a process, composed of registered handlers.

A package that serves peers implements one of the abstract base classes here
and registers the implementation. A call without a registered handler fails,
which the caller sees as a call error of kind REMOTE.
"""

import abc
import typing

from redwingvalve.wire import messages


class HandlerNotRegisteredError(Exception):
    """No handler is registered for the called method."""


class GossipHandler(abc.ABC):
    """Serves gossip exchanges and probes; implemented by membership."""

    @abc.abstractmethod
    async def exchange(self, packed: bytes) -> bytes:
        """Process a packed Exchange and return the reply, packed as well."""

    @abc.abstractmethod
    async def probe(self, request: messages.peer.ProbeRequest) -> bool:
        """Probe a member on behalf of another."""


class ConfigurationHandler(abc.ABC):
    """Serves configuration records; implemented by configuration."""

    @abc.abstractmethod
    async def fetch_records(
        self, request: messages.peer.RecordsRequest
    ) -> messages.peer.RecordsReply:
        """Return the records that the caller lacks."""

    @abc.abstractmethod
    async def find_missing(
        self, request: messages.peer.InForceRequest
    ) -> messages.peer.InForceReply:
        """Return the entries of this region that lack a version."""


class KeyClaimHandler(abc.ABC):
    """Decides on claims of request keys; implemented by at_most_once."""

    @abc.abstractmethod
    async def claim_key(
        self, claim: messages.peer.KeyClaim
    ) -> messages.peer.KeyVerdict:
        """Return whether the claimant may run the request."""


class KeyRecordHandler(abc.ABC):
    """Stores claims of request keys; implemented by at_most_once."""

    @abc.abstractmethod
    async def report_key(self, report: messages.peer.KeyReport) -> bool:
        """Record the outcome that the claimant reports for its request."""

    @abc.abstractmethod
    async def copy_keys(
        self, request: messages.peer.KeyCopyRequest
    ) -> messages.peer.KeyCopy:
        """Return all claims, for an entry that has become a voter."""


class PeerHandler:
    """Dispatches calls of the Peer service to the registered handlers."""

    def __init__(self) -> None:
        """Create a dispatcher without handlers."""
        self.gossip_handler: GossipHandler | None = None
        self.configuration_handler: ConfigurationHandler | None = None
        self.key_claim_handler: KeyClaimHandler | None = None
        self.key_record_handler: KeyRecordHandler | None = None

    async def exchange(self, packed: bytes) -> bytes:
        """Process a gossip exchange."""
        return await _registered(self.gossip_handler).exchange(packed)

    async def probe(self, request: messages.peer.ProbeRequest) -> bool:
        """Probe a member for another."""
        return await _registered(self.gossip_handler).probe(request)

    async def fetch_records(
        self, request: messages.peer.RecordsRequest
    ) -> messages.peer.RecordsReply:
        """Return configuration records."""
        handler = _registered(self.configuration_handler)
        return await handler.fetch_records(request)

    async def find_missing(
        self, request: messages.peer.InForceRequest
    ) -> messages.peer.InForceReply:
        """Return the entries that lack a version."""
        handler = _registered(self.configuration_handler)
        return await handler.find_missing(request)

    async def claim_key(
        self, claim: messages.peer.KeyClaim
    ) -> messages.peer.KeyVerdict:
        """Decide on a request key."""
        return await _registered(self.key_claim_handler).claim_key(claim)

    async def report_key(self, report: messages.peer.KeyReport) -> bool:
        """Record the outcome of a claimed request."""
        return await _registered(self.key_record_handler).report_key(report)

    async def copy_keys(
        self, request: messages.peer.KeyCopyRequest
    ) -> messages.peer.KeyCopy:
        """Return the claims of request keys."""
        return await _registered(self.key_record_handler).copy_keys(request)


HandlerType = typing.TypeVar('HandlerType')


def _registered(handler: HandlerType | None) -> HandlerType:
    if handler is None:
        raise HandlerNotRegisteredError(
            'no handler is registered for this call'
        )
    return handler


def make_peer_handler() -> PeerHandler:
    """Return a dispatcher without handlers."""
    return PeerHandler()
