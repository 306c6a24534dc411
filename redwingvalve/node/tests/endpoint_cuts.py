"""Cuts a node's links to endpoints; all else still reaches the node."""

import collections
import enum
import random
import time

import anyio
import attrs

from redwingvalve.allocation import messages
from redwingvalve.http1 import pool
from redwingvalve.platform.tests import fleet_harness

# The node that holds the lease, and the one that is asked first for places.
HOLDER = 'holder'
OWNER = 'owner'
START_TIMEOUT_S = 60
# Of the loop that runs all nodes.
MAX_PROCESSOR_SHARE = 0.7


class CutMode(enum.Enum):
    HANG = 'connects and open connections hang'
    RESET = 'connects are refused, open connections are reset'
    KEEP = 'connects are refused, open connections live on'
    KEEP_HANG = 'connects hang, open connections live on'


class HungTransport:
    """Drops what is written and delivers nothing."""

    def __init__(self, transport):
        self._transport = transport
        transport.pause_reading()

    def write(self, content):
        """Drop the content."""

    def pause_reading(self):
        """Reading is paused already."""

    def resume_reading(self):
        """Reading stays paused."""

    def __getattr__(self, name):
        return getattr(self._transport, name)


@attrs.define(eq=False)
class NodeLinks:
    """The links of one node to endpoints."""

    node: object
    endpoints: dict
    mode: CutMode | None = None
    # Ids of the endpoints that are cut off, None for all.
    only: frozenset | None = None
    # Connections with the address of their endpoint.
    _opened: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        for connections in (
            self.node.state.connections,
            self.node.json_client._connections,
        ):
            self._wrap(connections)

    def cut(self, mode, only=None):
        self.mode = mode
        self.only = only
        addresses = self._cut_addresses()
        if mode in {CutMode.HANG, CutMode.RESET}:
            self._close_idle(addresses)
        for address, connection in self._opened:
            if address not in addresses:
                continue
            if connection.is_open and mode is CutMode.RESET:
                connection.transport.abort()
            if connection.is_open and mode is CutMode.HANG:
                connection.transport = HungTransport(connection.transport)

    def restore(self):
        self.mode = None
        for _, connection in self._opened:
            if isinstance(connection.transport, HungTransport):
                connection.transport.abort()

    def _close_idle(self, addresses):
        """Close idle connections, which may be older than this object."""
        for connections in (
            self.node.state.connections,
            self.node.json_client._connections,
        ):
            for host, _, port in (text.partition(':') for text in addresses):
                connections.forget((host, int(port)))

    def _cut_addresses(self):
        return {
            one.address
            for name, one in self.endpoints.items()
            if self.only is None or name in self.only
        }

    def _wrap(self, connections):
        connect = connections.connect

        async def connect_unless_cut(address):
            text = ':'.join(map(str, address))
            if text not in {one.address for one in self.endpoints.values()}:
                return await connect(address)
            is_cut = text in self._cut_addresses()
            if is_cut and self.mode in {CutMode.HANG, CutMode.KEEP_HANG}:
                await anyio.sleep(pool.CONNECT_TIMEOUT_S)
                raise pool.ConnectError('TimeoutError')
            if is_cut and self.mode is not None:
                raise pool.ConnectError('refused', was_refused=True)
            connection = await connect(address)
            self._opened.append((text, connection))
            return connection

        connections.connect = connect_unless_cut


async def wait_until_started(fleet):
    """Wait until all nodes know each other and the start's work is done.

    One loop runs all of them. At 60 nodes it is saturated for six seconds.
    """

    def has_started():
        others = len(fleet.nodes) - 1
        return all(
            len(node.peers.known) == others
            and not any(one.is_down for one in node.peers.known.values())
            for node in fleet.nodes
        )

    processor_share = 1
    with anyio.fail_after(START_TIMEOUT_S):
        while processor_share > MAX_PROCESSOR_SHARE or not has_started():
            began_s, used_s = time.monotonic(), time.process_time()
            await anyio.sleep(0.5)
            lasted_s = time.monotonic() - began_s
            processor_share = (time.process_time() - used_s) / lasted_s


@attrs.frozen
class FirstTry:
    node_index: int
    sent_s: float
    is_served: bool


@attrs.define(eq=False)
class CutLoad:
    """Sends requests to random nodes while some are cut off."""

    fleet: fleet_harness.Fleet
    path: str
    requests_per_s: float = 30.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))
    # One for each node; made here if all nodes are in this process.
    links: list = attrs.field()
    tries: list = attrs.field(factory=list)

    @links.default
    def _make_links(self):
        return [
            NodeLinks(node, self.fleet.endpoints) for node in self.fleet.nodes
        ]

    def holder(self):
        """Return the index of the node that holds the lease."""
        held = [node.lease.is_held() for node in self.fleet.nodes]
        return held.index(True)

    def owner(self):
        """Return the index of the node that grants the load's places."""
        service, model = fleet_harness.PLAIN_SERVICE, ''
        if self.path.startswith('/draft'):
            service = fleet_harness.ENGINE_SERVICE
            model = fleet_harness.SMALL_MODEL
        pool_owners = self.fleet.nodes[0].state.reserver.owners
        ranked = pool_owners.ranked_for(messages.Pool(service, model, ''))
        names = [node.settings.vm for node in self.fleet.nodes]
        return names.index(ranked[0])

    def choose(self, cut):
        """Return the nodes to be cut off, by index, number or role."""
        if cut == HOLDER:
            return {self.holder()}
        if cut == OWNER:
            return {self.owner()}
        if isinstance(cut, frozenset):
            return set(cut)
        indices = range(len(self.fleet.nodes))
        if isinstance(cut, int):
            return set(self.rng.sample(indices, cut))
        settings = [node.settings for node in self.fleet.nodes]
        there = [one for one in indices if settings[one].data_centre == cut]
        return set(there[1:])

    def most_runs(self):
        """Return how often the same attempt has run at most."""
        attempts = collections.Counter(
            run.attempt_id
            for endpoint in self.fleet.endpoints.values()
            for run in endpoint.runs
        )
        return max(attempts.values())

    def cut(self, indices, mode, only=None):
        """Cut nodes off, from the endpoints whose ids are in only or all."""
        for index in indices:
            self.links[index].cut(mode, only)

    def restore(self):
        for links in self.links:
            links.restore()

    async def send_for(self, duration_s):
        """Send requests; return once they have all ended."""
        end_s = time.monotonic() + duration_s
        async with anyio.create_task_group() as group:
            while time.monotonic() < end_s:
                await anyio.sleep(self.rng.expovariate(self.requests_per_s))
                index = self.rng.randrange(len(self.fleet.nodes))
                group.start_soon(self._send, index)

    def served_share(self, indices, from_s, to_s):
        """Return the share of first tries at some nodes that were served."""
        found = [
            one.is_served
            for one in self.tries
            if one.node_index in indices and from_s <= one.sent_s < to_s
        ]
        return sum(found) / len(found)

    async def _send(self, index):
        sent_s = time.monotonic()
        caller = self.fleet.caller(index)
        try:
            is_served = await self._is_served(caller)
        except TimeoutError:
            is_served = False
        self.tries.append(FirstTry(index, sent_s, is_served))

    async def _is_served(self, caller):
        is_stream = self.path.startswith('/draft')
        if is_stream:
            response = await caller.stream()
        else:
            response = await caller.ask(self.path)
        if response.status != 200 or response.ending != 'whole':
            return False
        return not is_stream or len(response.events) == 6
