"""The report command: renders experiment results as an HTML page."""

import argparse

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status


def run_report(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Write the page and print its path."""
    # Imported here: the plotting library takes half a second to import.
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
        print('no runs found in the files', file=surroundings.stderr)
        return exit_status.ExitStatus.FINDINGS
    page_path = page.write_report(runs, arguments.folder)
    print(f'{len(runs)} runs: {page_path}', file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


REPORT = options.Command(
    name='report',
    help='render experiment results as one HTML page and PNG plots',
    example='redwingvalve report results.jsonl --folder out',
    run=run_report,
    options=(
        options.Option(
            dest='files',
            nargs='+',
            help='JSON lines written by the experiment command',
        ),
        options.Option(
            dest='folder',
            flags=('--folder',),
            default='report',
            help='folder that the page and the plots are written to',
        ),
    ),
)
