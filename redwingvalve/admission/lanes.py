"""The three lanes together: light calls, short jobs, long jobs.

Load pattern: a few jobs of tens of thousands of tokens among many short ones.
Without lanes, the long jobs occupy the whole batch for a minute, and short jobs
and light calls miss their targets.

Each lane is served up to its floor first, so that none starves; the rest goes
in order of kind. Long jobs leave a reserve that follows the recent use of short
ones, since a slot of a long job is released only after many seconds.
"""

import typing

from redwingvalve.admission import account_queue, estimates, lane, messages

KINDS = tuple(messages.JobKind)


class Selection(typing.NamedTuple):
    """The next account to serve, and whether by preference."""

    kind: messages.JobKind
    account: account_queue.AccountQueue
    by_preference: bool


class LaneSet:
    """One lane for each kind of job, and the order of the lanes."""

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
        """Iterate over the lanes in order of kind."""
        return iter(self._lanes)

    def select(self, limit: float, now_s: float) -> Selection | None:
        """Return the next account to serve within an in-flight limit."""
        waiting = [kind for kind in KINDS if self._lanes[kind].waiting_count]
        for kind in waiting:
            if self._below_floor(kind, limit):
                return self._select_from(kind, now_s)
        for other in waiting:
            if self._below_ceiling(other, limit):
                return self._select_from(other, now_s)
        return None

    def can_bypass(self, kind: messages.JobKind, limit: float) -> bool:
        """Tell whether a new job of a kind may bypass all queues."""
        (light, short, long) = self._lanes
        waiting = light.waiting_count + short.waiting_count + long.waiting_count
        if not waiting:
            return self._below_ceiling(kind, limit)
        if kind == messages.JobKind.LONG or self._lanes[kind].waiting_count:
            return False
        return self._below_floor(kind, limit)

    def record_short_use(self, now_s: float) -> None:
        """Record the slots used by light and short jobs, a new one included."""
        (light, short, _) = self._lanes
        use = 1 + light.in_flight + light.waiting_count
        self._short_use.observed(
            use + short.in_flight + short.waiting_count, now_s
        )

    def waiting_tokens(self) -> float:
        """Return the cost of all queued requests."""
        (light, short, long) = self._lanes
        tokens = light.waiting_tokens + short.waiting_tokens
        return tokens + long.waiting_tokens

    def speed_share(self, kind: messages.JobKind, limit: float) -> float:
        """Return the share of the speed that is available to a lane.

        Jobs of other lanes hold their slots until they end; an estimate with
        the whole speed would cause late refusals.
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
        recent_share = self._short_use.level / limit if limit else 1.0
        reserve = max(self._settings.short_reserve_share, recent_share)
        return min(reserve, self._settings.max_short_reserve_share)

    def _select_from(
        self, kind: messages.JobKind, now_s: float
    ) -> Selection | None:
        chosen = self._lanes[kind].select(now_s)
        return Selection(kind, *chosen) if chosen else None

    def _below_floor(self, kind: messages.JobKind, limit: float) -> bool:
        in_flight = self._lanes[kind].in_flight
        return in_flight < self._floors[kind] * limit

    def _below_ceiling(self, kind: messages.JobKind, limit: float) -> bool:
        if kind != messages.JobKind.LONG:
            return True
        ceiling = (1 - self._reserve(limit)) * limit
        return self._lanes[kind].in_flight < ceiling
