"""Probes endpoints through other nodes, as in SWIM (Das et al. 2002).

Load pattern: the lease holder alone loses the path to heads that all other
nodes reach and use. Without the others' word it would take their replicas
apart. An answer that any node gets is a veto. That no node gets one proves
nothing: the asked nodes may be cut off too, and datagrams are lost.

Cost of one silent endpoint, asked once: 6 probes and 12 to 18 datagrams at 7
nodes, 8 probes and 16 to 24 datagrams at 68 and at 361 nodes; 2 KB with headers
at most if nobody gets a report. The highest numbers are those of a dark
endpoint, whose probes outlast the time after which asks are repeated.
"""

import abc
import itertools
import math
import random
import time
import typing

import anyio
import attrs

from redwingvalve.fleet import endpoints, probe_selection
from redwingvalve.node import peers as peers_module
from redwingvalve.node import probe_answers, probe_messages
from redwingvalve.observability import logs, node_metrics
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('probes')
# An unanswered probe takes 0.2 s; the rest is for slow nodes.
REPLY_TIMEOUT_S = 0.35
# Asks without a reply are repeated once after this time.
REPEAT_AFTER_S = 0.1
# How long an outcome holds. Checks are repeated many times a second while a
# head is lost.
OUTCOME_HOLD_S = 0.25
# Endpoints that are asked about at once.
MAX_CONCURRENT_ASKS = 64
# Numbers of asks go on from the start of the process, so that they differ from
# those of its predecessor.
_NUMBERS_PER_MS = 1000


class IndirectProber(abc.ABC):
    """Asks other nodes to probe endpoints."""

    @abc.abstractmethod
    async def ask(
        self, endpoint: endpoints.Endpoint, since_s: float = -math.inf
    ) -> endpoint_orders.Report | None:
        """Return the first report that another node gets, None without one.

        It is one that was asked for after since_s by the monotonic clock.
        """

    @abc.abstractmethod
    async def run(self) -> None:
        """Probe endpoints for other nodes until cancelled."""


class AsksNobody(IndirectProber):
    """For a node on its own."""

    async def ask(
        self, endpoint: endpoints.Endpoint, since_s: float = -math.inf
    ) -> endpoint_orders.Report | None:
        """Return None."""

    async def run(self) -> None:
        """Wait until cancelled."""
        await anyio.sleep_forever()


@attrs.define(eq=False)
class _Pending:
    """An ask, and the nodes that haven't replied to it."""

    endpoint_id: str
    # Names of nodes by their address.
    waiting: dict[peers_module.SocketAddress, str]
    report: endpoint_orders.Report | None = None
    answered_by: str = ''
    done: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def outcome(self) -> str:
        """Return the outcome by which the ask is counted."""
        if self.report is not None:
            return 'answered'
        return 'no reply' if self.waiting else 'unanswered'

    def add(
        self, reply: probe_messages.Reply, address: peers_module.SocketAddress
    ) -> None:
        """Add a reply; others than those of the asked nodes are ignored."""
        vm = self.waiting.get(address)
        if vm is None or reply.endpoint_id != self.endpoint_id:
            return
        self.waiting.pop(address)
        if reply.report is not None and self.report is None:
            self.report = reply.report
            self.answered_by = vm
        if self.report is not None or not self.waiting:
            self.done.set()


@attrs.frozen
class _Outcome:
    asked_s: float
    at_s: float
    report: endpoint_orders.Report | None


@attrs.define(eq=False)
class NodeProber(IndirectProber):
    """Asks other nodes by datagrams, and lets this node answer theirs."""

    peers: peers_module.Peers
    answers: probe_answers.ProbeAnswers
    rng: random.Random = attrs.field(factory=random.Random)
    _numbers: typing.Iterator[int] = attrs.field(init=False)
    _pending: dict[int, _Pending] = attrs.field(factory=dict)
    _outcomes: dict[tuple[str, int], _Outcome] = attrs.field(factory=dict)
    _limit: anyio.CapacityLimiter = attrs.field(
        factory=lambda: anyio.CapacityLimiter(MAX_CONCURRENT_ASKS)
    )

    def __attrs_post_init__(self) -> None:
        """Receive the datagrams of other nodes."""
        self._numbers = itertools.count(
            self.peers.local.born_ms * _NUMBERS_PER_MS
        )
        kind = peers_module.PROBE_KIND
        self.peers.on_tagged[kind] = self.datagram_received

    async def run(self) -> None:
        """Probe endpoints for other nodes until cancelled."""
        await self.answers.run()

    async def ask(
        self, endpoint: endpoints.Endpoint, since_s: float = -math.inf
    ) -> endpoint_orders.Report | None:
        """Return the first report that another node gets, None without one.

        An outcome of the last moment is returned again.
        """
        async with self._limit:
            self._forget_old_outcomes()
            known = self._outcomes.get(endpoint.incarnation)
            if known is not None and known.asked_s >= since_s:
                return known.report
            asked = self._select_nodes(endpoint)
            if not asked:
                return None
            asked_s = time.monotonic()
            report = await self._ask_nodes(endpoint, asked)
            self._outcomes[endpoint.incarnation] = _Outcome(
                asked_s, time.monotonic(), report
            )
        return report

    def datagram_received(
        self, packed: bytes, address: peers_module.SocketAddress
    ) -> None:
        """Handle a datagram about a probe."""
        try:
            message = probe_messages.unpack(packed)
        except probe_messages.MessageError as error:
            LOG.warning('unusable datagram', extra={'error': str(error)})
            return
        if isinstance(message, probe_messages.Ask):
            self.answers.start(message, address)
            return
        pending = self._pending.get(message.number)
        if pending is not None:
            pending.add(message, address)

    def _forget_old_outcomes(self) -> None:
        since_s = time.monotonic() - OUTCOME_HOLD_S
        self._outcomes = {
            incarnation: outcome
            for incarnation, outcome in self._outcomes.items()
            if outcome.at_s > since_s
        }

    def _select_nodes(
        self, endpoint: endpoints.Endpoint
    ) -> dict[peers_module.SocketAddress, str]:
        candidates = [
            probe_selection.Candidate(
                peer.address.vm,
                peer.address.data_centre,
                peer.is_leaving,
                self.peers.cut_off.is_cut_off(
                    peer.address.vm, peer.address.data_centre
                ),
            )
            for peer in self.peers.alive()
        ]
        selected = probe_selection.select_nodes(
            candidates, endpoint.data_centre, self.rng
        )
        return {
            self.peers.known[one.vm].address.socket_address: one.vm
            for one in selected
        }

    async def _ask_nodes(
        self,
        endpoint: endpoints.Endpoint,
        asked: dict[peers_module.SocketAddress, str],
    ) -> endpoint_orders.Report | None:
        ask = probe_messages.Ask(
            next(self._numbers),
            endpoint.endpoint_id,
            endpoint.host,
            endpoint.port,
        )
        pending = _Pending(endpoint.endpoint_id, asked)
        self._pending[ask.number] = pending
        try:
            await self._await_replies(ask, pending)
        finally:
            self._pending.pop(ask.number)
        _record(pending)
        return pending.report

    async def _await_replies(
        self, ask: probe_messages.Ask, pending: _Pending
    ) -> None:
        with anyio.move_on_after(REPLY_TIMEOUT_S):
            self._send(ask, pending)
            with anyio.move_on_after(REPEAT_AFTER_S):
                await pending.done.wait()
            if not pending.done.is_set():
                self._send(ask, pending)
            await pending.done.wait()

    def _send(self, ask: probe_messages.Ask, pending: _Pending) -> None:
        packed = peers_module.PROBE_KIND + probe_messages.pack(ask)
        for address in pending.waiting:
            self.peers.send_tagged(packed, address)


def make_prober(
    peers: peers_module.Peers, client: endpoint_orders.EndpointClient
) -> NodeProber:
    """Return a prober that asks the other nodes, and probes for them."""
    return NodeProber(peers, probe_answers.ProbeAnswers(peers, client))


def _record(pending: _Pending) -> None:
    node_metrics.METRICS.count(
        'redwingvalve_indirect_probes', outcome=pending.outcome
    )
    if pending.report is None:
        LOG.debug(
            'endpoint answers no node',
            extra={
                'endpoint': pending.endpoint_id,
                'without_reply': list(pending.waiting.values()),
            },
        )
        return
    LOG.info(
        'endpoint answers another node',
        extra={
            'endpoint': pending.endpoint_id,
            'vm': pending.answered_by,
        },
    )
