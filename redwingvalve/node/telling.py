"""What this node tells the others, and what it takes from their words."""

import asyncio
import time
import typing

import anyio
import attrs

from redwingvalve.fleet import registry as registry_module
from redwingvalve.fleet import serving
from redwingvalve.ingress import state as state_module
from redwingvalve.node import front as front_module
from redwingvalve.node import lease as lease_module
from redwingvalve.node import peers as peers_module
from redwingvalve.node import word_parts, words

# News that come close together go in one word. A node that finds forty heads
# sound at once would else send forty words to each other node: 3 MB with 59
# nodes, which fill a link of 10 Mbit/s for seconds, and its questions to
# endpoints get no answers meanwhile.
NEWS_PAUSE_S = 0.02
# Words come so much sooner while requests wait for places.
SHORT_PAUSE_SHARE = 0.25


@attrs.define(eq=False)
class Teller(peers_module.WordTaker):
    """Speaks for a node, and hands on what the others say."""

    own: peers_module.PeerAddress
    state: state_module.IngressState
    registry: registry_module.Registry
    table: serving.ServingTable
    lease: lease_module.Lease
    front: front_module.FrontApplication
    peers: peers_module.Peers = attrs.field(init=False)
    # Another node has seen requests.
    others_served: bool = False
    _number: int = 0
    _said_s: float = 0.0
    _timer: asyncio.TimerHandle | None = None
    # Endpoints found sound here: their epoch and when.
    _cleared: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Tell at once what others can't wait for."""
        self.peers = peers_module.Peers(self.own, self)
        self.table.on_suspect = self._suspected
        self.table.on_clear = self._found_sound
        self.table.on_tell_sound = self._note_sound
        self.lease.on_renewed = self.say_soon
        self.state.on_handoff = self._hand_off

    @property
    def fleet_has_served(self) -> bool:
        """Return whether any node has seen a request."""
        return self.front.has_served or self.others_served

    async def run(self) -> typing.NoReturn:
        """Speak whenever something has changed, and now and then at rest."""
        said: dict[str, int] = {}
        while True:
            loads = dict(self.state.loads.own)
            rest_s = time.monotonic() - self._said_s
            # While requests run here, silence means that they have ended.
            if loads or said or rest_s >= peers_module.REST_WORD_S:
                self.say_now()
                said = loads
            self._look_around()
            self.state.loads.word_s = self._word_pause_s()
            await anyio.sleep(self.state.loads.word_s)

    def say_now(self) -> None:
        """Send a word to all other nodes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._said_s = time.monotonic()
        self.peers.say(self.make_word(dict(self.state.loads.own)))

    def say_soon(self) -> None:
        """Send a word at once, or with others a moment after the last one."""
        if self._timer is not None:
            return
        pause_s = NEWS_PAUSE_S * self.peers.crowd
        wait_s = self._said_s + pause_s - time.monotonic()
        if wait_s <= 0:
            self.say_now()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_s, self.say_now)

    def make_word(self, loads: dict[str, int]) -> typing.Any:
        """Return the next word of this node."""
        self._number += 1
        word = words.NodeWord(
            vm=self.own.vm,
            born_ms=self.own.born_ms,
            number=self._number,
            is_leaving=self.state.is_leaving,
            is_ready=self.state.configuration is not None,
            loads=loads,
            suspects=word_parts.suspect_words(self.table),
            crashes=self.state.poison.counts(),
            has_served=self.front.has_served,
            cleared=word_parts.clear_words(self._cleared),
            wanting=self.state.wanting(),
        )
        if self.peers.is_introducing:
            word.address = word_parts.address_word(self.own)
        if self.lease.is_held() or self.lease.is_releasing:
            word.lease_revision = self.lease.revision
            word.lease_left_ms = self.lease.left_ms()
        return word

    def word(self, word: typing.Any) -> None:
        """Take another node's word."""
        self.state.loads.heard(word.vm, word.loads or {})
        self.state.loads.heard_wanting(word.vm, word.wanting or {})
        if word.lease_revision:
            self.lease.heard(word.lease_revision, word.lease_left_ms)
        self.others_served = self.others_served or bool(word.has_served)
        self.state.poison.heard(word.crashes or {})
        for suspicion in word_parts.read_suspicions(word):
            self.table.take_suspicion(suspicion)
        for clear in word_parts.read_clears(word):
            self.table.clear_older(
                clear.endpoint_id, clear.epoch, clear.since_s
            )
        if word.handoff:
            self.state.take_handoff(word.handoff)
        self.state.poke()

    def node_lost(self, vm: str) -> None:
        """Forget what a silent node had under way."""
        self.state.loads.forget(vm)

    def _word_pause_s(self) -> float:
        """Return the time until the next word.

        While requests wait for places, here or elsewhere, old counts cost
        places: nodes leave them empty or fill them twice.
        """
        pause_s = self.peers.word_pause_s
        loads = self.state.loads
        is_short = self.state.wanting() or loads.is_wanted
        return pause_s * SHORT_PAUSE_SHARE if is_short else pause_s

    def _hand_off(self, vm: str, endpoint_id: str) -> None:
        word = self.make_word(dict(self.state.loads.own))
        word.handoff = endpoint_id
        self.peers.say_to(vm, word)

    def _look_around(self) -> None:
        self.peers.drop_silent()
        self.registry.drop_lapsed()
        self.state.poison.look(self.registry.incarnations())
        self.state.loads.node_count = 1 + len(self.peers.alive())
        # Places of nodes that fell silent are free.
        self.state.poke()

    def _found_sound(self, endpoint_id: str, epoch: int) -> None:
        self._note_sound(endpoint_id, epoch)
        self.say_soon()

    def _note_sound(self, endpoint_id: str, epoch: int) -> None:
        # Left for the next word: nobody waits for it.
        self._cleared[endpoint_id] = (epoch, time.monotonic())

    def _suspected(self, suspicion: serving.Suspicion) -> None:
        # Not left for the next word: requests go there from all nodes.
        self._cleared.pop(suspicion.endpoint_id, None)
        self.say_soon()
