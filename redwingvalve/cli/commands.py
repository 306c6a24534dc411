"""The list of all commands."""

from redwingvalve.cli import (
    bench,
    check,
    check_configuration,
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
    check_configuration.CHECK_CONFIGURATION,
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
