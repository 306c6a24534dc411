"""Weighted fair admission with early refusal.

Load pattern: bursts of several times the normal rate, one account that asks
for far more than its share, long jobs among short ones, and hours of demand
above capacity. Without it the endpoints' own queues grow until every answer is
late, and each late answer is fined although the work was done.

A request is refused when it arrives if its expected wait already passes its
deadline, and later as soon as that becomes known. The wait is the account's
backlog in its lane over the rate at which that backlog will be served, and the
time until the first of it has its turn.
"""

import heapq

import attrs

from redwingvalve.admission import (
    account_queue,
    in_flight,
    lane,
    lanes,
    messages,
    queue,
)


@attrs.define(eq=False)
class _Place:
    """Where a waiting request stands."""

    request: messages.AdmissionRequest
    number: int


class FairQueue(queue.AdmissionQueue):
    """The queue for daemons; every step is O(log n) in what waits."""

    def __init__(
        self,
        capacity: messages.Capacity,
        settings: messages.AdmissionSettings | None = None,
    ) -> None:
        """Start empty with a capacity."""
        self._settings = settings or messages.AdmissionSettings()
        self._lanes = lanes.LaneSet(self._settings)
        self._places: dict[str, _Place] = {}
        self._latest_starts: list[tuple[float, int, str]] = []
        self._number = 0
        self._in_flight = in_flight.InFlight(self._lanes, self._settings)
        self.resize(capacity, 0.0)

    def resize(self, capacity: messages.Capacity, now_s: float) -> None:
        """Take over a new capacity; what is sent stays sent."""
        self._capacity = capacity
        self._in_flight.resize(capacity.in_flight)
        for in_lane in self._lanes:
            in_lane.note_speed(capacity.tokens_per_s)

    def offer(
        self, request: messages.AdmissionRequest, now_s: float
    ) -> messages.Decision:
        """Admit, queue or refuse a new request."""
        self._number += 1
        in_lane = self._lanes[request.kind]
        line = in_lane.line(request)
        cost = line.costs.corrected(request.estimated_tokens)
        line.asked(cost, now_s)
        if request.kind != messages.JobKind.LONG:
            self._lanes.note_short_use(now_s)
        limit = self._in_flight.limit()
        first = self._lanes.nobody_before(request.kind, limit)
        if first and self._in_flight.has_room():
            in_lane.pass_by(line, cost, now_s)
            self._in_flight.add(request, cost, now_s)
            return messages.Admitted(request.request_id)
        if self._capacity.tokens_per_s <= 0:
            return self._refusal(
                request,
                messages.RefusalReason.NO_CAPACITY,
                self._settings.min_retry_after_s,
            )
        if len(self._places) >= self._settings.max_waiting:
            return self._refusal(
                request, messages.RefusalReason.QUEUE_FULL, self._drain_time_s()
            )
        return self._queue_or_refuse(request, line, cost, now_s)

    def next_ready(self, now_s: float) -> messages.AdmissionRequest | None:
        """Return the next waiting request if it fits now."""
        if not self._places or not self._in_flight.has_room():
            return None
        turn = self._lanes.choose(self._in_flight.limit(), now_s)
        if turn is None:
            return None
        (_, _, cost, request) = self._lanes[turn.kind].take(
            turn.line, by_preference=turn.by_preference, now_s=now_s
        )
        del self._places[request.request_id]
        self._in_flight.add(request, cost, now_s)
        return request

    def first_token(self, request_id: str, now_s: float) -> None:
        """Learn how long a sent request took to its first token."""
        self._in_flight.first_token(request_id, now_s)

    def finished(
        self, request_id: str, actual_tokens: float, now_s: float
    ) -> None:
        """Free what a request held and correct its account's estimate."""
        sent = self._in_flight.remove(
            request_id, actual_tokens, now_s, waiting=bool(self._places)
        )
        if sent is None:
            return
        in_lane = self._lanes[sent.request.kind]
        line = in_lane.line(sent.request)
        line.costs.learn(sent.request.estimated_tokens, actual_tokens)
        in_lane.correct(line, actual_tokens - sent.cost)

    def withdraw(self, request_id: str) -> bool:
        """Forget a waiting request."""
        place = self._places.pop(request_id, None)
        if place is None:
            return False
        request = place.request
        in_lane = self._lanes[request.kind]
        in_lane.remove(in_lane.line(request), request.priority, place.number)
        return True

    def expired(self, now_s: float) -> tuple[messages.RefusedNow, ...]:
        """Remove and return what can no longer meet its target."""
        refused = self._past_latest_start(now_s)
        for kind in messages.JobKind:
            if self._lanes[kind].waiting_count:
                self._refuse_tails(kind, now_s, refused)
        return tuple(refused)

    def expected_tokens(self, request: messages.AdmissionRequest) -> float:
        """Return the estimate corrected by what the account used before."""
        line = self._lanes[request.kind].line(request)
        return line.costs.corrected(request.estimated_tokens)

    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._places)

    def in_flight(self) -> int:
        """Return how many requests are sent and not finished."""
        return len(self._in_flight)

    def _queue_or_refuse(
        self,
        request: messages.AdmissionRequest,
        line: account_queue.AccountQueue,
        cost: float,
        now_s: float,
    ) -> messages.Decision:
        in_lane = self._lanes[request.kind]
        speed = self._speed(request.kind)
        ahead_tokens = line.backlog_ahead(request.priority)
        wait_s = self._wait_s(in_lane, line, ahead_tokens, speed, now_s)
        latest_start_s = (
            request.deadline_s - self._in_flight.pressure.first_token_s
        )
        slack_s = (latest_start_s - now_s) * line.caution
        if in_lane.shares.moderate(line, now_s):
            slack_s *= self._settings.moderate_wait_margin
        else:
            slack_s *= self._settings.greedy_wait_margin
        if wait_s > slack_s:
            return self._refusal(
                request,
                messages.RefusalReason.WOULD_MISS_TARGET,
                wait_s - max(slack_s, 0.0),
            )
        waiting = account_queue.Waiting(
            -request.priority, self._number, cost, request
        )
        in_lane.add(line, waiting, now_s)
        self._places[request.request_id] = _Place(request, self._number)
        heapq.heappush(
            self._latest_starts,
            (latest_start_s, self._number, request.request_id),
        )
        return messages.Queued(request.request_id, wait_s)

    def _wait_s(
        self,
        in_lane: lane.Lane,
        line: account_queue.AccountQueue,
        ahead_tokens: float,
        speed: float,
        now_s: float,
    ) -> float:
        expected_rate = in_lane.shares.expected(line, speed, now_s)
        floor_rate = speed * in_lane.fair_share(line)
        floor_rate *= 1.0 - self._settings.preferred_share
        rate = line.rate_tokens_per_s(expected_rate, floor_rate, now_s)
        if rate <= 0:
            return self._drain_time_s()
        turn_s = in_lane.turn_in_s(line, speed)
        return ahead_tokens / rate + turn_s

    def _speed(self, kind: messages.JobKind) -> float:
        """Return what a lane may count on, in tokens a second."""
        part = self._lanes.speed_part(kind, self._in_flight.limit())
        # With more or fewer places than declared goes that much more or less.
        declared = part * self._capacity.tokens_per_s
        return declared * self._in_flight.pressure.factor

    def _drain_time_s(self) -> float:
        speed = max(self._capacity.tokens_per_s, 1e-9)
        return self._lanes.waiting_tokens() / speed

    def _past_latest_start(self, now_s: float) -> list[messages.RefusedNow]:
        refused: list[messages.RefusedNow] = []
        while self._latest_starts and self._latest_starts[0][0] <= now_s:
            _, number, request_id = heapq.heappop(self._latest_starts)
            place = self._places.get(request_id)
            if place is None or place.number != number:
                continue
            self.withdraw(request_id)
            self._lanes[place.request.kind].line(place.request).refused_late(
                now_s
            )
            refused.append(
                self._refusal(
                    place.request,
                    messages.RefusalReason.TARGET_PASSED,
                    self._drain_time_s(),
                )
            )
        return refused

    def _refuse_tails(
        self,
        kind: messages.JobKind,
        now_s: float,
        refused: list[messages.RefusedNow],
    ) -> None:
        in_lane = self._lanes[kind]
        speed = self._speed(kind)
        for line in in_lane.lines.values():
            while line.waiting:
                (_, _, cost, request) = line.waiting[-1]
                ahead = line.backlog_tokens - cost
                wait_s = self._wait_s(in_lane, line, ahead, speed, now_s)
                latest_start_s = (
                    request.deadline_s - self._in_flight.pressure.first_token_s
                )
                if now_s + wait_s <= latest_start_s:
                    break
                in_lane.remove_last(line)
                line.refused_late(now_s)
                del self._places[request.request_id]
                refused.append(
                    self._refusal(
                        request,
                        messages.RefusalReason.WOULD_MISS_TARGET,
                        now_s + wait_s - latest_start_s,
                    )
                )

    def _refusal(
        self,
        request: messages.AdmissionRequest,
        reason: messages.RefusalReason,
        retry_after_s: float,
    ) -> messages.RefusedNow:
        return messages.RefusedNow(
            request.request_id,
            reason,
            max(retry_after_s, self._settings.min_retry_after_s),
        )


def make_admission_queue(
    capacity: messages.Capacity,
    settings: messages.AdmissionSettings | None = None,
) -> queue.AdmissionQueue:
    """Return the queue that daemons use."""
    return FairQueue(capacity, settings)
