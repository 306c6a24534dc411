"""The explain command: why one request ended as it did, from nodes' logs."""

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
    """Print a request's lines in order, and the cause in a sentence."""
    paths = log_files.expand(arguments.logs)
    try:
        found = request_explanation.explain(arguments.request_id, paths)
    except OSError as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    if not found.lines:
        print(
            f'{arguments.request_id}: no log line names it',
            file=surroundings.stderr,
        )
        return exit_status.ExitStatus.FAILURE
    for entry in (*found.lines, *found.replica_lines):
        print(_line(entry), file=surroundings.stdout)
    print(f'cause: {found.cause}', file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


def _line(entry: dict[str, object]) -> str:
    told = ' '.join(
        f'{name}={content}'
        for name, content in entry.items()
        if name not in HIDDEN and content is not None and content != ''
    )
    return (
        f'{entry.get("time")} {entry.get("node")} {entry.get("message")} {told}'
    )


EXPLAIN = options.Command(
    name='explain',
    help='say why one request ended as it did, from the logs of all nodes',
    example='redwingvalve explain 9c41d07be2a35f68 "node-*.log"',
    run=run_explain,
    options=(
        options.Option(dest='request_id', help='the id of the request'),
        options.Option(
            dest='logs', nargs='+', help='files with JSON logs; globs are read'
        ),
    ),
)
