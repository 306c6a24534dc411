"""Groups runs by a key and summarizes them by policy and load."""

import collections
import statistics
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.reports import results

Runs = collections_abc.Sequence[results.RunResult]
KeyFunction = collections_abc.Callable[[results.RunResult], typing.Any]


@attrs.frozen
class Spread:
    """Median, minimum and maximum over repetitions."""

    median: float
    low: float
    high: float


@attrs.frozen
class PolicyRow:
    """One row of the report's table: all runs of one policy and load."""

    policy: str
    load: float
    runs: int
    offered_per_s: Spread
    goodput_per_s: Spread
    downtime_s: Spread
    stranded_s: Spread
    processor_s: Spread
    first_token_p95_s: float


def spread(values: collections_abc.Iterable[float]) -> Spread:
    """Return the spread of the values, of which there is at least one."""
    ordered = sorted(values)
    return Spread(statistics.median(ordered), ordered[0], ordered[-1])


def group_runs(
    runs: Runs, key: KeyFunction
) -> dict[typing.Any, list[results.RunResult]]:
    """Group runs by key, in the order in which the keys first appear."""
    grouped: dict[typing.Any, list[results.RunResult]] = (
        collections.defaultdict(list)
    )
    for run in runs:
        grouped[key(run)].append(run)
    return dict(grouped)


def summarize(runs: Runs) -> tuple[PolicyRow, ...]:
    """Return one row for each policy and load."""
    grouped = group_runs(runs, lambda run: (run.policy, run.load))
    return tuple(
        _summarize_policy(policy, load, policy_runs)
        for (policy, load), policy_runs in grouped.items()
    )


def _summarize_policy(policy: str, load: float, policy_runs: Runs) -> PolicyRow:
    return PolicyRow(
        policy=policy,
        load=load,
        runs=len(policy_runs),
        offered_per_s=spread(run.offered_per_s for run in policy_runs),
        goodput_per_s=spread(run.goodput_per_s for run in policy_runs),
        downtime_s=spread(run.downtime_s for run in policy_runs),
        stranded_s=spread(run.stranded_s for run in policy_runs),
        processor_s=spread(run.processor_s for run in policy_runs),
        first_token_p95_s=results.percentile_s(
            (
                account.first_token
                for run in policy_runs
                for account in run.accounts.values()
            ),
            95.0,
        ),
    )
