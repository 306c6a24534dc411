"""The soak command: randomised fault injection on a fleet in one process."""

import argparse
import json
import logging

import anyio
import uvloop

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status, invariants
from redwingvalve.observability import logs

FAULT_SEPARATOR = ','


def run_soak(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Run one seed; the exit status tells whether a guarantee was violated."""
    # Imported here: only this command needs the simulators.
    from redwingvalve.soak import daemons, fleet_run, report, runner, schedule

    try:
        run_options = fleet_run.Options(
            seed=arguments.seed,
            duration_s=arguments.duration_s,
            callers=arguments.callers,
            only=frozenset(
                map(schedule.FaultName, _split_names(arguments.only))
            ),
            disabled=tuple(
                map(invariants.Safeguard, _split_names(arguments.disable))
            ),
        )
    except ValueError as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    logs.configure('ERROR', surroundings.stderr, 'soak')
    # Killing a daemon by cancelling its tasks makes asyncio's streams log
    # errors that a killed process would not.
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    outcome = anyio.run(
        runner.run_soak,
        run_options,
        daemons.LocalDaemons,
        backend_options={'loop_factory': uvloop.new_event_loop},
    )
    for line in report.breach_lines(outcome):
        print(line, file=surroundings.stderr)
    print(json.dumps(report.summarize(outcome)), file=surroundings.stdout)
    if outcome.breaches:
        return exit_status.ExitStatus.BREACH
    return exit_status.ExitStatus.SUCCESS


def _split_names(text: str) -> list[str]:
    return [name for name in text.split(FAULT_SEPARATOR) if name]


SOAK = options.Command(
    name='soak',
    help='inject random faults into a fleet and check every guarantee',
    example='redwingvalve soak --seed 7 --duration-s 120',
    run=run_soak,
    options=(
        options.flag(
            'seed', 'seed of the fault schedule and of the requests', 1, int
        ),
        options.flag(
            'duration_s',
            'how long clients send requests, in seconds',
            60.0,
            float,
        ),
        options.flag('callers', 'number of concurrent clients', 10, int),
        options.flag(
            'only',
            'comma-separated faults to schedule (default: all)',
            '',
        ),
        options.flag(
            'disable',
            'comma-separated safeguards to disable, to test the checks',
            '',
        ),
    ),
)
