"""The experiment command: runs policies and writes results as JSON lines."""

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
    """Run every policy of the file and write each result when it is ready."""
    # Imported here: only this command needs the simulators and histograms.
    from redwingvalve.bench import experiment_file, experiment_run
    from redwingvalve.reports import results

    try:
        text = pathlib.Path(arguments.file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    parsed = experiment_file.read_text(text, arguments.file)
    if parsed.is_error():
        print(parsed.error, file=surroundings.stderr)
        return exit_status.ExitStatus.FINDINGS
    logs.configure('ERROR', surroundings.stderr, 'experiment')
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    runs = len(experiment_run.keys_of(parsed.ok))
    with pathlib.Path(arguments.out).open('a', encoding='utf-8') as output:

        def report_result(result: results.RunResult) -> None:
            output.write(f'{results.to_json_line(result)}\n')
            output.flush()
            print(
                f'{result.policy} load {result.load} seed {result.seed}: '
                f'{result.goodput_per_s:.1f} of {result.offered_per_s:.1f} '
                f'requests/s in target, {result.downtime_s:.1f} s down',
                file=surroundings.stderr,
            )

        print(f'{parsed.ok.name}: {runs} runs', file=surroundings.stderr)
        anyio.run(
            functools.partial(
                experiment_run.run_experiment, parsed.ok, report_result
            ),
            backend_options={'loop_factory': uvloop.new_event_loop},
        )
    print(f'results written to {arguments.out}', file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


EXPERIMENT = options.Command(
    name='experiment',
    help='compare policies under the load and faults of a YAML file',
    example='redwingvalve experiment examples/experiments/race-morning.yaml',
    run=run_experiment,
    options=(
        options.Option(dest='file', help='YAML file of the experiment'),
        options.Option(
            dest='out',
            flags=('--out',),
            default='results.jsonl',
            help='file that one JSON line per run is appended to',
        ),
    ),
)
