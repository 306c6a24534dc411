"""What this node tells the others, and what it takes from their words."""

import asyncio
import time
import typing

import anyio
import attrs

from redwingvalve.allocation import usage as usage_module
from redwingvalve.fleet import registry as registry_module
from redwingvalve.fleet import serving
from redwingvalve.ingress import state as state_module
from redwingvalve.node import front as front_module
from redwingvalve.node import hubs as hubs_module
from redwingvalve.node import lease as lease_module
from redwingvalve.node import peers as peers_module
from redwingvalve.node import status_fields, status_messages, update_forwarding

# News that come close together go in one word. A node that finds forty heads
# sound at once would else send forty words to each other node: 3 MB with 59
# nodes, which fill a link of 10 Mbit/s for seconds, and its questions to
# endpoints get no answers meanwhile.
NEWS_PAUSE_S = 0.02


@attrs.define(eq=False)
class StatusExchange(peers_module.PeerObserver):
    """Speaks for a node, and hands on what the others say."""

    local: peers_module.PeerAddress
    state: state_module.IngressState
    registry: registry_module.Registry
    table: serving.ServingTable
    lease: lease_module.Lease
    front: front_module.FrontApplication
    peers: peers_module.Peers = attrs.field(init=False)
    hubs: hubs_module.Hubs = attrs.field(init=False)
    # What the nodes that grant places say is in use.
    usage: usage_module.FleetUsage = attrs.field(
        factory=usage_module.FleetUsage
    )
    on_node_lost: typing.Callable[[str], None] | None = None
    local_usage: typing.Callable[[], dict[str, int]] = dict
    # Another node has seen requests.
    others_served: bool = False
    _hub_news: update_forwarding.ForwardedUpdates = attrs.field(init=False)
    _number: int = 0
    _said_s: float = 0.0
    _timer: asyncio.TimerHandle | None = None
    # Endpoints found sound here: their epoch and when.
    _cleared: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Tell at once what others can't wait for."""
        self.peers = peers_module.Peers(self.local, self)
        self.hubs = hubs_module.Hubs(self.peers, self.node_changed)
        self._hub_news = update_forwarding.ForwardedUpdates(
            self.peers, self.hubs
        )
        self.table.on_suspect = self._suspected
        self.table.on_cleared = self._found_sound
        self.table.on_announce_healthy = self._note_sound
        self.lease.on_renewed = self.broadcast_soon

    @property
    def fleet_has_served(self) -> bool:
        """Return whether any node has seen a request."""
        return self.front.has_served or self.others_served

    async def run(self) -> typing.NoReturn:
        """Speak whenever something has changed, and now and then at rest."""
        while True:
            rest_s = time.monotonic() - self._said_s
            # While requests run here, silence means that they have ended.
            is_busy = bool(self.state.loads.by_endpoint)
            is_due = self.peers.is_large_fleet or is_busy
            if is_due or rest_s >= peers_module.REST_WORD_S:
                self.broadcast_now()
            self._look_around()
            await anyio.sleep(self.peers.word_pause_s)

    def broadcast_now(self) -> None:
        """Send a word to all other nodes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._said_s = time.monotonic()
        audiences = self.hubs.audiences()
        is_hub = bool(audiences.hubs and audiences.nodes)
        self._say(audiences.hubs, is_hub=is_hub, with_far=False)
        self._say(audiences.nodes, is_hub=is_hub, with_far=True)

    def _say(
        self, names: tuple[str, ...], *, is_hub: bool, with_far: bool
    ) -> None:
        if not names:
            return
        word = self.make_word()
        if is_hub:
            self._hub_news.add_to(word, with_far=with_far)
        self.peers.send_status(word, names)

    def broadcast_soon(self) -> None:
        """Send a word at once, or with others a moment after the last one."""
        if self._timer is not None:
            return
        wait_s = self._said_s + NEWS_PAUSE_S - time.monotonic()
        if wait_s <= 0:
            self.broadcast_now()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_s, self.broadcast_now)

    def make_word(self) -> typing.Any:
        """Return the next word of this node."""
        self._number += 1
        usage = self.local_usage()
        self.usage.update(self.local.vm, usage)
        word = status_messages.NodeWord(
            vm=self.local.vm,
            born_ms=self.local.born_ms,
            number=self._number,
            is_leaving=self.state.is_leaving,
            is_ready=self.state.configuration is not None,
            suspects=status_fields.suspect_words(self.table),
            crashes=self.state.poison.recent_crashes(),
            has_served=self._knows_served(),
            cleared=status_fields.clear_words(self._cleared),
            usage=usage,
        )
        if self.peers.is_announcing:
            word.address = status_fields.address_word(self.local)
        if self.lease.is_held() or self.lease.is_releasing:
            word.lease_revision = self.lease.revision
            word.lease_left_ms = self.lease.left_ms()
        elif self.peers.is_large_fleet and self.lease.observed_left_ms():
            word.lease_revision = self.lease.observed_revision
            word.lease_left_ms = self.lease.observed_left_ms()
        return word

    def _knows_served(self) -> bool:
        # In a large fleet most hear of it from a hub only.
        if self.peers.is_large_fleet:
            return self.fleet_has_served
        return self.front.has_served

    def word(self, word: typing.Any) -> None:
        """Take another node's word."""
        if self.peers.is_large_fleet:
            self._take_passed_on(word)
        self.usage.update(word.vm, word.usage or {})
        if word.lease_revision:
            self.lease.observe(word.lease_revision, word.lease_left_ms)
        self.others_served = self.others_served or bool(word.has_served)
        self.state.poison.merge_crashes(word.crashes or {})
        for suspicion in status_fields.read_suspicions(word):
            self.table.add_suspicion(suspicion)
        for clear in status_fields.read_clears(word):
            self.table.clear_if_older(
                clear.endpoint_id, clear.epoch, clear.since_s
            )

    def node_changed(self, peer: peers_module.Peer) -> None:
        """Pass on what has become of a node."""
        if self.hubs.is_hub:
            self._hub_news.changed(peer)
            self.broadcast_soon()

    def _take_passed_on(self, word: typing.Any) -> None:
        news = list(filter(self.hubs.take_state, word.states or ()))
        for usage in word.usages or ():
            self.usage.update(usage.vm, usage.usage or {})
        if self.hubs.is_hub and self._hub_news.heard(word, news):
            self.broadcast_soon()

    def node_lost(self, vm: str) -> None:
        """Forget what a silent node holds and grants."""
        self.usage.remove(vm)
        if self.on_node_lost is not None:
            self.on_node_lost(vm)

    def _look_around(self) -> None:
        if self.peers.is_large_fleet:
            self.hubs.drop_silent()
        else:
            self.peers.drop_silent()
        self.registry.drop_expired()
        if self.state.poison.has_unresolved_disconnects:
            self.state.poison.resolve_disconnects(self.registry.incarnations())
        self.state.node_count = 1 + len(self.peers.alive())

    def _found_sound(self, endpoint_id: str, epoch: int) -> None:
        self._note_sound(endpoint_id, epoch)
        self.broadcast_soon()

    def _note_sound(self, endpoint_id: str, epoch: int) -> None:
        # Left for the next word: nobody waits for it.
        self._cleared[endpoint_id] = (epoch, time.monotonic())

    def _suspected(self, suspicion: serving.Suspicion) -> None:
        # Not left for the next word: requests go there from all nodes.
        self._cleared.pop(suspicion.endpoint_id, None)
        self.broadcast_soon()
