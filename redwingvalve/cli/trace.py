"""The trace command: shows the spans and log lines of one request."""

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
    """Print the spans and log lines of one request."""
    try:
        trace = span_files.read_trace(
            arguments.request_id,
            _expand(arguments.spans),
            _expand(arguments.logs),
        )
    except OSError as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    if not (trace.spans or trace.logs):
        print(
            f'{arguments.request_id}: no span or log line names it',
            file=surroundings.stderr,
        )
        return exit_status.ExitStatus.FAILURE
    if arguments.output == 'json':
        print(json.dumps(attrs.asdict(trace)), file=surroundings.stdout)
    else:
        print('\n'.join(_format_trace(trace)), file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


def _expand(patterns: list[str]) -> list[str]:
    return [
        name
        for pattern in patterns
        for name in sorted(glob.glob(pattern)) or [pattern]
    ]


def _format_trace(trace: span_files.RequestTrace) -> list[str]:
    lines: list[str] = []
    start_s = trace.spans[0].started_s if trace.spans else 0
    for span in trace.spans:
        indent = '  ' * trace.depth(span)
        took_ms = (span.ended_s - span.started_s) * MS_PER_S
        lines.append(
            f'{_format_offset(span.started_s, start_s)} {indent}{span.name} '
            f'on {span.node}, {took_ms:.1f} ms'
            f'{_format_attributes(span.attributes)}'
        )
        lines.extend(
            f'{_format_offset(event.at_s, start_s)} {indent}  - {event.name}'
            f'{_format_attributes(event.attributes)}'
            for event in span.events
        )
    lines.extend(
        f'{line.time} {line.node}: {line.message}' for line in trace.logs
    )
    return lines


def _format_offset(at_s: float, start_s: float) -> str:
    return f'{(at_s - start_s) * MS_PER_S:9.1f} ms'


def _format_attributes(attributes: span_files.Row) -> str:
    pairs = [
        f'{name.removeprefix("redwingvalve.")}={value}'
        for name, value in attributes.items()
        if name not in HIDDEN
    ]
    return f' ({", ".join(pairs)})' if pairs else ''


TRACE = options.Command(
    name='trace',
    help='show the hops, decisions and outcome of one request',
    example='redwingvalve trace depot-17 --spans "spans-*.jsonl"',
    run=run_trace,
    options=(
        options.Option(dest='request_id', help='value of x-request-id'),
        options.Option(
            dest='spans',
            flags=('--spans',),
            nargs='*',
            default=(),
            help='span files of the file exporter; glob patterns are expanded',
        ),
        options.Option(
            dest='logs',
            flags=('--logs',),
            nargs='*',
            default=(),
            help='JSON log files; glob patterns are expanded',
        ),
        options.OUTPUT,
    ),
)
