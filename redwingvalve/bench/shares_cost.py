"""What shares of account limits cost an entry: bytes heard and processor time.

Entries decide in virtual time and hear each other's reports at once, so that
only the decision and the size of what is said are measured.
"""

import time

import attrs

from redwingvalve.limits import account_limits

ACCOUNTS = 100
LIMIT_PER_S = 5000.0
# Of each account's limit that its callers ask for in all.
DEMAND_SHARE = 0.6
# Accounts whose callers all come to one entry in five, as to one region.
SKEWED_ACCOUNTS = 10
SKEWED_PART = 5
UPDATE_EVERY_S = 0.5
ROUNDS = 16
MEASURED_ROUNDS = 4
MS_PER_S = 1000


@attrs.frozen
class SharesCost:
    """What one of size entries spends and hears a second."""

    size: int
    skewed: bool
    processor_ms: float
    heard_bytes: float
    unmet_share: float


def measure(size: int, *, skewed: bool) -> SharesCost:
    """Run size entries for ROUNDS updates and return the last ones' cost."""
    limits_per_s = {
        f'account-{index:03d}': LIMIT_PER_S for index in range(ACCOUNTS)
    }
    entries = {
        f'entry-{index:03d}': account_limits.make_account_limits(
            f'entry-{index:03d}'
        )
        for index in range(size)
    }
    for each in entries.values():
        each.replace_limits(limits_per_s)
    demands = _demands(tuple(entries), tuple(limits_per_s), skewed=skewed)
    spent_s, said_bytes = _run(entries, demands)
    return SharesCost(
        size=size,
        skewed=skewed,
        processor_ms=spent_s
        * MS_PER_S
        / (MEASURED_ROUNDS * UPDATE_EVERY_S * size),
        heard_bytes=said_bytes * (size - 1) / size,
        unmet_share=_unmet_share(entries, demands, ROUNDS * UPDATE_EVERY_S),
    )


def _run(
    entries: dict[str, account_limits.AccountLimits],
    demands: dict[tuple[str, str], float],
) -> tuple[float, int]:
    """Return the time of the last rounds and the bytes said in the last."""
    bodies = dict.fromkeys(entries, b'')
    spent_s = 0.0
    for turn in range(ROUNDS):
        now_s = turn * UPDATE_EVERY_S
        _ask(entries, demands, now_s)
        started_s = time.process_time()
        bodies = _update(entries, bodies, now_s)
        if turn >= ROUNDS - MEASURED_ROUNDS:
            spent_s += time.process_time() - started_s
    return spent_s, sum(map(len, bodies.values()))


def _demands(
    names: tuple[str, ...], accounts: tuple[str, ...], *, skewed: bool
) -> dict[tuple[str, str], float]:
    """Return what each entry's callers ask a second of each account."""
    few = names[: max(len(names) // SKEWED_PART, 1)]
    demands: dict[tuple[str, str], float] = {}
    for index, account in enumerate(accounts):
        chosen = few if skewed and index < SKEWED_ACCOUNTS else names
        each_per_s = LIMIT_PER_S * DEMAND_SHARE / len(chosen)
        demands.update({(name, account): each_per_s for name in chosen})
    return demands


def _ask(
    entries: dict[str, account_limits.AccountLimits],
    demands: dict[tuple[str, str], float],
    now_s: float,
) -> None:
    for (name, account), demand_per_s in demands.items():
        entries[name].ask(account, demand_per_s * UPDATE_EVERY_S, now_s)


def _update(
    entries: dict[str, account_limits.AccountLimits],
    bodies: dict[str, bytes],
    now_s: float,
) -> dict[str, bytes]:
    names = tuple(entries)
    return {
        name: each.update(
            names,
            [(other, bodies[other], 0.1) for other in names if other != name],
            now_s,
        )
        for name, each in entries.items()
    }


def _unmet_share(
    entries: dict[str, account_limits.AccountLimits],
    demands: dict[tuple[str, str], float],
    now_s: float,
) -> float:
    """Return the part of demand that no share covers."""
    unmet = sum(
        max(demand_per_s - entries[name].usable_per_s(account, now_s), 0.0)
        for (name, account), demand_per_s in demands.items()
    )
    return unmet / sum(demands.values())
