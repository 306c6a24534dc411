"""The losses command: summarises lost and late requests from node logs."""

import argparse
import pathlib
import typing
from collections import abc as collections_abc

from redwingvalve.cli import options, tables
from redwingvalve.core import environment, exit_status
from redwingvalve.observability import log_files, request_losses

# Number of endpoints listed, those with the most losses first.
MOST_ENDPOINTS = 12
# Number of causes listed in a row, the most frequent first.
MOST_CAUSES = 3
_PERCENT = 100
Counts: typing.TypeAlias = collections_abc.Mapping[str, int]


def run_losses(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Print losses by cause, route, endpoint and time interval."""
    paths = log_files.expand(arguments.logs)
    try:
        losses = request_losses.read(paths)
    except OSError as error:
        print(error, file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    for error in losses.errors:
        print(error, file=surroundings.stderr)
    if arguments.json:
        tables.print_json(_make_document(losses), surroundings)
    else:
        _print_tables(losses, surroundings)
    if arguments.plot:
        _plot(losses, pathlib.Path(arguments.plot))
    if losses.errors:
        return exit_status.ExitStatus.FINDINGS
    return exit_status.ExitStatus.SUCCESS


def _make_document(losses: request_losses.Losses) -> dict[str, typing.Any]:
    intervals = {
        f'{at_s:g}': counts
        for at_s, counts in losses.counts_by_interval().items()
    }
    return {
        'requests': len(losses.outcomes),
        'causes': losses.counts_by_cause(),
        'held_s': {'p50': losses.held_s(0.5), 'p99': losses.held_s(0.99)},
        'by_route': losses.by('route'),
        'by_endpoint': losses.by('endpoint'),
        'by_moment_s': intervals,
        'errors': losses.errors,
    }


def _print_tables(
    losses: request_losses.Losses, surroundings: environment.Environment
) -> None:
    total = max(len(losses.outcomes), 1)
    causes = [
        {'cause': cause, 'requests': count, 'percent': _PERCENT * count / total}
        for cause, count in losses.counts_by_cause().most_common()
    ]
    tables.print_rows(
        causes, ('cause', 'requests', 'percent'), surroundings, 'causes'
    )
    tables.print_line(
        f'refused requests were held {losses.held_s(0.5):.3f} s (p50),'
        + f' {losses.held_s(0.99):.3f} s (p99)',
        surroundings,
    )
    worst_first = sorted(
        losses.by('endpoint').items(), key=_count_losses, reverse=True
    )
    intervals = [
        (f'{at_s:g} s', counts)
        for at_s, counts in losses.counts_by_interval().items()
    ]
    _print_pivot('route', list(losses.by('route').items()), surroundings)
    _print_pivot('endpoint', worst_first[:MOST_ENDPOINTS], surroundings)
    _print_pivot('from', intervals, surroundings)


def _count_losses(item: tuple[str, Counts]) -> int:
    counts = item[1]
    return sum(counts.values()) - counts.get(request_losses.ON_TIME, 0)


def _print_pivot(
    title: str,
    losses: list[tuple[str, Counts]],
    surroundings: environment.Environment,
) -> None:
    rows = [
        {
            title: name,
            'requests': sum(counts.values()),
            'on_time': counts.get(request_losses.ON_TIME, 0),
            'others': _format_causes(counts),
        }
        for name, counts in losses
    ]
    columns = (title, 'requests', 'on_time', 'others')
    tables.print_rows(rows, columns, surroundings, f'by {title}')


def _format_causes(counts: Counts) -> str:
    causes = sorted(
        (
            (count, cause)
            for cause, count in counts.items()
            if cause != request_losses.ON_TIME
        ),
        reverse=True,
    )
    return ', '.join(
        f'{count} {cause}' for count, cause in causes[:MOST_CAUSES]
    )


def _plot(losses: request_losses.Losses, path: pathlib.Path) -> None:
    # Imported here: the plotting library takes half a second to import.
    from redwingvalve.reports import time_plots

    intervals = losses.counts_by_interval()
    series = {
        cause: [counts[cause] for counts in intervals.values()]
        for cause, _ in losses.counts_by_cause().most_common()
    }
    path.write_bytes(time_plots.draw_stacked(list(intervals), series))


LOSSES = options.Command(
    name='losses',
    help='summarise lost and late requests from the logs of all nodes',
    example='redwingvalve losses "node-*.log" --plot losses.png',
    run=run_losses,
    options=(
        options.Option(
            dest='logs',
            nargs='+',
            help='JSON log files; glob patterns are expanded',
        ),
        options.Option(
            dest='json', flags=('--json',), switch=True, help='print JSON'
        ),
        options.Option(
            dest='plot',
            flags=('--plot',),
            help='PNG file for a plot of the causes over time',
        ),
    ),
)
