"""The losses command: where requests were lost or late, from nodes' logs."""

import argparse
import pathlib
import typing
from collections import abc as collections_abc

from redwingvalve.cli import options, tables
from redwingvalve.core import environment, exit_status
from redwingvalve.observability import log_files, request_losses

# Endpoints that are listed, those with the most losses first.
MOST_ENDPOINTS = 12
# Causes that a row names, the most frequent first.
MOST_CAUSES = 3
_PERCENT = 100
Counts: typing.TypeAlias = collections_abc.Mapping[str, int]


def run_losses(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Print losses by cause, route, endpoint and moment."""
    paths = log_files.expand(arguments.logs)
    try:
        found = request_losses.read(paths)
    except OSError as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    for error in found.errors:
        print(error, file=surroundings.stderr)
    if arguments.json:
        tables.print_json(_document(found), surroundings)
    else:
        _print_tables(found, surroundings)
    if arguments.plot:
        _plot(found, pathlib.Path(arguments.plot))
    if found.errors:
        return exit_status.ExitStatus.FINDINGS
    return exit_status.ExitStatus.SUCCESS


def _document(found: request_losses.Losses) -> dict[str, typing.Any]:
    moments = {
        f'{at_s:g}': one for at_s, one in found.counts_by_interval().items()
    }
    return {
        'requests': len(found.outcomes),
        'causes': found.counts_by_cause(),
        'held_s': {'p50': found.held_s(0.5), 'p99': found.held_s(0.99)},
        'by_route': found.by('route'),
        'by_endpoint': found.by('endpoint'),
        'by_moment_s': moments,
        'errors': found.errors,
    }


def _print_tables(
    found: request_losses.Losses, surroundings: environment.Environment
) -> None:
    total = max(len(found.outcomes), 1)
    causes = [
        {'cause': cause, 'requests': count, 'percent': _PERCENT * count / total}
        for cause, count in found.counts_by_cause().most_common()
    ]
    tables.print_rows(
        causes, ('cause', 'requests', 'percent'), surroundings, 'causes'
    )
    tables.print_line(
        f'refused requests were held {found.held_s(0.5):.3f} s (p50),'
        + f' {found.held_s(0.99):.3f} s (p99)',
        surroundings,
    )
    worst = sorted(found.by('endpoint').items(), key=_lost, reverse=True)
    moments = [
        (f'{at_s:g} s', one) for at_s, one in found.counts_by_interval().items()
    ]
    _print_pivot('route', list(found.by('route').items()), surroundings)
    _print_pivot('endpoint', worst[:MOST_ENDPOINTS], surroundings)
    _print_pivot('from', moments, surroundings)


def _lost(item: tuple[str, Counts]) -> int:
    counts = item[1]
    return sum(counts.values()) - counts.get(request_losses.ON_TIME, 0)


def _print_pivot(
    title: str,
    found: list[tuple[str, Counts]],
    surroundings: environment.Environment,
) -> None:
    rows = [
        {
            title: name,
            'requests': sum(counts.values()),
            'on_time': counts.get(request_losses.ON_TIME, 0),
            'others': _told(counts),
        }
        for name, counts in found
    ]
    columns = (title, 'requests', 'on_time', 'others')
    tables.print_rows(rows, columns, surroundings, f'by {title}')


def _told(counts: Counts) -> str:
    others = sorted(
        (
            (count, cause)
            for cause, count in counts.items()
            if cause != request_losses.ON_TIME
        ),
        reverse=True,
    )
    return ', '.join(
        f'{count} {cause}' for count, cause in others[:MOST_CAUSES]
    )


def _plot(found: request_losses.Losses, path: pathlib.Path) -> None:
    # Drawing takes half a second to import, which no other command needs.
    from redwingvalve.reports import time_plots

    moments = found.counts_by_interval()
    series = {
        cause: [one[cause] for one in moments.values()]
        for cause, _ in found.counts_by_cause().most_common()
    }
    path.write_bytes(time_plots.draw_stacked(list(moments), series))


LOSSES = options.Command(
    name='losses',
    help='say where requests were lost or late, from the logs of all nodes',
    example='redwingvalve losses "node-*.log" --plot losses.png',
    run=run_losses,
    options=(
        options.Option(
            dest='logs', nargs='+', help='files with JSON logs; globs are read'
        ),
        options.Option(
            dest='json', flags=('--json',), switch=True, help='print JSON'
        ),
        options.Option(
            dest='plot', flags=('--plot',), help='a PNG file, over time'
        ),
    ),
)
