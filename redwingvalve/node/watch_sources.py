"""From whom a node hears what the store holds.

In a small fleet each node watches the store. In a large one only the first hub
of each data centre does, and the holder of the lease, which must see changes at
once. The second hub watches the first, the others watch both, and the store if
they fail.

Endpoints change several times a second, and each answer of the store has its
price. Only the holder acts on a change at once; all others leave a pause
between two watches, so that what changes meanwhile costs one call.

What relays say has an age, and a node knows by when it must know of a change.
Two relays that are cut off at once, asked one after the other, cost more than
that time; so a node asks the store itself once its knowledge is older than a
share of it, whatever its relays do.
"""

import asyncio
import itertools
import math
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.http1 import messages, reading, server
from redwingvalve.ingress import routes
from redwingvalve.node import hubs as hubs_module
from redwingvalve.node import peers as peers_module
from redwingvalve.node import watch_cache
from redwingvalve.platform import settings as settings_module
from redwingvalve.platform import store, store_responses

# How long a connection to the store that fell silent may go unnoticed.
STORE_WAIT_S = 2.5
# Shares of the time in which a node must know of a change. A relay leaves a
# pause and then waits at the store, so that what it says is at most as old as
# both; a node behind it that knows nothing newer than ASK_STORE_SHARE asks the
# store, which leaves the rest for its answer.
PAUSE_SHARE = 0.25
RELAY_WAIT_SHARE = 0.25
ASK_STORE_SHARE = 0.7
# Ages are told in steps of a tenth of a second.
_AGES_IN_S = 10
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
    # Older knowledge is not relied on while this source says nothing newer.
    max_age_s: float = math.inf


class SourceSelector:
    """Chooses the sources of this node by who lives."""

    def __init__(
        self,
        store_client: store.StoreClient,
        json_client: store.JsonClient,
        peers: peers_module.Peers,
        hubs: hubs_module.Hubs,
        holds_lease: collections_abc.Callable[[], bool],
        bound_s: float,
    ) -> None:
        """Prefer relays where the fleet is large.

        bound_s is the time in which changes must be known.
        """
        self._store = store_client
        self._json = json_client
        self._peers = peers
        self._hubs = hubs
        self._holds_lease = holds_lease
        self._bound_s = bound_s

    def select(self) -> list[Source]:
        """Return the sources, the preferred one first."""
        is_large_fleet = self._peers.is_large_fleet
        relay_wait_s = RELAY_WAIT_SHARE * self._bound_s
        wait_s = relay_wait_s if is_large_fleet else STORE_WAIT_S
        at_once = Source(self._store, is_store=True, wait_s=wait_s)
        if self._holds_lease():
            return [at_once]
        own = attrs.evolve(at_once, pause_s=PAUSE_SHARE * self._bound_s)
        if not is_large_fleet:
            return [own]
        relays = self._hubs.of(self._peers.local.data_centre)
        # The second hub follows the first, so that a data centre costs the
        # store the calls of one node.
        before = itertools.takewhile(
            lambda address: address.vm != self._peers.local.vm, relays.values()
        )
        return [*map(self._relay_source, before), own]

    def _relay_source(self, address: peers_module.PeerAddress) -> Source:
        socket = settings_module.SocketAddress(address.ip, address.peer_port)
        return Source(
            client=store.StoreClient(socket, self._json),
            is_store=False,
            wait_s=(PAUSE_SHARE + RELAY_WAIT_SHARE) * self._bound_s,
            max_age_s=ASK_STORE_SHARE * self._bound_s,
        )


class WatchRelayApplication(server.Application):
    """Tells other nodes what this one knows."""

    def __init__(self, caches: dict[str, watch_cache.WatchCache]) -> None:
        """Answer from mirrors by kind."""
        self._caches = caches
        self._tasks: set[asyncio.Task[None]] = set()
        # The last page of each kind, and the question that it answers.
        self._pages: dict[str, tuple[typing.Any, bytes]] = {}

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
        asked = store_responses.parse_query(request.target.decode('latin-1'))
        cache = self._caches.get(asked.kind) if asked else None
        if asked is None or cache is None:
            responder.answer(_NOT_FOUND, [_JSON], b'{}')
            return
        task = asyncio.get_running_loop().create_task(
            self._answer(cache, asked, responder)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(
        self,
        cache: watch_cache.WatchCache,
        asked: store_responses.StoreQuery,
        responder: server.Responder,
    ) -> None:
        if not cache.is_current:
            responder.answer(_UNAVAILABLE, [_JSON], b'{}')
            return
        if asked.after_revision is None:
            page = store_responses.encode_listing(cache.listing())
            responder.answer(_OK, list(store_responses.HEADERS), page)
            return
        try:
            found = await cache.changes_after(
                asked.after_revision, asked.wait_s
            )
        except store.HistoryGoneError:
            responder.answer(_HISTORY_GONE, [_JSON], b'{}')
            return
        if not (found.changes or cache.is_current):
            responder.answer(_UNAVAILABLE, [_JSON], b'{}')
            return
        page = self._page(asked, found)
        responder.answer(_OK, list(store_responses.HEADERS), page)

    def _page(
        self, asked: store_responses.StoreQuery, found: store.Changes
    ) -> bytes:
        """Return the answer, made once for all nodes that wait for the same.

        Some twenty nodes wait for each change; a configuration that is written
        for each of them takes the relay longer than the change should take.
        """
        # Never told younger than it is.
        age_s = math.ceil(found.age_s * _AGES_IN_S) / _AGES_IN_S
        key = (asked.after_revision, found.revision, age_s)
        known, page = self._pages.get(asked.kind, (None, b''))
        if known != key:
            page = store_responses.encode_changes(
                attrs.evolve(found, age_s=age_s)
            )
            self._pages[asked.kind] = (key, page)
        return page


SelectSources: typing.TypeAlias = collections_abc.Callable[[], list[Source]]
