"""The one service of a process, put together from the slices' handlers.

A slice that answers peers implements one of the abstract base classes here
and registers it; a call for which nobody has registered is refused, which the
caller sees as a call error of kind REMOTE.
"""

import abc
import typing

from redwingvalve.wire import messages


class HandlerMissingError(Exception):
    """This process does not answer such calls."""


class GossipHandler(abc.ABC):
    """Answers exchanges and probes; implemented by the membership slice."""

    @abc.abstractmethod
    async def exchange(self, packed: bytes) -> bytes:
        """Take a packed Exchange and return one."""

    @abc.abstractmethod
    async def probe(self, request: messages.peer.ProbeRequest) -> bool:
        """Try to reach a member on behalf of another."""


class ConfigurationHandler(abc.ABC):
    """Answers for configuration; implemented by the configuration slice."""

    @abc.abstractmethod
    async def fetch_records(
        self, request: messages.peer.RecordsRequest
    ) -> messages.peer.RecordsReply:
        """Return the records that the asker lacks."""

    @abc.abstractmethod
    async def find_missing(
        self, request: messages.peer.InForceRequest
    ) -> messages.peer.InForceReply:
        """Name the entries of this region that lack a version."""


class KeyClaimHandler(abc.ABC):
    """Answers claims of request keys; implemented by at_most_once."""

    @abc.abstractmethod
    async def claim_key(
        self, claim: messages.peer.KeyClaim
    ) -> messages.peer.KeyVerdict:
        """Say whether the claimant may run the request."""


class KeyRecordHandler(abc.ABC):
    """Keeps claims of request keys; implemented by at_most_once."""

    @abc.abstractmethod
    async def report_key(self, report: messages.peer.KeyReport) -> bool:
        """Take the claimant's word on the end of its request."""

    @abc.abstractmethod
    async def copy_keys(
        self, request: messages.peer.KeyCopyRequest
    ) -> messages.peer.KeyCopy:
        """Hand out all claims to an entry that has become a voter."""


class PeerHandler:
    """Dispatches the Peer service to the registered slices."""

    def __init__(self) -> None:
        """Start with nothing registered."""
        self.gossip_handler: GossipHandler | None = None
        self.configuration_handler: ConfigurationHandler | None = None
        self.key_claim_handler: KeyClaimHandler | None = None
        self.key_record_handler: KeyRecordHandler | None = None

    async def exchange(self, packed: bytes) -> bytes:
        """Exchange gossip."""
        return await _registered(self.gossip_handler).exchange(packed)

    async def probe(self, request: messages.peer.ProbeRequest) -> bool:
        """Probe a member for another."""
        return await _registered(self.gossip_handler).probe(request)

    async def fetch_records(
        self, request: messages.peer.RecordsRequest
    ) -> messages.peer.RecordsReply:
        """Hand out configuration."""
        handler = _registered(self.configuration_handler)
        return await handler.fetch_records(request)

    async def find_missing(
        self, request: messages.peer.InForceRequest
    ) -> messages.peer.InForceReply:
        """Name entries without a version."""
        handler = _registered(self.configuration_handler)
        return await handler.find_missing(request)

    async def claim_key(
        self, claim: messages.peer.KeyClaim
    ) -> messages.peer.KeyVerdict:
        """Decide on a request key."""
        return await _registered(self.key_claim_handler).claim_key(claim)

    async def report_key(self, report: messages.peer.KeyReport) -> bool:
        """Learn what became of a claimed request."""
        return await _registered(self.key_record_handler).report_key(report)

    async def copy_keys(
        self, request: messages.peer.KeyCopyRequest
    ) -> messages.peer.KeyCopy:
        """Hand out claims of request keys."""
        return await _registered(self.key_record_handler).copy_keys(request)


HandlerType = typing.TypeVar('HandlerType')


def _registered(handler: HandlerType | None) -> HandlerType:
    if handler is None:
        raise HandlerMissingError('this process does not answer such calls')
    return handler


def make_peer_handler() -> PeerHandler:
    """Return a handler with nothing registered."""
    return PeerHandler()
