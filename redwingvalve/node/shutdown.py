"""Stops a node: lets requests in progress end, then gives its duties back."""

import time
import typing

import anyio
import attrs

from redwingvalve.node import front as front_module
from redwingvalve.node import lease as lease_module
from redwingvalve.node import peer_discovery as peer_discovery_module
from redwingvalve.node import status_exchange as status_exchange_module
from redwingvalve.observability import logs

if typing.TYPE_CHECKING:
    from redwingvalve.node import listeners

LOG = logs.make_logger('node')
IDLE_CLOSE_DELAY_S = 2.5
MIN_STOP_DURATION_S = 4.0
# Time left before the platform kills the process.
KILL_MARGIN_S = 0.6
_POLL_INTERVAL_S = 0.1
_MS_IN_S = 1000.0


@attrs.define(eq=False)
class Shutdown:
    """The end of one process, from its first signal on."""

    front: front_module.FrontApplication
    status_exchange: status_exchange_module.StatusExchange
    lease: lease_module.Lease
    peer_discovery: peer_discovery_module.PeerDiscovery
    grace_s: float
    _began_s: float = attrs.field(factory=time.monotonic)

    async def run(self, front_listener: 'listeners.Listener | None') -> None:
        """Finish the requests in progress and release the lease."""
        LOG.info('stopping', extra={'running': len(self.front.running)})
        self.status_exchange.broadcast_now()
        await self.lease.release()
        self._log_step('lease released')
        self.status_exchange.broadcast_now()
        await self._drain(front_listener)
        self._log_step('drained')
        await self.peer_discovery.deregister()
        self._log_step('deregistered')

    async def _drain(self, front_listener: 'listeners.Listener | None') -> None:
        while self._elapsed_s < self.grace_s - KILL_MARGIN_S:
            if self._elapsed_s > IDLE_CLOSE_DELAY_S and front_listener:
                front_listener.close_idle()
            if self._elapsed_s > MIN_STOP_DURATION_S and not self.front.running:
                break
            await anyio.sleep(_POLL_INTERVAL_S)

    @property
    def _elapsed_s(self) -> float:
        return time.monotonic() - self._began_s

    def _log_step(self, name: str) -> None:
        LOG.info(
            name,
            extra={
                'elapsed_ms': int(self._elapsed_s * _MS_IN_S),
                'running': len(self.front.running),
            },
        )
