"""The bench command: measures the decision logic against baselines."""

import argparse
import types
import typing
from collections import abc as collections_abc

from redwingvalve.bench import (
    control_cost_report,
    relay_cost,
    relay_report,
    replicas_report,
    request_cost,
    request_path,
    spread,
)
from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status

Bench = collections_abc.Callable[[int, str, typing.TextIO], None]


def _request_path(seed: int, output: str, stream: typing.TextIO) -> None:
    request_path.write_report(request_path.run_bench(seed), output, stream)


def _relay_cost(seed: int, output: str, stream: typing.TextIO) -> None:
    relay_report.write_report(relay_cost.measure_all(), output, stream)


# Benchmarks called with the seed, the output format and the output stream.
BENCHES: collections_abc.Mapping[str, Bench] = types.MappingProxyType(
    {
        'request-path': _request_path,
        'relay-cost': _relay_cost,
        'request-cost': request_cost.write_report,
        'replicas': replicas_report.write_report,
    }
)


# Benchmarks that define their own command-line options.
BENCHES_WITH_OPTIONS: collections_abc.Mapping[str, options.Runner] = (
    types.MappingProxyType(
        {
            'control-cost': control_cost_report.run_control_cost,
            'spread': spread.run_spread,
        }
    )
)


def run_bench(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Run one benchmark and print its results."""
    run_with_options = BENCHES_WITH_OPTIONS.get(arguments.bench)
    if run_with_options is not None:
        return run_with_options(arguments, surroundings)
    bench = BENCHES[arguments.bench]
    bench(arguments.seed, arguments.output, surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


BENCH = options.Command(
    name='bench',
    help='measure the decision logic against simple baselines',
    example='redwingvalve bench request-path --seed 1 --output json',
    run=run_bench,
    options=(
        options.Option(
            dest='bench',
            help='the benchmark to run',
            choices=(*BENCHES, *BENCHES_WITH_OPTIONS),
        ),
        options.flag(
            'seed',
            'seed of the generated load; the same seed gives the same load',
            1,
            int,
        ),
        *control_cost_report.OPTIONS,
        *spread.OPTIONS,
        options.OUTPUT,
    ),
)
