"""One lane: weighted fair sharing between accounts, and preference by penalty.

Load pattern: more asks than fit, from accounts of different weight, penalty
and greed. Without it the greediest account takes what it asks for, and a fined
request waits behind one that costs nothing.

Half of the service goes to the account that is furthest behind its fair share
(start-time fair queueing), so that none starves. The other half goes by
penalty, then priority (see preference.py), and is charged at only
1/preference_bound of its cost, since a full charge would make the first half
take back what the second one gave.
"""

import heapq

from redwingvalve.admission import (
    account_queue,
    fair_shares,
    messages,
    preference,
)

# How long an unmet claim of an account is remembered.
CLAIM_S = 1.0
# A new job finds itself, on the mean, in the middle of a round of all lines.
MEAN_ROUND = 0.5


class Lane:
    """Accounts that wait in one lane; every step is O(log accounts)."""

    def __init__(self, settings: messages.AdmissionSettings) -> None:
        """Start without accounts."""
        self.waiting_count = 0
        self.waiting_tokens = 0.0
        self.in_flight = 0
        self.lines: dict[str, account_queue.AccountQueue] = {}
        self._settings = settings
        self._active_weight = 0.0
        self._virtual_time = 0.0
        self.shares = fair_shares.SpeedShares(settings)
        self._preferred_credit = 0.0
        self._credit_bound = 0.0
        self._fair: list[tuple[float, int, int]] = []
        self._preference = preference.Preference(settings)
        self._by_number: list[account_queue.AccountQueue] = []

    def add(
        self,
        line: account_queue.AccountQueue,
        waiting: account_queue.Waiting,
        now_s: float,
    ) -> None:
        """Let a request wait in the line of its account."""
        (_, _, cost, request) = waiting
        if not line.waiting:
            self._activate(line, request)
        line.add(waiting, now_s)
        self.waiting_count += 1
        self.waiting_tokens += cost

    def line(
        self, request: messages.AdmissionRequest
    ) -> account_queue.AccountQueue:
        """Return the line of a request's account."""
        line = self.lines.get(request.account)
        if line is not None:
            return line
        line = account_queue.AccountQueue(request.account, len(self._by_number))
        line.weight = request.weight
        line.penalty = request.penalty
        self.lines[request.account] = line
        self._by_number.append(line)
        self._preference.know(line)
        self.shares.know(line)
        return line

    def note_speed(self, tokens_per_s: float) -> None:
        """Take over the speed that is shared here."""
        self.shares.speed = tokens_per_s
        self._credit_bound = self._settings.preference_burst_s * tokens_per_s

    def fair_share(self, line: account_queue.AccountQueue) -> float:
        """Return the share of the lane that a line has by weight alone."""
        weight = self._active_weight
        if not line.waiting:
            weight += line.weight
        return line.weight / max(weight, line.weight)

    def turn_in_s(
        self, line: account_queue.AccountQueue, tokens_per_s: float
    ) -> float:
        """Return when a line's turn comes by fairness alone.

        The first in a line has nobody before it and yet waits: for as long as
        its account's last job was more than its share, or for the others.
        """
        if not self.waiting_count or tokens_per_s <= 0:
            return 0.0
        weight = self._active_weight
        if not line.waiting:
            weight += line.weight
        ahead = max(line.virtual_time - self._virtual_time, 0.0)
        # One job of each line that waits goes in a round; for long jobs that
        # is seconds, though nobody stands before the first of an account.
        cost = self.waiting_tokens / self.waiting_count
        around = MEAN_ROUND * cost / line.weight
        return max(ahead, around) * weight / tokens_per_s

    def choose(
        self, now_s: float
    ) -> tuple[account_queue.AccountQueue, bool] | None:
        """Return the account whose turn it is, and whether by preference."""
        if not self.waiting_count:
            return None
        if self._settings.preferred_share > 0 and self._preferred_credit >= 0:
            line = self._preference.first(now_s, self._preferred_rate)
            if line is not None:
                return line, True
        return self._first_fair(), False

    def take(
        self,
        line: account_queue.AccountQueue,
        *,
        by_preference: bool,
        now_s: float,
    ) -> account_queue.Waiting:
        """Remove the line's first request and charge the account for it."""
        entry = line.take_first()
        cost = entry[2]
        self._left(line, cost)
        line.served(cost, now_s)
        self._count_turn(cost, by_preference=by_preference)
        # A line that this emptied has left the active weight already.
        weight = max(self._active_weight, line.weight)
        self._virtual_time += cost / weight
        line.allowance.spend(cost)
        if by_preference:
            cost /= self._settings.preference_bound
        self.charge(line, cost)
        return entry

    def remove(
        self, line: account_queue.AccountQueue, priority: int, number: int
    ) -> account_queue.Waiting | None:
        """Remove one waiting request without serving it."""
        entry = line.remove(priority, number)
        if entry is not None:
            self._left(line, entry[2])
        return entry

    def remove_last(
        self, line: account_queue.AccountQueue
    ) -> account_queue.Waiting:
        """Remove the request of a line that would go last."""
        entry = line.take_last()
        self._left(line, entry[2])
        return entry

    def correct(self, line: account_queue.AccountQueue, cost: float) -> None:
        """Charge what was used beyond the estimate, or give it back.

        The lane's own time moves along: otherwise accounts that overstate
        would pull it ahead and be paid back a claim on the others.
        """
        weight = max(self._active_weight, line.weight)
        self._virtual_time += cost / weight
        self.charge(line, cost)

    def charge(self, line: account_queue.AccountQueue, cost: float) -> None:
        """Move an account's virtual time."""
        # An account that got less than its share for long would otherwise
        # hold a claim that shuts out the others for as long again.
        oldest = self._virtual_time
        oldest -= CLAIM_S * self.shares.speed / self.shares.weight
        line.virtual_time = max(line.virtual_time + cost / line.weight, oldest)
        line.version += 1
        if line.waiting:
            self._push_fair(line)

    def pass_by(
        self, line: account_queue.AccountQueue, cost: float, now_s: float
    ) -> None:
        """Charge a request that was admitted without waiting."""
        line.virtual_time = max(line.virtual_time, self._virtual_time)
        line.virtual_time += cost / line.weight
        line.served(cost, now_s)
        line.allowance.spend(cost)
        weight = max(self._active_weight, line.weight)
        self._virtual_time += cost / weight

    def _activate(
        self,
        line: account_queue.AccountQueue,
        request: messages.AdmissionRequest,
    ) -> None:
        # An account that was idle must not save up a claim: it would shut out
        # the others for as long as it was away.
        line.virtual_time = max(line.virtual_time, self._virtual_time)
        line.weight = max(request.weight, 1e-6)
        line.penalty = request.penalty
        line.version += 1
        self._active_weight += line.weight
        self._push_fair(line)
        self._preference.enter(line, request.priority)

    def _left(self, line: account_queue.AccountQueue, cost: float) -> None:
        self.waiting_count -= 1
        self.waiting_tokens -= cost
        if not line.waiting:
            self._active_weight -= line.weight
        if not self.waiting_count:
            self._reset()

    def _reset(self) -> None:
        self.waiting_tokens = 0.0
        self._active_weight = 0.0
        self._fair.clear()
        self._preference.clear()

    def _push_fair(self, line: account_queue.AccountQueue) -> None:
        heapq.heappush(
            self._fair, (line.virtual_time, line.number, line.version)
        )

    def _first_fair(self) -> account_queue.AccountQueue:
        while True:
            _, number, version = self._fair[0]
            line = self._by_number[number]
            if line.waiting and line.version == version:
                return line
            heapq.heappop(self._fair)

    def _preferred_rate(
        self, line: account_queue.AccountQueue, now_s: float
    ) -> float:
        return self._settings.preference_bound * self.shares.of(line, now_s)

    def _count_turn(self, cost: float, *, by_preference: bool) -> None:
        # The credit is bounded: turns that preference could not use must not
        # pile up into a long run of preferred service later.
        share = self._settings.preferred_share
        change = cost * share
        if by_preference:
            change -= cost
        bound = max(self._credit_bound, cost)
        credit = self._preferred_credit + change
        self._preferred_credit = min(max(credit, -bound), bound)
