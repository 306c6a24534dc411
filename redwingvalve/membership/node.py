"""Wires up membership, news and configuration of one process.

The daemons, the demo and the benchmarks all build a process this way, so the
benchmarks measure the code that runs in production.
"""

import random
import ssl

import anyio
import attrs

from redwingvalve.configuration import decoding, source
from redwingvalve.core import clock, invariants
from redwingvalve.membership import bounds as member_bounds
from redwingvalve.membership import gossip, members, node_directory
from redwingvalve.news import gossip_bus
from redwingvalve.platform_api import object_api
from redwingvalve.settings import schema
from redwingvalve.wire import handlers, rpc, server, traffic

MS_PER_S = 1000
DEPART_TIMEOUT_S = 0.5
CALL_GRACE_S = 1.0
# Longest time for a node to close.
CLOSE_TIMEOUT_S = DEPART_TIMEOUT_S + CALL_GRACE_S


@attrs.frozen
class PeerSockets:
    """Transport settings of calls between processes of the fleet.

    None as a context means plain TCP. The server binds listen_host instead of
    the member's own host; outgoing calls bind local_host.
    """

    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    listen_host: str = ''
    local_host: str = ''


PLAIN_SOCKETS = PeerSockets()


@attrs.define
class PeerNode:
    """One process's peer services; handler serves calls for other packages."""

    members: gossip.GossipMembers
    news: gossip_bus.GossipNews
    configuration: source.GossipConfiguration
    handler: handlers.PeerHandler
    server: server.PeerServer
    caller: rpc.PeerCaller
    directory: node_directory.NodeDirectory | None = None

    async def run(self) -> None:
        """Run background tasks until cancelled; the server already listens."""
        is_listed = True
        if self.directory is not None:
            is_listed = await self.directory.find_contacts()
        await self.members.join(may_be_first=is_listed)
        async with anyio.create_task_group() as group:
            group.start_soon(self.members.run)
            group.start_soon(self.configuration.run)
            if self.directory is not None:
                group.start_soon(self.directory.run)

    async def aclose(self) -> None:
        """Announce departure and close; call after run has been cancelled."""
        with anyio.move_on_after(DEPART_TIMEOUT_S):
            await self.members.depart()
        await self.server.aclose(CALL_GRACE_S)
        self.caller.close_idle()


def make_member(
    settings: schema.Settings, role: str, wall_s: float
) -> members.Member:
    """Return the member that represents this process."""
    return members.Member(
        name=settings.node.name,
        incarnation=int(wall_s * MS_PER_S),
        role=role,
        host=settings.node.host,
        peer_port=settings.listen.peer_port,
        http_port=settings.listen.http_port,
        data_centre=settings.node.data_centre,
        region=settings.node.region,
        vm=settings.node.vm,
    )


async def start_peer_node(
    me: members.Member,
    timers: clock.Clock,
    contacts: tuple[str, ...] = (),
    objects: object_api.ObjectApi | None = None,
    replicas_of: decoding.DomainDecoder = decoding.no_replicas,
    seed: int = 0,
    bounds: member_bounds.MembershipBounds = member_bounds.DEFAULT_BOUNDS,
    switches: invariants.SafeguardSwitches | None = None,
    sockets: PeerSockets = PLAIN_SOCKETS,
) -> PeerNode:
    """Listen on me.host and me.peer_port and return a node to run.

    Port 0 selects a free port. Raises OSError if the address is in use.
    """
    handler = handlers.make_peer_handler()
    counted = traffic.Traffic()
    peer_server = server.make_peer_server(handler, counted)
    await peer_server.start(
        sockets.listen_host or me.host, me.peer_port, sockets.server_tls
    )
    listening = attrs.evolve(me, peer_port=peer_server.port)
    caller = rpc.make_peer_caller(
        timers, sockets.client_tls, counted, sockets.local_host
    )
    present = gossip.make_gossip_members(
        listening, caller, timers, contacts, seed, bounds, switches
    )
    news = gossip_bus.make_gossip_news(present, timers)
    configured = source.make_gossip_configuration(
        present, news, caller, timers, replicas_of, switches
    )
    present.add_delegate(news)
    news.on_urgent(present.trigger_urgent_round)
    present.add_delegate(configured.fetcher)
    handler.gossip_handler = present
    handler.configuration_handler = configured.reports
    node = PeerNode(
        present,
        news,
        configured,
        handler,
        peer_server,
        caller,
    )
    if objects is not None:
        rng = random.Random(f'{seed}/{me.name}/store')
        configured.watch_store(objects, rng)
        node.directory = node_directory.make_node_directory(
            objects, present, timers, rng
        )
    return node
