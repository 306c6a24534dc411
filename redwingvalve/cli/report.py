"""The report command: results as JSON lines become one HTML page."""

import argparse

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status


def run_report(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Write the page and say where it is."""
    # Drawing takes half a second to import, which no other command needs.
    from redwingvalve.reports import page, results

    try:
        runs = [
            run
            for file_name in arguments.files
            for run in results.read_file(file_name)
        ]
    except (OSError, ValueError) as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.FINDINGS
    if not runs:
        print('the files hold no runs', file=surroundings.stderr)
        return exit_status.ExitStatus.FINDINGS
    written = page.write_report(runs, arguments.folder)
    print(f'{len(runs)} runs: {written}', file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


REPORT = options.Command(
    name='report',
    help='turn results of experiments into one HTML page and PNG plots',
    example='redwingvalve report results.jsonl --folder out',
    run=run_report,
    options=(
        options.Option(
            dest='files', nargs='+', help='JSON lines that bench wrote'
        ),
        options.Option(
            dest='folder',
            flags=('--folder',),
            default='report',
            help='where the page and the plots go',
        ),
    ),
)
