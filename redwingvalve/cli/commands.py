"""The list of all commands."""

from redwingvalve.cli import (
    bench,
    check,
    daemons,
    demo,
    experiment,
    explain,
    losses,
    operate,
    options,
    report,
    soak,
    token,
    trace,
)

ALL: tuple[options.Command, ...] = (
    bench.BENCH,
    check.CHECK,
    demo.DEMO,
    *operate.ALL,
    *token.ALL,
    *daemons.ALL,
    experiment.EXPERIMENT,
    explain.EXPLAIN,
    losses.LOSSES,
    report.REPORT,
    soak.SOAK,
    trace.TRACE,
)
