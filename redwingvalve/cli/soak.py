"""The soak command: a randomised run of every role and stand-in on one loop."""

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
    """Run one seed; the status says whether a promise was broken."""
    # The stand-ins are of no use to any other command.
    from redwingvalve.soak import daemons, fleet_run, report, runner, schedule

    try:
        wanted = fleet_run.Options(
            seed=arguments.seed,
            duration_s=arguments.duration_s,
            callers=arguments.callers,
            only=frozenset(map(schedule.FaultName, _names(arguments.only))),
            disabled=tuple(
                map(invariants.Safeguard, _names(arguments.disable))
            ),
        )
    except ValueError as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    logs.configure('ERROR', surroundings.stderr, 'soak')
    # A daemon that is killed by cancelling its tasks leaves asyncio's streams
    # complaining about them; a process would just be gone.
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    outcome = anyio.run(
        runner.run_soak,
        wanted,
        daemons.LocalDaemons,
        backend_options={'loop_factory': uvloop.new_event_loop},
    )
    for line in report.breach_lines(outcome):
        print(line, file=surroundings.stderr)
    print(json.dumps(report.summarize(outcome)), file=surroundings.stdout)
    if outcome.breaches:
        return exit_status.ExitStatus.BREACH
    return exit_status.ExitStatus.SUCCESS


def _names(listed: str) -> list[str]:
    return [name for name in listed.split(FAULT_SEPARATOR) if name]


SOAK = options.Command(
    name='soak',
    help='attack every promise in one process for a while, from a seed',
    example='redwingvalve soak --seed 7 --duration-s 120',
    run=run_soak,
    options=(
        options.flag(
            'seed', 'derives the schedule and what callers ask', 1, int
        ),
        options.flag(
            'duration_s', 'how long callers call, in seconds', 60.0, float
        ),
        options.flag('callers', 'how many callers there are', 10, int),
        options.flag(
            'only',
            'faults to schedule, separated by commas; all by default',
            '',
        ),
        options.flag(
            'disable',
            'safeguards to switch off, to see that breaches are found',
            '',
        ),
    ),
)
