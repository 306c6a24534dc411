"""This node's own object in the store, by which the others find it."""

import anyio
import attrs

from redwingvalve.node import peers as peers_module
from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('registration')
RETRY_S = 0.2


@attrs.frozen
class Registration:
    """The object of one process; it replaces that of the last one."""

    client: store.StoreClient
    own: peers_module.PeerAddress

    async def keep(self) -> None:
        """Write the object; return once it stands."""
        while not await self._try_write():
            await anyio.sleep(RETRY_S)

    async def remove(self) -> None:
        """Remove the object, so that no caller is sent here any more."""
        try:
            await self.client.remove(peers_module.NODE_KIND, self.own.vm)
        except store.StoreError as error:
            # The others hear no words of this node, which tells them too.
            LOG.warning('not deregistered', extra={'error': str(error)})

    async def _try_write(self) -> bool:
        spec = attrs.asdict(self.own)
        kind = peers_module.NODE_KIND
        try:
            await self.client.create(kind, self.own.vm, spec)
        except store.ConflictError:
            return await self._try_replace(spec)
        except store.StoreError as error:
            LOG.warning('not registered', extra={'error': str(error)})
            return False
        return True

    async def _try_replace(self, spec: store.Document) -> bool:
        try:
            await self.client.replace(
                peers_module.NODE_KIND, self.own.vm, spec, None
            )
        except store.StoreError as error:
            LOG.warning('not registered', extra={'error': str(error)})
            return False
        return True
