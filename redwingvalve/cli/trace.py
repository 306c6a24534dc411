"""The trace command: the hops, decisions and outcome of one request."""

import argparse
import glob
import json

import attrs

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status
from redwingvalve.observability import span_files

HIDDEN = frozenset((span_files.REQUEST_ID,))
MS_PER_S = 1000


def run_trace(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Print what spans and logs say of one request."""
    try:
        found = span_files.read_trace(
            arguments.request_id,
            _expand(arguments.spans),
            _expand(arguments.logs),
        )
    except OSError as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    if not (found.spans or found.logs):
        print(
            f'{arguments.request_id}: no span or log line names it',
            file=surroundings.stderr,
        )
        return exit_status.ExitStatus.FAILURE
    if arguments.output == 'json':
        print(json.dumps(attrs.asdict(found)), file=surroundings.stdout)
    else:
        print('\n'.join(_lines(found)), file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


def _expand(patterns: list[str]) -> list[str]:
    return [
        name
        for pattern in patterns
        for name in sorted(glob.glob(pattern)) or [pattern]
    ]


def _lines(found: span_files.RequestTrace) -> list[str]:
    lines: list[str] = []
    start_s = found.spans[0].started_s if found.spans else 0
    for span in found.spans:
        indent = '  ' * found.depth(span)
        took_ms = (span.ended_s - span.started_s) * MS_PER_S
        lines.append(
            f'{_offset(span.started_s, start_s)} {indent}{span.name} '
            f'on {span.node}, {took_ms:.1f} ms{_told(span.attributes)}'
        )
        lines.extend(
            f'{_offset(event.at_s, start_s)} {indent}  - {event.name}'
            f'{_told(event.attributes)}'
            for event in span.events
        )
    lines.extend(
        f'{line.time} {line.node}: {line.message}' for line in found.logs
    )
    return lines


def _offset(at_s: float, start_s: float) -> str:
    return f'{(at_s - start_s) * MS_PER_S:9.1f} ms'


def _told(attributes: span_files.Row) -> str:
    shown = [
        f'{name.removeprefix("redwingvalve.")}={value}'
        for name, value in attributes.items()
        if name not in HIDDEN
    ]
    return f' ({", ".join(shown)})' if shown else ''


TRACE = options.Command(
    name='trace',
    help='show the hops, decisions and outcome of one request',
    example='redwingvalve trace depot-17 --spans "spans-*.jsonl"',
    run=run_trace,
    options=(
        options.Option(dest='request_id', help='the x-request-id'),
        options.Option(
            dest='spans',
            flags=('--spans',),
            nargs='*',
            default=(),
            help='files that the file exporter of spans wrote; globs are read',
        ),
        options.Option(
            dest='logs',
            flags=('--logs',),
            nargs='*',
            default=(),
            help='files with JSON logs; globs are read',
        ),
        options.OUTPUT,
    ),
)
