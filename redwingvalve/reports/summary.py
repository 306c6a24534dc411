"""Groups runs by experiment, policy and load, with their spread."""

import collections
import statistics
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.reports import results

Runs = collections_abc.Sequence[results.RunResult]
Key = collections_abc.Callable[[results.RunResult], typing.Any]


@attrs.frozen
class Spread:
    """The middle and the ends over repetitions."""

    median: float
    low: float
    high: float


@attrs.frozen
class PolicyRow:
    """One line of the report's table."""

    policy: str
    load: float
    runs: int
    offered_per_s: Spread
    goodput_per_s: Spread
    downtime_s: Spread
    stranded_s: Spread
    processor_s: Spread
    first_token_p95_s: float


def spread(figures: collections_abc.Iterable[float]) -> Spread:
    """Return the spread of at least one figure."""
    ordered = sorted(figures)
    return Spread(statistics.median(ordered), ordered[0], ordered[-1])


def group(runs: Runs, key: Key) -> dict[typing.Any, list[results.RunResult]]:
    """Return the runs by key, keys in the order of their first run."""
    grouped: dict[typing.Any, list[results.RunResult]] = (
        collections.defaultdict(list)
    )
    for run in runs:
        grouped[key(run)].append(run)
    return dict(grouped)


def table(runs: Runs) -> tuple[PolicyRow, ...]:
    """Return one row for each policy and load."""
    grouped = group(runs, lambda run: (run.policy, run.load))
    return tuple(
        _row(policy, load, same) for (policy, load), same in grouped.items()
    )


def _row(policy: str, load: float, same: Runs) -> PolicyRow:
    return PolicyRow(
        policy=policy,
        load=load,
        runs=len(same),
        offered_per_s=spread(run.offered_per_s for run in same),
        goodput_per_s=spread(run.goodput_per_s for run in same),
        downtime_s=spread(run.downtime_s for run in same),
        stranded_s=spread(run.stranded_s for run in same),
        processor_s=spread(run.processor_s for run in same),
        first_token_p95_s=results.percentile_s(
            (row.first_token for run in same for row in run.accounts.values()),
            95.0,
        ),
    )
