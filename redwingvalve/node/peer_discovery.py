"""How nodes find each other: by objects in the store, and by their words.

Load pattern: all nodes of a fleet start within a second, and many may be
killed and start again at once. A node writes an object of its own, then reads
those of the others, and speaks to all that it found; they learn of it from its
words. Of any two nodes the one that wrote later has read the other's object,
so that no pair stays apart. A watch of these objects would tell each node of
each other one: 3,400 calls when 59 nodes start, dearer than all other calls to
the store together.
"""

import random
import typing

import anyio
import attrs

from redwingvalve.node import peers as peers_module
from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('meeting')
NODE_KIND = 'redwingvalve-nodes'
# While the object isn't written or the others weren't read; the time differs,
# so that nodes that lost the store together don't return together.
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.4
# Stale listings cost a tenth. They make up for a node whose first words were
# all lost, and tell which nodes are gone for good.
READ_AGAIN_S = 10.0

_ADDRESS_FIELDS = tuple(attrs.fields_dict(peers_module.PeerAddress))


@attrs.define
class PeerDiscovery:
    """This node's object, and those of the others."""

    client: store.StoreClient
    peers: peers_module.Peers
    _is_written: bool = False
    _has_met: bool = False

    async def run(self) -> typing.NoReturn:
        """Meet the others, and read again now and then."""
        while True:
            self._is_written = self._is_written or await self._write()
            is_read = await self._read(is_stale=self._has_met)
            # What was read before the own object stood may lack a node that
            # has not read it either.
            if is_read and self._is_written:
                self._has_met = True
            if self._has_met:
                # Also after a reading that failed: the others are known.
                await anyio.sleep(READ_AGAIN_S)
            else:
                await anyio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))

    @property
    def is_complete(self) -> bool:
        """Return whether the other nodes have been read."""
        return self._has_met

    async def deregister(self) -> None:
        """Remove the own object, so that no other node looks for this one."""
        try:
            await self.client.remove(NODE_KIND, self.peers.local.vm)
        except store.StoreError as error:
            # The others hear no words of this node, which tells them too.
            LOG.warning('not deregistered', extra={'error': str(error)})

    async def _read(self, *, is_stale: bool) -> bool:
        try:
            listing = await self.client.list_kind(NODE_KIND, is_stale)
        except store.StoreError as error:
            LOG.warning('nodes not read', extra={'error': str(error)})
            return False
        except (KeyError, TypeError, ValueError) as error:
            LOG.error('unusable list of nodes', extra={'error': str(error)})
            return False
        found = [_read_address(stored) for stored in listing.objects]
        self.peers.listed([address for address in found if address])
        return True

    async def _write(self) -> bool:
        """Write the object in place of that of this VM's last process."""
        local = self.peers.local
        spec = attrs.asdict(local)
        try:
            await self.client.create(NODE_KIND, local.vm, spec)
        except store.ConflictError:
            return await self._replace(spec)
        except store.StoreError as error:
            LOG.warning('not registered', extra={'error': str(error)})
            return False
        return True

    async def _replace(self, spec: store.Document) -> bool:
        local = self.peers.local
        try:
            await self.client.replace(NODE_KIND, local.vm, spec, None)
        except store.StoreError as error:
            LOG.warning('not registered', extra={'error': str(error)})
            return False
        return True


def _read_address(stored: store.Document) -> peers_module.PeerAddress | None:
    try:
        # A later release may write more.
        known = {
            name: stored['spec'][name]
            for name in _ADDRESS_FIELDS
            if name in stored['spec']
        }
        return peers_module.PeerAddress(**known)
    except (KeyError, TypeError) as error:
        LOG.warning('unusable node object', extra={'error': str(error)})
        return None
