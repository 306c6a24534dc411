"""One lane: weighted fair sharing between accounts, and preference by penalty.

Load pattern: demand above capacity from accounts of different weight, penalty
and demand. Without fair sharing, the account with the most demand gets all that
it asks for, and a request with a penalty waits behind one without.

Half of the service goes to the account that is furthest behind its fair share
(start-time fair queueing), so that none starves. The other half goes by
penalty, then priority (see preference.py). It is charged at only
1/preference_bound of its cost, since with the full charge the fair half would
take back what the preferred half gave.
"""

import heapq

from redwingvalve.admission import (
    account_queue,
    fair_shares,
    messages,
    preference,
)

# An account that got less than its share may claim at most this much service.
MAX_CLAIM_S = 1.0
# On average, a new job arrives in the middle of a round of all accounts.
MEAN_ROUND_SHARE = 0.5


class Lane:
    """The account queues of one lane; each operation is O(log accounts)."""

    def __init__(self, settings: messages.AdmissionSettings) -> None:
        """Start without accounts."""
        self.waiting_count = 0
        self.waiting_tokens = 0.0
        self.in_flight = 0
        self.accounts: dict[str, account_queue.AccountQueue] = {}
        self._settings = settings
        self._active_weight = 0.0
        self._virtual_time = 0.0
        self.shares = fair_shares.FairShares(settings)
        self._preferred_credit = 0.0
        self._credit_bound = 0.0
        self._fair: list[tuple[float, int, int]] = []
        self._preference = preference.PreferenceQueue(settings)
        self._by_number: list[account_queue.AccountQueue] = []

    def add(
        self,
        account: account_queue.AccountQueue,
        waiting: account_queue.QueuedRequest,
        now_s: float,
    ) -> None:
        """Add a request to the queue of its account."""
        (_, _, cost, request) = waiting
        if not account.waiting:
            self._activate(account, request)
        account.add(waiting, now_s)
        self.waiting_count += 1
        self.waiting_tokens += cost

    def account(
        self, request: messages.AdmissionRequest
    ) -> account_queue.AccountQueue:
        """Return the queue of the account of a request, created if missing."""
        account = self.accounts.get(request.account)
        if account is not None:
            return account
        account = account_queue.AccountQueue(
            request.account, len(self._by_number)
        )
        account.weight = request.weight
        account.penalty = request.penalty
        self.accounts[request.account] = account
        self._by_number.append(account)
        self._preference.add_account(account)
        self.shares.add_account(account)
        return account

    def set_speed(self, tokens_per_s: float) -> None:
        """Replace the speed that the accounts share."""
        self.shares.speed = tokens_per_s
        self._credit_bound = self._settings.preference_burst_s * tokens_per_s

    def fair_share(self, account: account_queue.AccountQueue) -> float:
        """Return the share of the lane that an account has by its weight."""
        weight = self._active_weight
        if not account.waiting:
            weight += account.weight
        return account.weight / max(weight, account.weight)

    def time_to_turn_s(
        self, account: account_queue.AccountQueue, tokens_per_s: float
    ) -> float:
        """Return the seconds until the turn of an account by fairness alone.

        The first request of an account waits too: as long as the last job of
        the account exceeded its share, or for the turns of the others.
        """
        if not self.waiting_count or tokens_per_s <= 0:
            return 0.0
        weight = self._active_weight
        if not account.waiting:
            weight += account.weight
        ahead = max(account.virtual_time - self._virtual_time, 0.0)
        # Each round serves one job of each account with queued requests; with
        # long jobs this takes seconds, even for the first of an account.
        cost = self.waiting_tokens / self.waiting_count
        round_part = MEAN_ROUND_SHARE * cost / account.weight
        return max(ahead, round_part) * weight / tokens_per_s

    def select(
        self, now_s: float
    ) -> tuple[account_queue.AccountQueue, bool] | None:
        """Return the next account to serve, and whether by preference."""
        if not self.waiting_count:
            return None
        if self._settings.preferred_share > 0 and self._preferred_credit >= 0:
            account = self._preference.first(now_s, self._preferred_rate)
            if account is not None:
                return account, True
        return self._first_fair(), False

    def dispatch(
        self,
        account: account_queue.AccountQueue,
        *,
        by_preference: bool,
        now_s: float,
    ) -> account_queue.QueuedRequest:
        """Remove the first request of an account and charge it."""
        entry = account.pop_first()
        cost = entry[2]
        self._record_removal(account, cost)
        account.record_dispatch(cost, now_s)
        self._update_credit(cost, by_preference=by_preference)
        # An account whose queue is now empty is no longer in the active weight.
        weight = max(self._active_weight, account.weight)
        self._virtual_time += cost / weight
        account.allowance.spend(cost)
        if by_preference:
            cost /= self._settings.preference_bound
        self.charge(account, cost)
        return entry

    def remove(
        self, account: account_queue.AccountQueue, priority: int, number: int
    ) -> account_queue.QueuedRequest | None:
        """Remove one queued request without serving it."""
        entry = account.remove(priority, number)
        if entry is not None:
            self._record_removal(account, entry[2])
        return entry

    def remove_last(
        self, account: account_queue.AccountQueue
    ) -> account_queue.QueuedRequest:
        """Remove the last request of an account."""
        entry = account.pop_last()
        self._record_removal(account, entry[2])
        return entry

    def correct(self, account: account_queue.AccountQueue, cost: float) -> None:
        """Charge the use beyond the estimate, or refund it if negative.

        The virtual time of the lane moves too: otherwise accounts that
        overestimate would advance it and get a claim on the others by refunds.
        """
        weight = max(self._active_weight, account.weight)
        self._virtual_time += cost / weight
        self.charge(account, cost)

    def charge(self, account: account_queue.AccountQueue, cost: float) -> None:
        """Advance the virtual time of an account."""
        # Without this limit, an account that got less than its share for some
        # time would block the others for as long again.
        earliest = self._virtual_time
        earliest -= MAX_CLAIM_S * self.shares.speed / self.shares.weight
        account.virtual_time = max(
            account.virtual_time + cost / account.weight, earliest
        )
        account.version += 1
        if account.waiting:
            self._push_fair(account)

    def admit_directly(
        self, account: account_queue.AccountQueue, cost: float, now_s: float
    ) -> None:
        """Charge a request that was admitted without queueing."""
        account.virtual_time = max(account.virtual_time, self._virtual_time)
        account.virtual_time += cost / account.weight
        account.record_dispatch(cost, now_s)
        account.allowance.spend(cost)
        weight = max(self._active_weight, account.weight)
        self._virtual_time += cost / weight

    def _activate(
        self,
        account: account_queue.AccountQueue,
        request: messages.AdmissionRequest,
    ) -> None:
        # An idle account must not accumulate a claim: it would block the
        # others for as long as it was idle.
        account.virtual_time = max(account.virtual_time, self._virtual_time)
        account.weight = max(request.weight, 1e-6)
        account.penalty = request.penalty
        account.version += 1
        self._active_weight += account.weight
        self._push_fair(account)
        self._preference.activate(account, request.priority)

    def _record_removal(
        self, account: account_queue.AccountQueue, cost: float
    ) -> None:
        self.waiting_count -= 1
        self.waiting_tokens -= cost
        if not account.waiting:
            self._active_weight -= account.weight
        if not self.waiting_count:
            self._reset()

    def _reset(self) -> None:
        self.waiting_tokens = 0.0
        self._active_weight = 0.0
        self._fair.clear()
        self._preference.clear()

    def _push_fair(self, account: account_queue.AccountQueue) -> None:
        heapq.heappush(
            self._fair, (account.virtual_time, account.number, account.version)
        )

    def _first_fair(self) -> account_queue.AccountQueue:
        while True:
            _, number, version = self._fair[0]
            account = self._by_number[number]
            if account.waiting and account.version == version:
                return account
            heapq.heappop(self._fair)

    def _preferred_rate(
        self, account: account_queue.AccountQueue, now_s: float
    ) -> float:
        return self._settings.preference_bound * self.shares.share_of(
            account, now_s
        )

    def _update_credit(self, cost: float, *, by_preference: bool) -> None:
        # The credit is bounded: unused preferred turns must not add up to a
        # long run of preferred service later.
        share = self._settings.preferred_share
        change = cost * share
        if by_preference:
            change -= cost
        bound = max(self._credit_bound, cost)
        credit = self._preferred_credit + change
        self._preferred_credit = min(max(credit, -bound), bound)
