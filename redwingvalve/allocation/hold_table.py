"""Which places at endpoints are held, by whom.

Load pattern: nodes die with places in their hands, and the datagrams that give
places back are lost. A place is held for as long as its holder says so: what a
holder leaves out of its holdings is free, and so is what it has not spoken of
for LAPSE_S.
"""

import attrs

from redwingvalve.allocation import messages

# Three of the holders' reports may be lost.
LAPSE_S = 2.0
# Holdings that were sent before a grant arrived don't name it.
FLIGHT_S = 0.3

Key = tuple[messages.Sender, int]


@attrs.define
class Hold:
    """A place at an endpoint in somebody's hands."""

    endpoint_id: str
    since_s: float
    confirmed_s: float


class HoldTable:
    """The places of one pool."""

    def __init__(self) -> None:
        """Start with all places free."""
        self._holds: dict[Key, Hold] = {}
        self._counts: dict[str, int] = {}
        self._numbers: dict[messages.Sender, set[int]] = {}

    def __len__(self) -> int:
        """Return how many places are held."""
        return len(self._holds)

    def count(self, endpoint_id: str) -> int:
        """Return how many places at an endpoint are held."""
        return self._counts.get(endpoint_id, 0)

    def find(self, key: Key) -> Hold | None:
        """Return the place that was granted for an ask, while it is held."""
        return self._holds.get(key)

    def hold(self, key: Key, endpoint_id: str, now_s: float) -> None:
        """Note that a place is held."""
        self.release(key)
        self._holds[key] = Hold(endpoint_id, now_s, now_s)
        self._counts[endpoint_id] = self.count(endpoint_id) + 1
        sender, number = key
        self._numbers.setdefault(sender, set()).add(number)

    def release(self, key: Key) -> Hold | None:
        """Free a place; return what was held."""
        hold = self._holds.pop(key, None)
        if hold is None:
            return None
        left = self.count(hold.endpoint_id) - 1
        if left:
            self._counts[hold.endpoint_id] = left
        else:
            self._counts.pop(hold.endpoint_id)
        sender, number = key
        numbers = self._numbers[sender]
        numbers.discard(number)
        if not numbers:
            self._numbers.pop(sender)
        return hold

    def confirm(
        self,
        sender: messages.Sender,
        endpoint_ids: dict[int, str],
        now_s: float,
    ) -> None:
        """Take all that a node holds in place of what was known of it."""
        for number in tuple(self._numbers.get(sender, ())):
            hold = self._holds[sender, number]
            is_known_there = number in endpoint_ids
            if not is_known_there and now_s - hold.since_s > FLIGHT_S:
                self.release((sender, number))
        for number, endpoint_id in endpoint_ids.items():
            known = self._holds.get((sender, number))
            if known is not None and known.endpoint_id == endpoint_id:
                known.confirmed_s = now_s
                continue
            self.hold((sender, number), endpoint_id, now_s)

    def drop_node(self, vm: str) -> bool:
        """Free all places of a node; return if any."""
        found = [key for key in self._holds if key[0].vm == vm]
        for key in found:
            self.release(key)
        return bool(found)

    def drop_expired(self, now_s: float) -> bool:
        """Free the places of holders that fell silent; return if any."""
        lapsed = [
            key
            for key, hold in self._holds.items()
            if now_s - hold.confirmed_s > LAPSE_S
        ]
        for key in lapsed:
            self.release(key)
        return bool(lapsed)
