"""Experiment results as JSON lines, one line for each run.

A line holds the run's policy, seed and load, the results of each account and
a timeline. Latencies are stored as encoded HDR histograms, so that repetitions
can be merged without losing the tails of their distributions.
"""

import json
import pathlib
import typing
from collections import abc as collections_abc

import attrs
import cattrs
from hdrh import histogram

MIN_LATENCY_US = 100
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


@attrs.define
class AccountResult:
    """Request counts and latencies of one account.

    in_target counts complete responses whose first token arrived within the
    account's target, late the other complete ones. first_token is the encoded
    histogram of the time to the first token, in microseconds.
    """

    sent: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    first_token: str = ''


@attrs.frozen
class TimelineSample:
    """One sample of a run's timeline; at_s is the time since its start."""

    at_s: float
    replicas_down: int = 0
    stranded_accelerators: int = 0
    goodput_per_s: float = 0.0


@attrs.frozen
class RunResult:
    """One run of one policy.

    load is a multiple of the request rates in the experiment file.
    """

    experiment: str
    policy: str
    seed: int
    repetition: int
    load: float
    duration_s: float
    accounts: dict[str, AccountResult]
    timeline: tuple[TimelineSample, ...] = ()
    size: int = 0
    downtime_s: float = 0.0
    stranded_s: float = 0.0
    processor_s: float = 0.0

    @property
    def goodput_per_s(self) -> float:
        """Return complete responses within target per second, all accounts."""
        served = sum(row.in_target for row in self.accounts.values())
        return served / self.duration_s

    @property
    def offered_per_s(self) -> float:
        """Return requests sent per second, all accounts."""
        sent = sum(row.sent for row in self.accounts.values())
        return sent / self.duration_s


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram in microseconds, 100 us to ten minutes."""
    return histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )


def record_s(latencies: histogram.HdrHistogram, duration_s: float) -> None:
    """Record a duration, clamped to the range of the histogram."""
    recorded_us = min(
        MAX_LATENCY_US, max(MIN_LATENCY_US, duration_s * US_PER_S)
    )
    latencies.record_value(int(recorded_us))


def encode_histogram(latencies: histogram.HdrHistogram) -> str:
    """Return a histogram in its compressed, base64-encoded form."""
    return str(latencies.encode().decode())


def percentile_s(
    encoded: collections_abc.Iterable[str], percentile: float
) -> float:
    """Return a percentile of the merged histograms; 0.0 if they are empty."""
    merged = make_histogram()
    for serialized in encoded:
        if serialized:
            merged.decode_and_add(serialized)
    if not merged.get_total_count():
        return 0.0
    return float(merged.get_value_at_percentile(percentile)) / US_PER_S


def to_json_line(result: RunResult) -> str:
    """Return a run as one JSON line, without the newline."""
    return json.dumps(cattrs.unstructure(result))


def read_file(file_name: str) -> tuple[RunResult, ...]:
    """Return the runs in a results file.

    Raises OSError if it cannot be read, ValueError if a line is not a run.
    """
    rows = pathlib.Path(file_name).read_text(encoding='utf-8').splitlines()
    return tuple(_read_row(row) for row in rows if row.strip())


def _read_row(row: str) -> RunResult:
    parsed: typing.Any = json.loads(row)
    try:
        return cattrs.structure(parsed, RunResult)
    except (cattrs.BaseValidationError, TypeError, KeyError) as error:
        raise ValueError(f'invalid run result: {error}') from error
