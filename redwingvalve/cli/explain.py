"""The explain command: finds the cause of a request's outcome in logs."""

import argparse

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status
from redwingvalve.observability import log_files, request_explanation

HIDDEN = frozenset(
    ('time', 'node', 'message', 'level', request_explanation.REQUEST_KEY)
)


def run_explain(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Print the log lines of a request, and the cause of its outcome."""
    paths = log_files.expand(arguments.logs)
    try:
        explanation = request_explanation.explain(arguments.request_id, paths)
    except OSError as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    if not explanation.lines:
        print(
            f'{arguments.request_id}: no log line found for this request',
            file=surroundings.stderr,
        )
        return exit_status.ExitStatus.FAILURE
    for entry in (*explanation.lines, *explanation.replica_lines):
        print(_format_entry(entry), file=surroundings.stdout)
    print(f'cause: {explanation.cause}', file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


def _format_entry(entry: dict[str, object]) -> str:
    rest = ' '.join(
        f'{name}={content}'
        for name, content in entry.items()
        if name not in HIDDEN and content is not None and content != ''
    )
    return (
        f'{entry.get("time")} {entry.get("node")} {entry.get("message")} {rest}'
    )


EXPLAIN = options.Command(
    name='explain',
    help='explain the outcome of one request from the logs of all nodes',
    example='redwingvalve explain 9c41d07be2a35f68 "node-*.log"',
    run=run_explain,
    options=(
        options.Option(dest='request_id', help='request ID'),
        options.Option(
            dest='logs',
            nargs='+',
            help='JSON log files; glob patterns are expanded',
        ),
    ),
)
