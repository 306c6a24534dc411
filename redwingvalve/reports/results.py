"""Results of experiments as JSON lines: one row for each run.

A row holds the run's policy, seed and load, what each account received, and a
time line. Latencies travel as encoded HDR histograms, so that repetitions can
be added without losing their tails.
"""

import json
import pathlib
import typing
from collections import abc as collections_abc

import attrs
import cattrs
from hdrh import histogram

LOWEST_US = 100
HIGHEST_US = 600_000_000
DIGITS = 3
US_PER_S = 1_000_000


@attrs.define
class AccountResult:
    """What one account received; in_target counts whole and timely answers.

    first_token holds the encoded histogram in microseconds.
    """

    sent: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    first_token: str = ''


@attrs.frozen
class TimelineSample:
    """One sample of the time line; at_s counts from the start."""

    at_s: float
    replicas_down: int = 0
    stranded_accelerators: int = 0
    goodput_per_s: float = 0.0


@attrs.frozen
class RunResult:
    """One run of one policy; load is relative to the file's rate."""

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
        """Return timely whole answers a second over all accounts."""
        served = sum(row.in_target for row in self.accounts.values())
        return served / self.duration_s

    @property
    def offered_per_s(self) -> float:
        """Return requests a second over all accounts."""
        sent = sum(row.sent for row in self.accounts.values())
        return sent / self.duration_s


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds, up to ten minutes."""
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def record_s(into: histogram.HdrHistogram, duration_s: float) -> None:
    """Record a duration; what is out of range counts as its bound."""
    recorded_us = min(HIGHEST_US, max(LOWEST_US, duration_s * US_PER_S))
    into.record_value(int(recorded_us))


def encode_histogram(held: histogram.HdrHistogram) -> str:
    """Return a histogram as text."""
    return str(held.encode().decode())


def percentile_s(
    encoded: collections_abc.Iterable[str], percentile: float
) -> float:
    """Return a percentile over several histograms; 0.0 without values."""
    total = make_histogram()
    for text in encoded:
        if text:
            total.decode_and_add(text)
    if not total.get_total_count():
        return 0.0
    return float(total.get_value_at_percentile(percentile)) / US_PER_S


def to_json_line(result: RunResult) -> str:
    """Return a run as one JSON line without its end."""
    return json.dumps(cattrs.unstructure(result))


def read_file(file_name: str) -> tuple[RunResult, ...]:
    """Return the runs of a file; OSError or ValueError when it is none."""
    rows = pathlib.Path(file_name).read_text(encoding='utf-8').splitlines()
    return tuple(_read_row(row) for row in rows if row.strip())


def _read_row(row: str) -> RunResult:
    parsed: typing.Any = json.loads(row)
    try:
        return cattrs.structure(parsed, RunResult)
    except (cattrs.BaseValidationError, TypeError, KeyError) as error:
        raise ValueError(f'this is no result of a run: {error}') from error
