"""Selects the sources of a node's watches: the store, or relays.

In a small fleet each node watches the store. In a large one only the first hub
of each data centre does, and the lease holder, which must see changes at once.
The second hub watches the first. All other nodes watch the hubs, or the store
if both fail.

Endpoints change several times a second, and each answer of the store is
charged. Only the lease holder acts on a change at once; all other nodes pause
between two watches, so that the changes in between cost one call.

Answers of relays carry an age, and there is a limit by which a node must know
of a change. If two relays are cut off at once, waiting for both in turn takes
longer than that limit. So a node queries the store itself as soon as its state
is older than a share of the limit, regardless of its relays.
"""

import asyncio
import itertools
import math
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.core import steps
from redwingvalve.http1 import messages, request_parser, server
from redwingvalve.ingress import routes
from redwingvalve.node import hubs as hubs_module
from redwingvalve.node import peers as peers_module
from redwingvalve.node import watch_cache
from redwingvalve.platform import settings as settings_module
from redwingvalve.platform import store, store_responses

# Longest wait of a watch at the store.
STORE_WAIT_MAX_S = 2.5
# Shares of the time limit for learning of a change. A relay pauses and then
# waits at the store, so its answers are at most as old as both together. A node
# whose state is older than STORE_FALLBACK_SHARE makes an extra call to the
# store, and another one after each STORE_HEDGE_SHARE without an answer, so that
# one lost answer leaves time for the next.
PAUSE_SHARE = 0.25
RELAY_WAIT_SHARE = 0.25
STORE_FALLBACK_SHARE = 0.7
STORE_HEDGE_SHARE = 0.125
# Age of the state at which a node without relays gets the next answer.
UNRELAYED_AGE_SHARE = 0.55
# Ages are sent in steps of a tenth of a second.
_AGE_STEPS_PER_S = 10
# A query, and the page that answers it once it is encoded.
_Page: typing.TypeAlias = tuple[typing.Any, asyncio.Future[bytes]]
_JSON = (b'content-type', b'application/json')
_OK = 200
_NOT_FOUND = 404
_HISTORY_GONE = 410
_UNAVAILABLE = 503


@attrs.frozen
class Source:
    """A client for the store or a relay, and the timing of its watches."""

    client: store.StoreClient
    is_store: bool
    wait_s: float
    # Pause between two watches, so that changes in between cost one call.
    pause_s: float = 0.0
    # If the known state is older than this, the store is queried in addition.
    max_age_s: float = math.inf
    # Delay until that query is repeated if it isn't answered.
    hedge_delay_s: float = 0.25
    # Name in logs: the relay's VM, or 'store'.
    name: str = 'store'


def make_store_source(
    client: store.StoreClient,
    bound_s: float,
    *,
    is_relayed: bool,
    is_paused: bool,
) -> Source:
    """Return the store as a source that answers well within bound_s.

    is_relayed means that other nodes depend on the age of the answers.
    """
    pause_s = PAUSE_SHARE * bound_s if is_paused else 0.0
    wait_s = UNRELAYED_AGE_SHARE * bound_s - pause_s
    if is_relayed:
        wait_s = RELAY_WAIT_SHARE * bound_s
    return Source(
        client,
        is_store=True,
        wait_s=min(wait_s, STORE_WAIT_MAX_S),
        pause_s=pause_s,
        max_age_s=STORE_FALLBACK_SHARE * bound_s,
        hedge_delay_s=STORE_HEDGE_SHARE * bound_s,
    )


def make_relay_source(
    client: store.StoreClient, bound_s: float, name: str
) -> Source:
    """Return a relay as a source; the store is queried if it is too late."""
    return Source(
        client,
        is_store=False,
        wait_s=(PAUSE_SHARE + RELAY_WAIT_SHARE) * bound_s,
        max_age_s=STORE_FALLBACK_SHARE * bound_s,
        name=name,
    )


class SourceSelector:
    """Selects this node's sources from the hubs that are alive."""

    def __init__(
        self,
        store_client: store.StoreClient,
        json_client: store.JsonClient,
        peers: peers_module.Peers,
        hubs: hubs_module.Hubs,
        holds_lease: collections_abc.Callable[[], bool],
        bound_s: float,
    ) -> None:
        """Prefer relays in a large fleet.

        bound_s is the time limit for learning of a change.
        """
        self._store = store_client
        self._json = json_client
        self._peers = peers
        self._hubs = hubs
        self._holds_lease = holds_lease
        self._bound_s = bound_s

    def select(self) -> list[Source]:
        """Return the sources in order of preference."""
        is_large_fleet = self._peers.is_large_fleet
        holds_lease = self._holds_lease()
        store_source = make_store_source(
            self._store,
            self._bound_s,
            is_relayed=is_large_fleet,
            is_paused=not holds_lease,
        )
        if holds_lease or not is_large_fleet:
            return [store_source]
        relays = self._hubs.of(self._peers.local.data_centre)
        # The second hub watches the first, so that a data centre costs the
        # store the calls of one node only.
        preceding = itertools.takewhile(
            lambda address: address.vm != self._peers.local.vm, relays.values()
        )
        return [*map(self._relay_source, preceding), store_source]

    def _relay_source(self, address: peers_module.PeerAddress) -> Source:
        socket = settings_module.SocketAddress(address.ip, address.peer_port)
        client = store.StoreClient(socket, self._json)
        return make_relay_source(client, self._bound_s, address.vm)


class WatchRelayApplication(server.Application):
    """Serves listings and watches to other nodes from the caches."""

    def __init__(self, caches: dict[str, watch_cache.WatchCache]) -> None:
        """Serve the caches, which are keyed by kind."""
        self._caches = caches
        self._tasks: set[asyncio.Task[None]] = set()
        # The last page of each kind, with the query that it answers.
        self._pages: dict[str, _Page] = {}

    def limits(self) -> request_parser.ServerLimits:
        """Return limits that suffice for any query."""
        limits = routes.DEFAULT_LIMITS
        return request_parser.ServerLimits(
            limits.head_bytes, limits.head_bytes, 3.0, 15.0
        )

    def is_closing(self) -> bool:
        """Return False: clients of a stopping relay switch by themselves."""
        return False

    def serve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        """Answer at once, or when something changes."""
        query = store_responses.parse_query(request.target.decode('latin-1'))
        cache = self._caches.get(query.kind) if query else None
        if query is None or cache is None:
            responder.send_response(_NOT_FOUND, [_JSON], b'{}')
            return
        task = asyncio.get_running_loop().create_task(
            self._answer(cache, query, responder)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(
        self,
        cache: watch_cache.WatchCache,
        query: store_responses.StoreQuery,
        responder: server.Responder,
    ) -> None:
        if not cache.is_current:
            responder.send_response(_UNAVAILABLE, [_JSON], b'{}')
            return
        if query.after_revision is None:
            page = await steps.run(
                store_responses.encode_listing(cache.listing())
            )
            responder.send_response(_OK, list(store_responses.HEADERS), page)
            return
        try:
            found = await cache.changes_after(
                query.after_revision, query.wait_s
            )
        except store.HistoryGoneError:
            responder.send_response(_HISTORY_GONE, [_JSON], b'{}')
            return
        if not (found.changes or cache.is_current):
            responder.send_response(_UNAVAILABLE, [_JSON], b'{}')
            return
        page = await self._page(query, found)
        responder.send_response(_OK, list(store_responses.HEADERS), page)

    async def _page(
        self, query: store_responses.StoreQuery, found: store.Changes
    ) -> bytes:
        """Return the encoded answer, shared by all nodes with the same query.

        About twenty nodes wait for each change. Encoding a configuration for
        each of them would take longer than the change may take to propagate.
        """
        # Rounded up, so that the state never looks newer than it is.
        age_s = math.ceil(found.age_s * _AGE_STEPS_PER_S) / _AGE_STEPS_PER_S
        key = (query.after_revision, found.revision, age_s)
        known = self._pages.get(query.kind)
        if known is None or known[0] != key:
            encoding = steps.run(
                store_responses.encode_changes(attrs.evolve(found, age_s=age_s))
            )
            known = key, asyncio.ensure_future(encoding)
            self._pages[query.kind] = known
        return await asyncio.shield(known[1])


SelectSources: typing.TypeAlias = collections_abc.Callable[[], list[Source]]
