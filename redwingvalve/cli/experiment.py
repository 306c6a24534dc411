"""The experiment command: runs a file's policies and writes JSON lines."""

import argparse
import functools
import logging
import pathlib

import anyio
import uvloop

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status
from redwingvalve.observability import logs


def run_experiment(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Run every policy of the file, telling each result as it comes."""
    # Stand-ins and histograms are of no use to any other command.
    from redwingvalve.bench import experiment_file, experiment_run
    from redwingvalve.reports import results

    try:
        text = pathlib.Path(arguments.file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    read = experiment_file.read_text(text, arguments.file)
    if read.is_error():
        print(read.error, file=surroundings.stderr)
        return exit_status.ExitStatus.FINDINGS
    logs.configure('ERROR', surroundings.stderr, 'experiment')
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    runs = len(experiment_run.keys_of(read.ok))
    with pathlib.Path(arguments.out).open('a', encoding='utf-8') as written:

        def tell(result: results.RunResult) -> None:
            written.write(f'{results.to_json_line(result)}\n')
            written.flush()
            print(
                f'{result.policy} load {result.load} seed {result.seed}: '
                f'{result.goodput_per_s:.1f} of {result.offered_per_s:.1f} '
                f'requests/s in target, {result.downtime_s:.1f} s down',
                file=surroundings.stderr,
            )

        print(f'{read.ok.name}: {runs} runs', file=surroundings.stderr)
        anyio.run(
            functools.partial(experiment_run.run_experiment, read.ok, tell),
            backend_options={'loop_factory': uvloop.new_event_loop},
        )
    print(f'results are in {arguments.out}', file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


EXPERIMENT = options.Command(
    name='experiment',
    help='compare policies under a load and faults, from a YAML file',
    example='redwingvalve experiment examples/experiments/race-morning.yaml',
    run=run_experiment,
    options=(
        options.Option(dest='file', help='the experiment, a YAML file'),
        options.Option(
            dest='out',
            flags=('--out',),
            default='results.jsonl',
            help='JSON lines are added to this file, one for each run',
        ),
    ),
)
