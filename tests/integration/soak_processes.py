"""Soak run with child processes: python -m tests.integration.soak_processes.

Prints a JSON line of figures and, on a breach, what is needed to reproduce it.
"""

import argparse
import functools
import json
import sys

import anyio
import uvloop

from redwingvalve.core import invariants
from redwingvalve.soak import fleet_run, report, runner, schedule
from tests.integration import process_daemons, processes


def names(text, kind):
    return map(kind, filter(None, text.split(',')))


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--duration-s', type=float, default=60.0)
    parser.add_argument('--only', default='')
    parser.add_argument('--disable', default='')
    parser.add_argument('--keep-logs', default='')
    parser.add_argument('--cut-peers', action='store_true')
    arguments = parser.parse_args()
    options = fleet_run.Options(
        seed=arguments.seed,
        duration_s=arguments.duration_s,
        only=frozenset(names(arguments.only, schedule.FaultName)),
        disabled=tuple(
            invariants.Safeguard(name).value
            for name in filter(None, arguments.disable.split(','))
        ),
    )
    with processes.make_processes() as children:
        if arguments.keep_logs:
            children.directory = arguments.keep_logs
        outcome = anyio.run(
            functools.partial(
                runner.run_soak,
                options,
                lambda group: process_daemons.ProcessDaemons(
                    children, group if arguments.cut_peers else None
                ),
            ),
            backend_options={'loop_factory': uvloop.new_event_loop},
        )
    print(json.dumps(report.summarize(outcome)))
    for line in report.breach_lines(outcome):
        print(line, file=sys.stderr)
    return 6 if outcome.breaches else 0


if __name__ == '__main__':
    sys.exit(main())
