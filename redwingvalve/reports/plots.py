"""PNG plots of experiments, with the baselines on the same axes.

Figures are created without pyplot, which keeps a reference to each figure it
creates. They are rendered by the Agg backend, which needs no display.
"""

import io
import typing

from matplotlib import figure

from redwingvalve.reports import results, summary

FIGURE_SIZE_INCHES = (9.0, 4.2)
DOTS_PER_INCH = 110
BAND_ALPHA = 0.15
BAR_GROUP_WIDTH = 0.8
PlotFunction = typing.Callable[[typing.Any, summary.Runs], None]


def _render_png(plot_function: PlotFunction, runs: summary.Runs) -> bytes:
    fig = figure.Figure(
        figsize=FIGURE_SIZE_INCHES, dpi=DOTS_PER_INCH, layout='constrained'
    )
    plot_function(fig, runs)
    buffer = io.BytesIO()
    fig.savefig(buffer, format='png')
    return buffer.getvalue()


def _latency_by_account(fig: typing.Any, runs: summary.Runs) -> None:
    axes = fig.subplots()
    accounts = sorted({name for run in runs for name in run.accounts})
    policies = summary.group_runs(runs, lambda run: run.policy)
    width = BAR_GROUP_WIDTH / max(1, len(policies))
    for index, (policy, policy_runs) in enumerate(policies.items()):
        spreads = [_p95_spread(policy_runs, account) for account in accounts]
        axes.bar(
            [position + index * width for position in range(len(accounts))],
            [spread.median for spread in spreads],
            width,
            label=policy,
            yerr=_error_bars(spreads),
            capsize=2,
        )
    axes.set_xticks(
        range(len(accounts)), accounts, rotation=20, ha='right', fontsize=8
    )
    axes.set_ylabel('time to first token, p95 (s)')
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
        [spread.median - spread.low for spread in spreads],
        [spread.high - spread.median for spread in spreads],
    ]


def _goodput_by_load(fig: typing.Any, runs: summary.Runs) -> None:
    axes = fig.subplots()
    rows = summary.summarize(runs)
    for policy in dict.fromkeys(row.policy for row in rows):
        policy_rows = sorted(
            (row for row in rows if row.policy == policy),
            key=lambda row: row.offered_per_s.median,
        )
        axes.errorbar(
            [row.offered_per_s.median for row in policy_rows],
            [row.goodput_per_s.median for row in policy_rows],
            yerr=_error_bars([row.goodput_per_s for row in policy_rows]),
            marker='o',
            capsize=3,
            label=policy,
        )
    axes.set_xlabel('requests offered per second')
    axes.set_ylabel('goodput (responses within target per second)')
    axes.set_ylim(bottom=0)
    axes.legend()


def _timeline_panels(fig: typing.Any, runs: summary.Runs) -> None:
    panels = fig.subplots(1, 3)
    for axes, (field, label) in zip(
        panels,
        (
            ('replicas_down', 'replicas down'),
            ('stranded_accelerators', 'stranded accelerators'),
            ('goodput_per_s', 'goodput (responses/s)'),
        ),
        strict=True,
    ):
        for policy, policy_runs in summary.group_runs(
            runs, lambda run: run.policy
        ).items():
            _plot_spread_over_time(axes, policy_runs, field, policy)
        axes.set_xlabel('time (s)')
        axes.set_title(label, fontsize=9)
        axes.set_ylim(bottom=0)
    panels[0].legend(fontsize=7)


def _plot_spread_over_time(
    axes: typing.Any, runs: summary.Runs, field: str, label: str
) -> None:
    """Draw the median over repetitions and a band from minimum to maximum."""
    timelines = [run.timeline for run in runs if run.timeline]
    if not timelines:
        return
    samples_by_time = list(zip(*timelines, strict=False))
    times_s = [samples_at_time[0].at_s for samples_at_time in samples_by_time]
    spreads = [
        summary.spread(getattr(sample, field) for sample in samples_at_time)
        for samples_at_time in samples_by_time
    ]
    line = axes.step(
        times_s,
        [spread.median for spread in spreads],
        where='post',
        label=label,
    )[0]
    axes.fill_between(
        times_s,
        [spread.low for spread in spreads],
        [spread.high for spread in spreads],
        step='post',
        alpha=BAND_ALPHA,
        color=line.get_color(),
    )


def _cost_by_size(fig: typing.Any, runs: summary.Runs) -> None:
    axes = fig.subplots()
    for policy, policy_runs in summary.group_runs(
        runs, lambda run: run.policy
    ).items():
        by_size = sorted(policy_runs, key=lambda run: run.size)
        axes.plot(
            [run.size for run in by_size],
            [100 * run.processor_s / run.duration_s for run in by_size],
            'o',
            label=policy,
        )
    axes.set_xlabel('replicas')
    axes.set_ylabel('CPU, % of one core')
    axes.set_ylim(bottom=0)
    axes.legend()


PLOTS: tuple[tuple[str, str, PlotFunction], ...] = (
    ('latency', 'Latency by account', _latency_by_account),
    ('goodput', 'Goodput by offered load', _goodput_by_load),
    (
        'timeline',
        'Downtime, stranded accelerators and goodput over time',
        _timeline_panels,
    ),
    ('cost', 'CPU cost by number of replicas', _cost_by_size),
)


def draw_all(runs: summary.Runs) -> dict[str, bytes]:
    """Return the plots of one experiment as PNG images, by short name."""
    return {
        name: _render_png(plot_function, runs)
        for name, _, plot_function in PLOTS
    }
