"""Peer discovery through objects in the store and status messages.

Load pattern: all nodes of a fleet start within a second, and many may be
killed and restart at once. A node registers an object of its own, then lists
those of the others and sends its status to all of them; they learn its address
from these messages. Of any two nodes, the one that registered later has listed
the other's object, so that each pair finds each other. A watch of these objects
would notify each node of each other one: 3,400 calls when 59 nodes start, which
costs more than all other calls to the store together.
"""

import random
import typing

import anyio
import attrs

from redwingvalve.ingress import retry_budget
from redwingvalve.node import peer_addresses
from redwingvalve.node import peers as peers_module
from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('meeting')
NODE_KIND = 'redwingvalve-nodes'
# Delay between attempts to register and to list the peers, with jitter so that
# nodes that lost the store at the same time don't return at the same time.
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.4
# Later listings may be stale, which costs a tenth. They make up for a node
# whose first messages were all lost, and show which nodes are gone for good.
RELIST_INTERVAL_S = 10.0
_MS_IN_S = 1000.0

_ADDRESS_FIELDS = tuple(attrs.fields_dict(peers_module.PeerAddress))


@attrs.define(eq=False)
class PeerDiscovery(retry_budget.Fleet):
    """Registers this node in the store and lists the others."""

    client: store.StoreClient
    peers: peers_module.Peers
    _is_registered: bool = False
    _is_complete: bool = False
    # Unix time of the start of this node's previous process, None without one.
    _previous_born_ms: int | None = None

    async def run(self) -> typing.NoReturn:
        """Register, list the peers, and relist them periodically."""
        while True:
            self._is_registered = self._is_registered or await self._register()
            is_listed = await self._list_peers(is_stale=self._is_complete)
            # A listing from before the registration may lack a node whose own
            # listing lacks this one.
            if is_listed and self._is_registered:
                self._is_complete = True
            if self._is_complete:
                # Also after a failed listing, since the peers are known.
                await anyio.sleep(RELIST_INTERVAL_S)
            else:
                await anyio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))

    @property
    def is_complete(self) -> bool:
        """Return whether the other nodes have been listed."""
        return self._is_complete

    def size(self) -> int:
        """Return the number of nodes, 0 until they have been listed."""
        return 1 + len(self.peers.known) if self._is_complete else 0

    def has_restarted_within(self, window_s: float) -> bool:
        """Return whether the previous process started that recently.

        One that seems to have started later did so by a clock that was set
        back.
        """
        if self._previous_born_ms is None:
            return False
        since_ms = self.peers.local.born_ms - window_s * _MS_IN_S
        return self._previous_born_ms > since_ms

    async def deregister(self) -> None:
        """Remove this node's object, so that no other node discovers it."""
        try:
            await self.client.remove(NODE_KIND, self.peers.local.vm)
        except store.StoreError as error:
            # The other nodes also detect the end of the status messages.
            LOG.warning('not deregistered', extra={'error': str(error)})

    async def _list_peers(self, *, is_stale: bool) -> bool:
        try:
            listing = await self.client.list_kind(NODE_KIND, is_stale)
        except store.StoreError as error:
            LOG.warning('nodes not read', extra={'error': str(error)})
            return False
        except (KeyError, TypeError, ValueError) as error:
            LOG.error('invalid listing of nodes', extra={'error': str(error)})
            return False
        found = [_decode_address(stored) for stored in listing.objects]
        self.peers.apply_listing([address for address in found if address])
        return True

    async def _register(self) -> bool:
        """Write this node's object, replacing that of its last process."""
        local = self.peers.local
        spec = attrs.asdict(local)
        try:
            await self.client.create(NODE_KIND, local.vm, spec)
        except store.ConflictError as error:
            self._record_previous(error.current)
            return await self._replace_registration(spec)
        except store.StoreError as error:
            LOG.warning('not registered', extra={'error': str(error)})
            return False
        return True

    def _record_previous(self, stored: store.Document | None) -> None:
        previous = _decode_address(stored) if stored else None
        # A lost response leaves the object that this process has created.
        if previous and previous.born_ms != self.peers.local.born_ms:
            self._previous_born_ms = previous.born_ms

    async def _replace_registration(self, spec: store.Document) -> bool:
        local = self.peers.local
        try:
            await self.client.replace(NODE_KIND, local.vm, spec, None)
        except store.StoreError as error:
            LOG.warning('not registered', extra={'error': str(error)})
            return False
        return True


def _decode_address(stored: store.Document) -> peers_module.PeerAddress | None:
    try:
        # A later release may write further fields.
        known = {
            name: stored['spec'][name]
            for name in _ADDRESS_FIELDS
            if name in stored['spec']
        }
        address = peers_module.PeerAddress(**known)
        peer_addresses.check(address)
    except (KeyError, TypeError, ValueError) as error:
        LOG.warning('invalid node object', extra={'error': str(error)})
        return None
    return address
