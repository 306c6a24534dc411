"""Waits until a request is overdue, and reserves a slot for its hedge.

Load pattern: few requests of a route are overdue, at endpoints that are slow.
All that speaks against a second send is checked at that moment, before another
node is asked for a slot.
"""

import time

import anyio
import attrs

from redwingvalve.ingress import (
    admission_control,
    crash_keys,
    hedge_limit,
    hedge_policy,
    refusals,
    reservations,
    upstream_sender,
    wait_queue,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.observability import node_metrics

# A hedge neither waits nor passes other requests, also at an owner that runs an
# earlier version and takes it for an ordinary request.
_SPARE_SLOT = wait_queue.SlotRequest(
    urgency=admission_control.MAX_URGENCY,
    on_time_s=0,
    wait_s=0,
    has_returned=True,
    is_hedge=True,
)


@attrs.define(eq=False)
class HedgePlan:
    """Decides whether one request is hedged, and when."""

    _state: state_module.IngressState
    _admission: admission_control.Admission
    _keys: crash_keys.RequestKeys
    _first: upstream_sender.UpstreamSender
    _is_overdue: bool = False
    _is_observed: bool = False
    _started_s: float = 0

    def start(self) -> None:
        """Begin to measure a send that starts now."""
        self._started_s = time.monotonic()
        self._is_overdue = False
        self._is_observed = False

    @property
    def elapsed_s(self) -> float:
        """Return how long the send has taken, without reading its prompt."""
        elapsed_s = time.monotonic() - self._started_s
        return elapsed_s - self._admission.prompt_read_s

    @property
    def may_send_again(self) -> bool:
        """Return whether the request may go to another endpoint."""
        service = self._admission.service
        max_attempts = self._admission.route.max_attempts
        return (
            self._first.sends.sent_count < max_attempts
            and self._state.retry_budget(service).has_left(time.monotonic())
        )

    def observe(self) -> None:
        """Record that the first send was answered, or beaten or given up."""
        if self._is_observed:
            return
        self._is_observed = True
        self._latencies.observe(
            self.elapsed_s, time.monotonic(), is_overdue=self._is_overdue
        )

    async def reserve_when_overdue(self) -> reservations.Reservation | None:
        """Return a slot once the request is overdue, None to send no hedge."""
        delay_s = self._latencies.delay_s(self._limit.share, time.monotonic())
        if delay_s is None:
            return _hold_back('few answers')
        # The moment has passed if the process was paused.
        await anyio.sleep(max(0, delay_s - self.elapsed_s))
        self._is_overdue = True
        self._latencies.note_overdue()
        obstacle = self._find_obstacle()
        if obstacle:
            return _hold_back(obstacle)
        assert self._state.reserver is not None
        found = await self._state.reserver.reserve(
            self._admission.service,
            self._admission.model,
            _SPARE_SLOT,
            self._first.sends.tried_endpoints,
            self._state.stall_detector.slow_heads(time.monotonic()),
        )
        if isinstance(found, reservations.NoSlot):
            return _hold_back('no spare slot')
        return found

    def spend(self, reservation: reservations.Reservation) -> bool:
        """Count the hedge; without a share left, release its slot."""
        budget = self._state.retry_budget(self._admission.service)
        if self._limit.try_spend(budget, time.monotonic()):
            return True
        reservation.release(reservations.ReleaseState.FREE)
        _hold_back('limit')
        return False

    @property
    def _latencies(self) -> hedge_policy.KindLatencies:
        admission = self._admission
        return self._state.hedge_latencies.latencies(
            (admission.route.name, admission.service, admission.model)
        )

    @property
    def _limit(self) -> hedge_limit.HedgeLimit:
        return self._state.hedge_limit(self._admission.service)

    def _find_obstacle(self) -> str:
        """Return why the request isn't hedged now, '' if it may be."""
        now_s = time.monotonic()
        service = self._admission.service
        budget = self._state.retry_budget(service)
        sent_count = self._first.sends.sent_count
        obstacles = {
            # It still connects, or no attempt is left.
            'attempts': not (
                self._first.upstream_request is not None
                and sent_count < self._admission.route.max_attempts
            ),
            'suspected': self._is_suspected(),
            'cut off': self._state.reach.is_cut_off,
            'slow fleet': self._latencies.is_fleet_slow,
            'limit': not self._limit.has_left(now_s),
            'retry budget': not hedge_limit.leaves_retries(budget, now_s),
        }
        return next((name for name, holds in obstacles.items() if holds), '')

    def _is_suspected(self) -> bool:
        """Return whether the request or a part of it may crash endpoints."""
        tracker = self._state.poison
        if refusals.for_crashing_request(tracker, self._keys) is not None:
            return True
        return any(map(tracker.blame.end_count, self._keys.all))


def may_be_hedged(
    state: state_module.IngressState, admission: admission_control.Admission
) -> bool:
    """Return whether requests of this kind are hedged at all."""
    route = admission.route
    if state.hedge_limit(admission.service).share <= 0:
        return False
    return route.may_repeat and route.max_attempts > 1


def _hold_back(reason: str) -> None:
    node_metrics.METRICS.count('redwingvalve_hedges_held_back', reason=reason)
