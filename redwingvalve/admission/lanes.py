"""The three lanes together: light calls, short jobs, long jobs.

Load pattern: a few jobs of tens of thousands of tokens among many short ones.
Without lanes the long ones hold the whole batch for a minute, and
short jobs and light calls miss their targets meanwhile.

Each lane is served up to its floor first, so that none starves; what is left
goes in order of kind. Long jobs leave a reserve that follows the recent use of
short ones, since what they hold comes back only after many seconds.
"""

import typing

from redwingvalve.admission import account_queue, estimates, lane, messages

KINDS = tuple(messages.JobKind)


class Turn(typing.NamedTuple):
    """Whose turn it is, and whether by preference."""

    kind: messages.JobKind
    line: account_queue.AccountQueue
    by_preference: bool


class LaneSet:
    """One lane for each kind of job, and the order between them."""

    def __init__(self, settings: messages.AdmissionSettings) -> None:
        """Start with empty lanes."""
        self._settings = settings
        self._lanes = tuple(lane.Lane(settings) for _ in messages.JobKind)
        self._floors = (
            settings.light_floor_share,
            settings.short_floor_share,
            settings.long_floor_share,
        )
        self._short_use = estimates.DecayingPeak()

    def __getitem__(self, kind: messages.JobKind) -> lane.Lane:
        """Return the lane of a kind."""
        return self._lanes[kind]

    def __iter__(self) -> typing.Iterator[lane.Lane]:
        """Go over the lanes in their order."""
        return iter(self._lanes)

    def choose(self, limit: float, now_s: float) -> Turn | None:
        """Return whose turn it is under an in-flight bound."""
        waiting = [kind for kind in KINDS if self._lanes[kind].waiting_count]
        for kind in waiting:
            if self._below_floor(kind, limit):
                return self._turn(kind, now_s)
        for other in waiting:
            if self._below_ceiling(other, limit):
                return self._turn(other, now_s)
        return None

    def nobody_before(self, kind: messages.JobKind, limit: float) -> bool:
        """Tell whether a new job of a kind passes everything that waits."""
        (light, short, long) = self._lanes
        waiting = light.waiting_count + short.waiting_count + long.waiting_count
        if not waiting:
            return self._below_ceiling(kind, limit)
        if kind == messages.JobKind.LONG or self._lanes[kind].waiting_count:
            return False
        return self._below_floor(kind, limit)

    def note_short_use(self, now_s: float) -> None:
        """Count a new job that is not long into the recent use."""
        (light, short, _) = self._lanes
        use = 1 + light.in_flight + light.waiting_count
        self._short_use.observed(
            use + short.in_flight + short.waiting_count, now_s
        )

    def waiting_tokens(self) -> float:
        """Return the cost of all that waits."""
        (light, short, long) = self._lanes
        tokens = light.waiting_tokens + short.waiting_tokens
        return tokens + long.waiting_tokens

    def speed_part(self, kind: messages.JobKind, limit: float) -> float:
        """Return the part of the speed that a lane may count on.

        What other lanes have in flight holds places for as long as it lasts;
        a queue that counted on the whole speed would refuse late.
        """
        if limit <= 0:
            return 1.0
        (light, short, long) = self._lanes
        held = light.in_flight + short.in_flight + long.in_flight
        part = 1 - (held - self._lanes[kind].in_flight) / limit
        if kind == messages.JobKind.LONG:
            part = min(part, 1 - self._reserve(limit))
        return max(part, self._floors[kind])

    def _reserve(self, limit: float) -> float:
        wanted = self._short_use.level / limit if limit else 1.0
        reserve = max(self._settings.short_reserve_share, wanted)
        return min(reserve, self._settings.max_short_reserve_share)

    def _turn(self, kind: messages.JobKind, now_s: float) -> Turn | None:
        chosen = self._lanes[kind].choose(now_s)
        return Turn(kind, *chosen) if chosen else None

    def _below_floor(self, kind: messages.JobKind, limit: float) -> bool:
        in_flight = self._lanes[kind].in_flight
        return in_flight < self._floors[kind] * limit

    def _below_ceiling(self, kind: messages.JobKind, limit: float) -> bool:
        if kind != messages.JobKind.LONG:
            return True
        ceiling = (1 - self._reserve(limit)) * limit
        return self._lanes[kind].in_flight < ceiling
