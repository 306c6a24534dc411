"""Preferred service of accounts by penalty, within an allowance.

An account is preferred while it has an allowance, which grows at
preference_bound times its share among all recent accounts and is spent by all
of its service. Without this limit, an account with a high penalty and high
demand would displace those with moderate demand.
"""

import heapq
from collections import abc as collections_abc

from redwingvalve.admission import account_queue, messages

# Minimum time until an account without allowance is checked again.
MIN_DEFER_S = 0.001

RateFunction = collections_abc.Callable[
    [account_queue.AccountQueue, float], float
]


# Negative penalty, negative priority, virtual time (accounts that are equal in
# the first two take turns) and account number.
HeapEntry = tuple[float, int, float, int]


class PreferenceQueue:
    """Accounts by penalty, then priority; operations are O(log accounts)."""

    def __init__(self, settings: messages.AdmissionSettings) -> None:
        """Start without accounts."""
        self._settings = settings
        self._accounts: list[account_queue.AccountQueue] = []
        self._ready: list[HeapEntry] = []
        self._deferred: list[tuple[float, HeapEntry]] = []

    def add_account(self, account: account_queue.AccountQueue) -> None:
        """Add an account; its number is its index."""
        self._accounts.append(account)

    def activate(
        self, account: account_queue.AccountQueue, priority: int
    ) -> None:
        """Add an account with queued requests to the heap."""
        if account.is_listed:
            return
        account.is_listed = True
        heapq.heappush(
            self._ready,
            (-account.penalty, -priority, account.virtual_time, account.number),
        )

    def first(
        self, now_s: float, rate: RateFunction
    ) -> account_queue.AccountQueue | None:
        """Return the account with the highest penalty and an allowance.

        rate returns the rate at which an allowance grows.
        """
        while self._deferred and self._deferred[0][0] <= now_s:
            heapq.heappush(self._ready, heapq.heappop(self._deferred)[1])
        while self._ready:
            entry = self._ready[0]
            account = self._accounts[entry[3]]
            if not account.waiting:
                heapq.heappop(self._ready)
                account.is_listed = False
            elif entry[2] < account.virtual_time:
                updated = (entry[0], entry[1], account.virtual_time, entry[3])
                heapq.heapreplace(self._ready, updated)
            elif self._has_allowance(account, now_s, rate):
                return account
            else:
                heapq.heappop(self._ready)
                retry_at_s = now_s + account.allowance.wait_s() + MIN_DEFER_S
                heapq.heappush(self._deferred, (retry_at_s, entry))
        return None

    def _has_allowance(
        self,
        account: account_queue.AccountQueue,
        now_s: float,
        rate: RateFunction,
    ) -> bool:
        account.allowance.refill(
            rate(account, now_s), self._settings.preference_burst_s, now_s
        )
        return account.allowance.level > 0

    def clear(self) -> None:
        """Clear the heap once no request is queued."""
        self._ready.clear()
        self._deferred.clear()
        for account in self._accounts:
            account.is_listed = False
