"""Weighted fair admission with early refusal.

Load pattern: bursts of several times the normal rate, one account that asks
for far more than its share, long jobs among short ones, and hours of demand
above capacity. Without admission control, the queues of the endpoints grow
until every response is late, and each late response incurs a penalty although
the work was done.

A request is refused on arrival if its expected wait exceeds its deadline, and
later as soon as that becomes known. The expected wait is the backlog of the
account in its lane divided by the rate at which it drains, plus the time until
the first request of the account has its turn.
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
class _QueuedEntry:
    """A queued request and its arrival number."""

    request: messages.AdmissionRequest
    number: int


class FairQueue(queue.AdmissionQueue):
    """The queue that daemons use; each operation is O(log n) in its length."""

    def __init__(
        self,
        capacity: messages.Capacity,
        settings: messages.AdmissionSettings | None = None,
    ) -> None:
        """Start empty."""
        self._settings = settings or messages.AdmissionSettings()
        self._lanes = lanes.LaneSet(self._settings)
        self._queued: dict[str, _QueuedEntry] = {}
        self._latest_starts: list[tuple[float, int, str]] = []
        self._number = 0
        self._in_flight = in_flight.InFlight(self._lanes, self._settings)
        self.resize(capacity, 0.0)

    def resize(self, capacity: messages.Capacity, now_s: float) -> None:
        """Replace the capacity; requests in flight are kept."""
        self._capacity = capacity
        self._in_flight.resize(capacity.in_flight)
        for job_lane in self._lanes:
            job_lane.set_speed(capacity.tokens_per_s)

    def offer(
        self, request: messages.AdmissionRequest, now_s: float
    ) -> messages.Decision:
        """Admit, queue or refuse a new request."""
        self._number += 1
        job_lane = self._lanes[request.kind]
        account = job_lane.account(request)
        cost = account.costs.corrected(request.estimated_tokens)
        account.record_demand(cost, now_s)
        if request.kind != messages.JobKind.LONG:
            self._lanes.record_short_use(now_s)
        limit = self._in_flight.limit()
        can_bypass = self._lanes.can_bypass(request.kind, limit)
        if can_bypass and self._in_flight.has_room():
            job_lane.admit_directly(account, cost, now_s)
            self._in_flight.add(request, cost, now_s)
            return messages.Admitted(request.request_id)
        if self._capacity.tokens_per_s <= 0:
            return self._refusal(
                request,
                messages.RefusalReason.NO_CAPACITY,
                self._settings.min_retry_after_s,
            )
        if len(self._queued) >= self._settings.max_waiting:
            return self._refusal(
                request, messages.RefusalReason.QUEUE_FULL, self._drain_time_s()
            )
        return self._queue_or_refuse(request, account, cost, now_s)

    def next_ready(self, now_s: float) -> messages.AdmissionRequest | None:
        """Return the next queued request if it fits now."""
        if not self._queued or not self._in_flight.has_room():
            return None
        turn = self._lanes.select(self._in_flight.limit(), now_s)
        if turn is None:
            return None
        (_, _, cost, request) = self._lanes[turn.kind].dispatch(
            turn.account, by_preference=turn.by_preference, now_s=now_s
        )
        del self._queued[request.request_id]
        self._in_flight.add(request, cost, now_s)
        return request

    def first_token(self, request_id: str, now_s: float) -> None:
        """Record the first-token delay of a request."""
        self._in_flight.first_token(request_id, now_s)

    def finished(
        self, request_id: str, actual_tokens: float, now_s: float
    ) -> None:
        """Release the capacity of a request and correct its estimate."""
        sent = self._in_flight.remove(
            request_id, actual_tokens, now_s, waiting=bool(self._queued)
        )
        if sent is None:
            return
        job_lane = self._lanes[sent.request.kind]
        account = job_lane.account(sent.request)
        account.costs.learn(sent.request.estimated_tokens, actual_tokens)
        job_lane.correct(account, actual_tokens - sent.cost)

    def withdraw(self, request_id: str) -> bool:
        """Remove a queued request."""
        queued = self._queued.pop(request_id, None)
        if queued is None:
            return False
        request = queued.request
        job_lane = self._lanes[request.kind]
        job_lane.remove(
            job_lane.account(request), request.priority, queued.number
        )
        return True

    def expired(self, now_s: float) -> tuple[messages.RefusedNow, ...]:
        """Remove and refuse requests that can no longer meet their target."""
        refused = self._past_latest_start(now_s)
        for kind in messages.JobKind:
            if self._lanes[kind].waiting_count:
                self._refuse_late_tails(kind, now_s, refused)
        return tuple(refused)

    def expected_tokens(self, request: messages.AdmissionRequest) -> float:
        """Return the estimate, corrected by the earlier use of the account."""
        account = self._lanes[request.kind].account(request)
        return account.costs.corrected(request.estimated_tokens)

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def in_flight(self) -> int:
        """Return the number of requests sent and not finished."""
        return len(self._in_flight)

    def _queue_or_refuse(
        self,
        request: messages.AdmissionRequest,
        account: account_queue.AccountQueue,
        cost: float,
        now_s: float,
    ) -> messages.Decision:
        job_lane = self._lanes[request.kind]
        speed = self._speed(request.kind)
        ahead_tokens = account.backlog_ahead(request.priority)
        wait_s = self._wait_s(job_lane, account, ahead_tokens, speed, now_s)
        latest_start_s = (
            request.deadline_s - self._in_flight.limit_controller.first_token_s
        )
        slack_s = (latest_start_s - now_s) * account.wait_factor
        if job_lane.shares.is_within_share(account, now_s):
            slack_s *= self._settings.moderate_wait_margin
        else:
            slack_s *= self._settings.greedy_wait_margin
        if wait_s > slack_s:
            return self._refusal(
                request,
                messages.RefusalReason.WOULD_MISS_TARGET,
                wait_s - max(slack_s, 0.0),
            )
        waiting = account_queue.QueuedRequest(
            -request.priority, self._number, cost, request
        )
        job_lane.add(account, waiting, now_s)
        self._queued[request.request_id] = _QueuedEntry(request, self._number)
        heapq.heappush(
            self._latest_starts,
            (latest_start_s, self._number, request.request_id),
        )
        return messages.Queued(request.request_id, wait_s)

    def _wait_s(
        self,
        job_lane: lane.Lane,
        account: account_queue.AccountQueue,
        ahead_tokens: float,
        speed: float,
        now_s: float,
    ) -> float:
        expected_rate = job_lane.shares.expected_rate(account, speed, now_s)
        floor_rate = speed * job_lane.fair_share(account)
        floor_rate *= 1.0 - self._settings.preferred_share
        rate = account.rate_tokens_per_s(expected_rate, floor_rate, now_s)
        if rate <= 0:
            return self._drain_time_s()
        turn_s = job_lane.time_to_turn_s(account, speed)
        return ahead_tokens / rate + turn_s

    def _speed(self, kind: messages.JobKind) -> float:
        """Return the throughput of a lane in tokens per second."""
        part = self._lanes.speed_share(kind, self._in_flight.limit())
        # Throughput is proportional to the in-flight limit.
        declared = part * self._capacity.tokens_per_s
        return declared * self._in_flight.limit_controller.factor

    def _drain_time_s(self) -> float:
        speed = max(self._capacity.tokens_per_s, 1e-9)
        return self._lanes.waiting_tokens() / speed

    def _past_latest_start(self, now_s: float) -> list[messages.RefusedNow]:
        refused: list[messages.RefusedNow] = []
        while self._latest_starts and self._latest_starts[0][0] <= now_s:
            _, number, request_id = heapq.heappop(self._latest_starts)
            queued = self._queued.get(request_id)
            if queued is None or queued.number != number:
                continue
            self.withdraw(request_id)
            self._lanes[queued.request.kind].account(
                queued.request
            ).record_late_refusal(now_s)
            refused.append(
                self._refusal(
                    queued.request,
                    messages.RefusalReason.TARGET_PASSED,
                    self._drain_time_s(),
                )
            )
        return refused

    def _refuse_late_tails(
        self,
        kind: messages.JobKind,
        now_s: float,
        refused: list[messages.RefusedNow],
    ) -> None:
        job_lane = self._lanes[kind]
        speed = self._speed(kind)
        for account in job_lane.accounts.values():
            while account.waiting:
                (_, _, cost, request) = account.waiting[-1]
                ahead = account.backlog_tokens - cost
                wait_s = self._wait_s(job_lane, account, ahead, speed, now_s)
                latest_start_s = (
                    request.deadline_s
                    - self._in_flight.limit_controller.first_token_s
                )
                if now_s + wait_s <= latest_start_s:
                    break
                job_lane.remove_last(account)
                account.record_late_refusal(now_s)
                del self._queued[request.request_id]
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
