"""Open load of an experiment: requests come whether answers come or not."""

import random
import time
from collections import abc as collections_abc

import anyio

from redwingvalve.bench import experiment_file
from redwingvalve.core import outcomes
from redwingvalve.reports import results
from redwingvalve.soak import callers, records, workload

SAMPLE_S = 1.0
Records = collections_abc.Sequence[records.Record]


class AccountLoad:
    """One account's requests, each sent once by a caller of its own."""

    def __init__(
        self,
        account: experiment_file.Account,
        bursts: collections_abc.Iterable[experiment_file.Burst],
        caller: callers.Caller,
        chance: random.Random,
    ) -> None:
        """Send through one caller, which keeps discovery's answers."""
        self.account = account
        self.caller = caller
        self._bursts = [
            burst for burst in bursts if burst.account == account.name
        ]
        self._chance = chance

    async def run(self, load: float, duration_s: float) -> None:
        """Send at the account's rate times load; wait for the answers."""
        started_s = anyio.current_time()
        at_s = 0.0
        kinds = list(self.account.kinds)
        shares = list(self.account.kinds.values())
        async with anyio.create_task_group() as group:
            while True:
                rate = load * self.rate_at(at_s)
                at_s += self._chance.expovariate(rate)
                if at_s >= duration_s:
                    return
                await anyio.sleep_until(started_s + at_s)
                kind = self._chance.choices(kinds, shares)[0]
                group.start_soon(self.caller.call, workload.Kind(kind), '', 1)

    def rate_at(self, at_s: float) -> float:
        """Return requests a second at a moment, bursts included."""
        rate = self.account.requests_per_s
        for burst in self._bursts:
            if burst.from_s <= at_s < burst.to_s:
                rate *= burst.factor
        return rate


def judge(
    seen: Records, account: experiment_file.Account
) -> results.AccountResult:
    """Return what an account received."""
    result = results.AccountResult(sent=len(seen))
    held = results.make_histogram()
    for record in seen:
        attempt = record.attempts[0]
        if attempt.whole:
            waited_s = _waited_s(record)
            results.record_s(held, waited_s)
            timely = waited_s <= account.first_token_target_s
            result.in_target += timely
            result.late += not timely
        elif attempt.outcome == outcomes.Outcome.NOT_RUN:
            result.refused += 1
        else:
            result.failed += 1
    result.first_token = results.encode_histogram(held)
    return result


def goodput_by_second(
    judged: collections_abc.Iterable[tuple[Records, experiment_file.Account]],
    started_s: float,
    duration_s: float,
) -> list[float]:
    """Return the requests served within target by the second they came."""
    counts = [0.0 for _ in range(int(duration_s / SAMPLE_S) + 1)]
    for seen, account in judged:
        for record in seen:
            attempt = record.attempts[0]
            second = int((attempt.started_s - started_s) / SAMPLE_S)
            timely = _waited_s(record) <= account.first_token_target_s
            if attempt.whole and timely and second < len(counts):
                counts[second] += 1 / SAMPLE_S
    return counts


def _waited_s(record: records.Record) -> float:
    attempt = record.attempts[0]
    if attempt.first_token_s:
        return attempt.first_token_s
    return (attempt.ended_s or time.time()) - attempt.started_s
