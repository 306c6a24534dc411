"""Probes endpoints on behalf of other nodes."""

import typing

import anyio
import anyio.abc
import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.node import peers as peers_module
from redwingvalve.node import probe_messages
from redwingvalve.observability import logs
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('probes')
# Asks beyond this number are dropped. Each probe takes about a millisecond of
# half a core, so that as many are answered well within the asker's timeout.
MAX_CONCURRENT_PROBES = 64


@attrs.define(eq=False)
class ProbeAnswers:
    """Answers each ask with what one report request has got."""

    peers: peers_module.Peers
    client: endpoint_orders.EndpointClient
    _group: anyio.abc.TaskGroup | None = None
    # Asks in progress, by sender and number.
    _running: set[tuple[peers_module.SocketAddress, int]] = attrs.field(
        factory=set
    )

    async def run(self) -> typing.NoReturn:
        """Answer asks until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                await anyio.sleep_forever()
            finally:
                self._group = None

    def start(
        self, ask: probe_messages.Ask, address: peers_module.SocketAddress
    ) -> None:
        """Probe an endpoint for the node at address, unless it repeats an ask.

        The repetition of an ask that was answered already is answered again:
        the first reply may have been lost.
        """
        key = (address, ask.number)
        if self._group is None or key in self._running:
            return
        if len(self._running) >= MAX_CONCURRENT_PROBES:
            LOG.info('probe not made', extra={'endpoint': ask.endpoint_id})
            return
        self._running.add(key)
        self._group.start_soon(self._answer, ask, address)

    async def _answer(
        self, ask: probe_messages.Ask, address: peers_module.SocketAddress
    ) -> None:
        try:
            report = await self.client.report(_endpoint(ask))
        except Exception:
            # The ask may be garbled; an error must not end the other probes.
            LOG.exception('probe failed', extra={'endpoint': ask.endpoint_id})
            return
        finally:
            self._running.discard((address, ask.number))
        reply = probe_messages.Reply(ask.number, ask.endpoint_id, report)
        packed = peers_module.PROBE_KIND + probe_messages.pack(reply)
        self.peers.send_tagged(packed, address)
        LOG.debug(
            'probed for another node',
            extra={
                'endpoint': ask.endpoint_id,
                'asker': address[0],
                'is_answered': report is not None,
            },
        )


def _endpoint(ask: probe_messages.Ask) -> endpoints.Endpoint:
    """Return what a report request needs; the entry may have lapsed."""
    return endpoints.Endpoint(
        endpoint_id=ask.endpoint_id,
        born_ms=0,
        service='',
        host=ask.host,
        port=ask.port,
        data_centre='',
        slots=0,
        draining=False,
    )
