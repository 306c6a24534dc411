"""Stops a node: lets requests in progress end, then gives its duties back.

Load pattern: nodes are stopped in series, at any spacing, while the store may
be silent. Nothing on the way of a stop waits for others without a bound: the
lease is released beside the drain, and what remains at the end is answered.
"""

import time

import anyio
import attrs

from redwingvalve.ingress import state as state_module
from redwingvalve.ingress import stop_admission
from redwingvalve.node import front as front_module
from redwingvalve.node import listeners as listeners_module
from redwingvalve.node import peer_discovery as peer_discovery_module
from redwingvalve.node import status_exchange as status_exchange_module
from redwingvalve.node import successors
from redwingvalve.observability import logs

LOG = logs.make_logger('node')
IDLE_CLOSE_DELAY_S = 2.5
# No caller has been given a node that wasn't ready yet, but some connect to
# the address of its previous process; they are refused once it accepts them.
MIN_STOP_DURATION_AT_START_S = 0.6
# Left for the last answers and the end of the process, before the platform
# kills it.
KILL_MARGIN_S = 0.7
# Requests are expected to end this long before the drain does: answers take
# longer while other nodes start again.
OVERRUN_S = 0.5
# Requests that were on their way at the end are still refused for this time.
LINGER_S = 0.1
# Longest time for the last answers to be sent and for the last calls.
FINISH_TIMEOUT_S = 0.25
_POLL_INTERVAL_S = 0.1
_FLUSH_INTERVAL_S = 0.01
_MS_IN_S = 1000.0


@attrs.define(eq=False)
class Shutdown:
    """The end of one process, from its first signal on."""

    status_exchange: status_exchange_module.StatusExchange
    peer_discovery: peer_discovery_module.PeerDiscovery
    listeners: listeners_module.Listeners
    # Whether callers could be served when the signal arrived.
    was_listening: bool
    stop: stop_admission.PlannedStop
    _started_s: float = attrs.field(factory=time.monotonic)

    async def run(self) -> None:
        """Finish the requests in progress and release the lease."""
        self._state.is_leaving = True
        self._state.stop_admission.planned = self.stop
        self._successors.stop = self.stop
        LOG.info(
            'stopping',
            extra={
                'running': len(self._front.running),
                'has_ready': self._successors.has_ready,
            },
        )
        self.status_exchange.broadcast_now()
        async with anyio.create_task_group() as group:
            group.start_soon(self._release_lease)
            await self._drain()
            group.cancel_scope.cancel()
        self._log_step('drained')
        await self._finish()

    async def _release_lease(self) -> None:
        try:
            await self.status_exchange.lease.release()
        except Exception:
            # Requests in progress must not end with it.
            LOG.exception('lease not released')
        self._log_step('lease released')
        self.status_exchange.broadcast_now()

    async def _deregister(self) -> None:
        try:
            await self.peer_discovery.deregister()
        except Exception:
            # The last answers must still be sent.
            LOG.exception('not deregistered')

    async def _drain(self) -> None:
        """Wait for the end of all requests, or of the time for them."""
        ends_s = self.stop.ends_s + OVERRUN_S
        while time.monotonic() < ends_s:
            if self._elapsed_s > IDLE_CLOSE_DELAY_S:
                self.listeners.close_idle(self._front)
            if self._is_drained():
                return
            left_s = ends_s - time.monotonic()
            await anyio.sleep(max(0, min(_POLL_INTERVAL_S, left_s)))

    def _is_drained(self) -> bool:
        min_end_s = self._started_s + MIN_STOP_DURATION_AT_START_S
        if self.was_listening:
            min_end_s = self.stop.began_s + successors.MIN_STOP_DURATION_S
        if time.monotonic() < min_end_s or self._front.running:
            return False
        if self.listeners.is_busy(self._front):
            return False
        return not self._successors.must_hold_out

    async def _finish(self) -> None:
        """Answer what is left, and refuse what still comes."""
        self.stop.ends_s = min(self.stop.ends_s, time.monotonic())
        self.listeners.stop_listening(self._front)
        self._front.give_up_all()
        with anyio.move_on_after(FINISH_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(self._deregister)
                await anyio.sleep(LINGER_S)
                while self.listeners.has_unsent_bytes:
                    await anyio.sleep(_FLUSH_INTERVAL_S)
        self._log_step('finished')

    @property
    def _state(self) -> state_module.IngressState:
        return self.status_exchange.state

    @property
    def _front(self) -> front_module.FrontApplication:
        return self.status_exchange.front

    @property
    def _successors(self) -> successors.FleetSuccessors:
        return self.status_exchange.successors

    @property
    def _elapsed_s(self) -> float:
        return time.monotonic() - self.stop.began_s

    def _log_step(self, name: str) -> None:
        LOG.info(
            name,
            extra={
                'elapsed_ms': int(self._elapsed_s * _MS_IN_S),
                'running': len(self._front.running),
            },
        )


def plan_stop(
    status_exchange: status_exchange_module.StatusExchange,
    grace_s: float,
    began_s: float,
) -> stop_admission.PlannedStop:
    """Return the stop of a node that was told to stop at began_s."""
    ends_s = began_s + grace_s - KILL_MARGIN_S - OVERRUN_S
    return stop_admission.PlannedStop(
        began_s, ends_s, status_exchange.successors
    )
