"""The request-path bench: eight load patterns, ours against baselines.

Everything runs in virtual time from a seed, so the figures of callers are the
same on every machine; only the costs of decisions are measured by the clock.
"""

import json
import typing

import attrs

from redwingvalve.bench import request_path_cases as cases
from redwingvalve.bench import request_path_costs as costs
from redwingvalve.bench import request_path_entries as entries
from redwingvalve.bench import request_path_run as run

COLUMNS = (
    ('goodput', 'goodput_share_of_capacity'),
    ('in target', 'in_target_share'),
    ('innocent', 'innocent_in_target_share'),
    ('short', 'short_in_target_share'),
    ('worst acc', 'worst_account_share'),
    ('penalties', 'penalties'),
    ('refused', 'refused_share'),
    ('wrongly', 'wrongly_refused_share'),
    ('late ref', 'late_refusal_share'),
    ('first p50', 'first_token_p50_s'),
    ('first p95', 'first_token_p95_s'),
    ('sends', 'sends_per_request'),
    ('failed', 'failed'),
    ('deaths', 'deaths'),
)


@attrs.frozen
class Report:
    """All figures of one bench run."""

    seed: int
    figures: tuple[run.Figures, ...]
    costs: tuple[costs.Cost, ...]


def run_bench(seed: int) -> Report:
    """Run all cases under all arrangements."""
    figures = [
        run.run_case(case, arrangement, seed)
        for case in cases.CASES
        for arrangement in entries.ARRANGEMENTS
    ]
    return Report(seed, tuple(figures), costs.measure_costs(seed))


def write_report(report: Report, output: str, stream: typing.TextIO) -> None:
    """Write a report as a table or as JSON."""
    if output == 'json':
        print(json.dumps(attrs.asdict(report)), file=stream)
        return
    for case in cases.CASES:
        print(f'\ncase {case.number}: {case.name}', file=stream)
        titles = ' '.join(f'{title:>9}' for title, _ in COLUMNS)
        print(f'{"":20} {titles}', file=stream)
        for figures in report.figures:
            if figures.case == case.number:
                print(_row(figures), file=stream)
    print(file=stream)
    for line in costs.format_costs(report.costs):
        print(line, file=stream)


def _row(figures: run.Figures) -> str:
    values = ' '.join(f'{getattr(figures, field):9.3f}' for _, field in COLUMNS)
    return f'{figures.arrangement:20} {values}'
