"""What the places of one model can take, as this node sees it.

Load pattern: all places are taken, requests wait at several nodes, and each
node sees the others' requests a moment late. A place that comes free is then
seen by all at once; taken by all, it is overfilled, and requests queue at the
endpoint, where they are late and keep others late after them. So few free
places are shared by chance among the nodes that want them.
"""

import math
import random
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import observed, placing, waiting

# Places that late requests leave free, in spreads of the number in use, and at
# most as a share of all.
RESERVED_SPREADS = 0.5
MOST_RESERVED_SHARE = 0.25

Targets = collections_abc.Callable[[], collections_abc.Sequence[placing.Target]]


@attrs.define(eq=False)
class ModelPlaces(waiting.Places):
    """The places of one service and model, those of all nodes."""

    # What the places are for; other nodes name it likewise.
    name: str
    targets: Targets
    loads: placing.Loads
    times: observed.PlaceTimes
    chance: random.Random
    clock: collections_abc.Callable[[], float]
    # Tells another node of a place that came free here.
    send_handoff: collections_abc.Callable[[str, str], None]
    _tried_s: float = -math.inf

    def free(self) -> float:
        """Return the places that seem to be free, those of all heads."""
        return sum(
            max(0, target.slots - self.loads.expected(target.endpoint_id))
            for target in self.targets()
        )

    def may_try(self) -> bool:
        """Return whether this node may take a free place that others see too.

        While there are fewer than nodes that want one, each node tries its
        luck once with each view of the others' requests.
        """
        wanted = 1 + len(self.loads.wanting_nodes(self.name))
        free = self.free()
        if free >= wanted:
            return True
        now_s = self.clock()
        if now_s - self._tried_s < self.loads.word_s:
            return False
        self._tried_s = now_s
        return self.chance.random() * wanted < free

    def is_free(self, target: placing.Target) -> bool:
        """Return whether a place at a target is left, and it still serves."""
        if target not in self.targets():
            return False
        return self.loads.of(target.endpoint_id) < target.slots

    def take(
        self,
        freed: placing.Target | None,
        avoid: collections_abc.Container[str] = (),
        slow: collections_abc.Container[str] = (),
    ) -> placing.Target | None:
        """Return a target that counts the request already, or None.

        freed is the one at which a place has just come free; avoid names the
        endpoints that were tried, slow those that are chosen last.
        """
        found = self._choose(freed, avoid, slow)
        if found is not None:
            # Counted at once, so that no other request takes the place.
            self.loads.begin(found.endpoint_id)
        return found

    def freed_per_s(self) -> float:
        """Return the places that this node gets while all are taken.

        Each node gets as many as it holds, at least an even part.
        """
        targets = self.targets()
        slots = sum(target.slots for target in targets)
        return slots / self.times.hold.seconds * self._share(targets)

    def has_spare(self) -> bool:
        """Return whether late requests may take a place now.

        Some places are kept for requests that can be on time: half of the
        square root of all, which is how far their number strays by chance.
        """
        targets = self.targets()
        slots = sum(target.slots for target in targets)
        strays = RESERVED_SPREADS * math.sqrt(slots)
        reserved = min(strays, slots * MOST_RESERVED_SHARE)
        return self.free() > reserved

    def hand_off(self, freed: placing.Target) -> bool:
        """Let another node have a place that came free here, if one wants it.

        By itself it would hear of the place a word later, together with all
        others, and the place would stay empty or be taken twice.
        """
        nodes = self.loads.wanting_nodes(self.name)
        if not (nodes and self.is_free(freed)):
            return False
        self.send_handoff(self.chance.choice(nodes), freed.endpoint_id)
        return True

    def _choose(
        self,
        freed: placing.Target | None,
        avoid: collections_abc.Container[str],
        slow: collections_abc.Container[str],
    ) -> placing.Target | None:
        if (
            freed is not None
            and freed.endpoint_id not in avoid
            and self.is_free(freed)
        ):
            return freed
        if not self.may_try():
            return None
        targets = self.targets()
        drawn = placing.draw(targets, self.loads.node_count, self.chance)
        found = placing.choose(drawn, self.loads, self.chance, avoid, slow)
        if found is not None or drawn is targets:
            return found
        return placing.choose(targets, self.loads, self.chance, avoid, slow)

    def _share(
        self, targets: collections_abc.Sequence[placing.Target]
    ) -> float:
        even = 1 / max(self.loads.node_count, 1)
        held = sum(self.loads.of(target.endpoint_id) for target in targets)
        own = sum(self.loads.own.get(one.endpoint_id, 0) for one in targets)
        return max(even, own / max(held, 1))
