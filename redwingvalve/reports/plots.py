"""PNG plots of experiments; the baselines stand on the same axes.

Figures are made without pyplot, whose registry would keep every one of them;
such a figure is drawn by the Agg canvas, which needs no display.
"""

import io
import typing

from matplotlib import figure

from redwingvalve.reports import results, summary

SIZE_INCHES = (9.0, 4.2)
DOTS_PER_INCH = 110
BAND_ALPHA = 0.15
BAR_GROUP_WIDTH = 0.8
Drawer = typing.Callable[[typing.Any, summary.Runs], None]


def _draw(drawer: Drawer, runs: summary.Runs) -> bytes:
    drawing = figure.Figure(
        figsize=SIZE_INCHES, dpi=DOTS_PER_INCH, layout='constrained'
    )
    drawer(drawing, runs)
    png = io.BytesIO()
    drawing.savefig(png, format='png')
    return png.getvalue()


def _latency_by_account(drawing: typing.Any, runs: summary.Runs) -> None:
    axes = drawing.subplots()
    accounts = sorted({name for run in runs for name in run.accounts})
    policies = summary.group_runs(runs, lambda run: run.policy)
    width = BAR_GROUP_WIDTH / max(1, len(policies))
    for index, (policy, same) in enumerate(policies.items()):
        spreads = [_p95_spread(same, account) for account in accounts]
        axes.bar(
            [place + index * width for place in range(len(accounts))],
            [held.median for held in spreads],
            width,
            label=policy,
            yerr=_error_bars(spreads),
            capsize=2,
        )
    axes.set_xticks(
        range(len(accounts)), accounts, rotation=20, ha='right', fontsize=8
    )
    axes.set_ylabel('first token p95 (s)')
    axes.legend()


def _p95_spread(runs: summary.Runs, account: str) -> summary.Spread:
    return summary.spread(
        results.percentile_s((run.accounts[account].first_token,), 95.0)
        if account in run.accounts
        else 0.0
        for run in runs
    )


def _error_bars(spreads: list[summary.Spread]) -> list[list[float]]:
    return [
        [held.median - held.low for held in spreads],
        [held.high - held.median for held in spreads],
    ]


def _goodput_against_load(drawing: typing.Any, runs: summary.Runs) -> None:
    axes = drawing.subplots()
    rows = summary.summarize(runs)
    for policy in dict.fromkeys(row.policy for row in rows):
        same = sorted(
            (row for row in rows if row.policy == policy),
            key=lambda row: row.offered_per_s.median,
        )
        axes.errorbar(
            [row.offered_per_s.median for row in same],
            [row.goodput_per_s.median for row in same],
            yerr=_error_bars([row.goodput_per_s for row in same]),
            marker='o',
            capsize=3,
            label=policy,
        )
    axes.set_xlabel('requests offered a second')
    axes.set_ylabel('served within target a second')
    axes.set_ylim(bottom=0)
    axes.legend()


def _over_time(drawing: typing.Any, runs: summary.Runs) -> None:
    panels = drawing.subplots(1, 3)
    for axes, (field, label) in zip(
        panels,
        (
            ('replicas_down', 'replicas down'),
            ('stranded_accelerators', 'stranded accelerators'),
            ('goodput_per_s', 'served within target a second'),
        ),
        strict=True,
    ):
        for policy, same in summary.group_runs(
            runs, lambda run: run.policy
        ).items():
            _draw_band(axes, same, field, policy)
        axes.set_xlabel('s')
        axes.set_title(label, fontsize=9)
        axes.set_ylim(bottom=0)
    panels[0].legend(fontsize=7)


def _draw_band(
    axes: typing.Any, runs: summary.Runs, field: str, label: str
) -> None:
    """Draw the median over repetitions and the band between their ends."""
    lines = [run.timeline for run in runs if run.timeline]
    if not lines:
        return
    moments = list(zip(*lines, strict=False))
    times = [samples[0].at_s for samples in moments]
    spreads = [
        summary.spread(getattr(sample, field) for sample in samples)
        for samples in moments
    ]
    drawn = axes.step(
        times, [held.median for held in spreads], where='post', label=label
    )[0]
    axes.fill_between(
        times,
        [held.low for held in spreads],
        [held.high for held in spreads],
        step='post',
        alpha=BAND_ALPHA,
        color=drawn.get_color(),
    )


def _cost_against_size(drawing: typing.Any, runs: summary.Runs) -> None:
    axes = drawing.subplots()
    for policy, same in summary.group_runs(
        runs, lambda run: run.policy
    ).items():
        ordered = sorted(same, key=lambda run: run.size)
        axes.plot(
            [run.size for run in ordered],
            [100 * run.processor_s / run.duration_s for run in ordered],
            'o',
            label=policy,
        )
    axes.set_xlabel('replicas')
    axes.set_ylabel('processor, % of a core')
    axes.set_ylim(bottom=0)
    axes.legend()


PLOTS: tuple[tuple[str, str, Drawer], ...] = (
    ('latency', 'Latency by account', _latency_by_account),
    ('goodput', 'Goodput against load', _goodput_against_load),
    ('timeline', 'Downtime, stranded accelerators and goodput', _over_time),
    ('cost', 'Cost against size', _cost_against_size),
)


def draw_all(runs: summary.Runs) -> dict[str, bytes]:
    """Return every plot of one experiment as PNG, by its short name."""
    return {name: _draw(drawer, runs) for name, _, drawer in PLOTS}
