"""From whom a node hears what the store holds.

In a small fleet each node watches the store. In a large one only the first two
living nodes of each data centre do, and the holder of the lease, which must
see changes at once; the others watch those two, and the store if they fail.

Endpoints change several times a second, and each answer of the store has its
price. Only the holder acts on a change at once; all others leave a pause
between two watches, so that what changes meanwhile costs one call: on a quiet
day of seven nodes 870 calls with 0.8 s, 1,060 with 0.4 s and 1,447 with 0.12 s.
"""

import asyncio
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.http1 import messages, reading, server
from redwingvalve.ingress import routes
from redwingvalve.node import mirror as mirror_module
from redwingvalve.node import peers as peers_module
from redwingvalve.platform import settings as settings_module
from redwingvalve.platform import store, store_pages

# With fewer nodes a watch of each costs less than the detour's delay.
RELAY_FROM_NODES = 12
RELAYS = 2
# How long a connection that fell silent may go unnoticed. Two of these, at a
# relay and behind it, fit into the time to know of leaving endpoints.
RELAY_WAIT_S = 1.0
STORE_WAIT_S = 2.5
# The pause of a node that doesn't hold the lease, as a share of the time in
# which it must know of a leaving endpoint. Behind a relay this share passes
# before the relay knows, and the silence of a frozen relay comes on top.
PAUSE_SHARE = 0.25
_JSON = (b'content-type', b'application/json')
_OK = 200
_NOT_FOUND = 404
_HISTORY_GONE = 410
_UNAVAILABLE = 503


@attrs.frozen
class Source:
    """A client, and how it is used."""

    client: store.StoreClient
    is_store: bool
    wait_s: float
    # Left between two watches, so that changes in between cost one call.
    pause_s: float = 0.0


class Sources:
    """Chooses the sources of this node by who lives."""

    def __init__(
        self,
        store_client: store.StoreClient,
        json_client: store.JsonClient,
        peers: peers_module.Peers,
        holds_lease: collections_abc.Callable[[], bool],
        drain_s: float,
    ) -> None:
        """Prefer relays where the fleet is large.

        drain_s is the time in which leaving endpoints must be known.
        """
        self._store = store_client
        self._json = json_client
        self._peers = peers
        self._holds_lease = holds_lease
        self._pause_s = PAUSE_SHARE * drain_s

    def now(self) -> list[Source]:
        """Return the sources, the preferred one first."""
        is_large = len(self._peers.known) + 1 >= RELAY_FROM_NODES
        wait_s = RELAY_WAIT_S if is_large else STORE_WAIT_S
        at_once = Source(self._store, is_store=True, wait_s=wait_s)
        if self._holds_lease():
            return [at_once]
        own = attrs.evolve(at_once, pause_s=self._pause_s)
        if not is_large:
            return [own]
        relays = self._relays()
        if self._peers.own.vm in relays:
            return [own]
        return [*map(self._relay_source, relays.values()), own]

    def _relays(self) -> dict[str, peers_module.PeerAddress]:
        own = self._peers.own
        living = {own.vm: own}
        for peer in self._peers.alive():
            address = peer.address
            if address.data_centre == own.data_centre and not peer.is_leaving:
                living[address.vm] = address
        return {vm: living[vm] for vm in sorted(living)[:RELAYS]}

    def _relay_source(self, address: peers_module.PeerAddress) -> Source:
        socket = settings_module.SocketAddress(address.ip, address.peer_port)
        client = store.StoreClient(socket, self._json)
        return Source(client, is_store=False, wait_s=RELAY_WAIT_S)


class RelayApplication(server.Application):
    """Tells other nodes what this one knows."""

    def __init__(self, mirrors: dict[str, mirror_module.Mirror]) -> None:
        """Answer from mirrors by kind."""
        self._mirrors = mirrors
        self._tasks: set[asyncio.Task[None]] = set()

    def limits(self) -> reading.ServerLimits:
        """Return bounds that any question keeps."""
        limits = routes.DEFAULT_LIMITS
        return reading.ServerLimits(
            limits.head_bytes, limits.head_bytes, 3.0, 15.0
        )

    def is_closing(self) -> bool:
        """Keep connections; nodes turn elsewhere by themselves."""
        return False

    def serve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        """Answer, at once or when something changes."""
        asked = store_pages.read_request(request.target.decode('latin-1'))
        mirror = self._mirrors.get(asked.kind) if asked else None
        if asked is None or mirror is None:
            responder.answer(_NOT_FOUND, [_JSON], b'{}')
            return
        task = asyncio.get_running_loop().create_task(
            _answer(mirror, asked, responder)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _answer(
    mirror: mirror_module.Mirror,
    asked: store_pages.PageRequest,
    responder: server.Responder,
) -> None:
    if not mirror.is_in_touch:
        responder.answer(_UNAVAILABLE, [_JSON], b'{}')
        return
    if asked.after_revision is None:
        page = store_pages.write_listing(mirror.objects(), mirror.revision)
        responder.answer(_OK, [_JSON], page)
        return
    try:
        found = await mirror.changes_after(asked.after_revision, asked.wait_s)
    except store.HistoryGoneError:
        responder.answer(_HISTORY_GONE, [_JSON], b'{}')
        return
    if not (found.changes or mirror.is_in_touch):
        responder.answer(_UNAVAILABLE, [_JSON], b'{}')
        return
    responder.answer(_OK, [_JSON], store_pages.write_changes(found))


SourceChooser: typing.TypeAlias = collections_abc.Callable[[], list[Source]]
