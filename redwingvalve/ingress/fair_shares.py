"""Decides which client account is served next while slots are short.

Load pattern: for 2 to 10 seconds one large client account asks for 1.5 to 2.5
times the slots of a pool, beside many small ones. Ordered by age alone, each
account would get slots in proportion to what it asks for.

Everything here takes the time as an argument and uses no network.
"""

import math
import operator
from collections import abc as collections_abc

import attrs

# Time constant over which used slot time counts: about the length of a burst,
# so that an account that has held many slots gives way for some seconds.
USE_WINDOW_S = 4.0
# Time constant of the rate at which accounts are served.
RATE_WINDOW_S = 1.5
# Uses below this count as none; such an account is forgotten.
MIN_USE = 0.01


_first_since = operator.attrgetter('first_since')


@attrs.define
class _Use:
    """Slots that one account holds, and held lately on average."""

    held: int = 0
    average: float = 0.0
    updated_s: float = 0.0
    # Number of the last grant to the account.
    last_grant: int = 0

    def advance(self, now_s: float) -> float:
        """Bring the average up to date; return the use."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            decay = math.exp(-elapsed_s / USE_WINDOW_S)
            self.average = self.held + (self.average - self.held) * decay
            self.updated_s = now_s
        return self.held + self.average


@attrs.frozen
class Contender:
    """An account with a waiting request of the rank that is served next."""

    account: str
    # Number of the last grant when its first request became the next one.
    first_since: int


class AccountUses:
    """What client accounts hold and have used, by account.

    Accounts without a name count as one account.
    """

    def __init__(self) -> None:
        """Start without any use."""
        self._uses: dict[str, _Use] = {}
        # Number of the last grant to any account.
        self.last_grant = 0

    def __len__(self) -> int:
        """Return the number of accounts in use."""
        return len(self._uses)

    def change_held(self, account: str, by: int, now_s: float) -> None:
        """Count slots that an account starts or stops to hold."""
        use = self._uses.get(account)
        if use is None:
            use = _Use(updated_s=now_s)
            self._uses[account] = use
        use.advance(now_s)
        use.held = max(0, use.held + by)

    def record_grant(self, account: str) -> None:
        """Record that an account was served."""
        self.last_grant += 1
        use = self._uses.get(account)
        if use is not None:
            use.last_grant = self.last_grant

    def held(self, account: str) -> int:
        """Return how many slots an account holds."""
        use = self._uses.get(account)
        return use.held if use else 0

    def use(self, account: str, now_s: float) -> float:
        """Return the slots that an account holds, and held lately."""
        use = self._uses.get(account)
        return use.advance(now_s) if use else 0.0

    def equal_share(
        self, waiting: collections_abc.Collection[str], now_s: float
    ) -> float:
        """Return the use of each account if all used the same.

        waiting lists the accounts that wait for slots.
        """
        uses = self._uses.values()
        total = sum([use.advance(now_s) for use in uses])
        return total / max(len(self._uses.keys() | waiting), 1)

    def choose(
        self,
        contenders: collections_abc.Sequence[Contender],
        share: float,
        now_s: float,
    ) -> Contender:
        """Return the contender to serve next; share is the equal share.

        This is the one with the least use, unless it was served since another
        one that uses less than an equal share came to the front: that one
        waits for one request of each account at most.
        """
        known = self._uses
        uses = [
            use.advance(now_s) if (use := known.get(one.account)) else 0.0
            for one in contenders
        ]
        least = min(uses)
        # Equal uses, of new accounts for instance: the older request first.
        equal = [
            one
            for one, use in zip(contenders, uses, strict=True)
            if use == least
        ]
        chosen = min(equal, key=_first_since)
        if least >= share:
            return chosen
        served = self._last_grant(chosen.account)
        overtaken = [
            one
            for one, use in zip(contenders, uses, strict=True)
            if use < share and one.first_since < served
        ]
        return min(
            overtaken,
            key=lambda one: self._last_grant(one.account),
            default=chosen,
        )

    def drop_unused(self, now_s: float) -> None:
        """Forget accounts that hold nothing and have used nothing lately."""
        unused = [
            account
            for account, use in self._uses.items()
            if not use.held and use.advance(now_s) < MIN_USE
        ]
        for account in unused:
            self._uses.pop(account)

    def _last_grant(self, account: str) -> int:
        use = self._uses.get(account)
        return use.last_grant if use else 0


@attrs.define
class _Rate:
    served: float = 0.0
    updated_s: float = 0.0

    def advance(self, now_s: float) -> float:
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            self.served *= math.exp(-elapsed_s / RATE_WINDOW_S)
            self.updated_s = now_s
        return self.served / RATE_WINDOW_S


class ServiceRates:
    """How many requests per second are served, by urgency and account."""

    def __init__(self) -> None:
        """Start without served requests."""
        self._rates: dict[tuple[int, str], _Rate] = {}

    def record(self, urgency: int, account: str, now_s: float) -> None:
        """Count a request that got a slot while it could be on time."""
        rate = self._rates.setdefault((urgency, account), _Rate())
        rate.advance(now_s)
        rate.served += 1

    def passing_per_s(
        self, urgency: int, account: str, uses: AccountUses, now_s: float
    ) -> float:
        """Return how many requests per second pass a waiting one.

        These are more urgent ones, and those of accounts that use less.
        """
        own_use = uses.use(account, now_s)
        return sum(
            rate.advance(now_s)
            for (other_urgency, other), rate in self._rates.items()
            if other_urgency < urgency
            or (
                other_urgency == urgency
                and other != account
                and uses.use(other, now_s) < own_use
            )
        )

    def drop_unused(self, now_s: float) -> None:
        """Forget accounts that weren't served lately."""
        self._rates = {
            key: rate
            for key, rate in self._rates.items()
            if rate.advance(now_s) >= MIN_USE
        }
