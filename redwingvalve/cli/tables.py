"""Output of tables and JSON."""

import json
import typing
from collections import abc as collections_abc

from rich import console, table

from redwingvalve.core import environment

PLAIN_WIDTH = 160
Row = collections_abc.Mapping[str, typing.Any]


def print_json(
    content: typing.Any, surroundings: environment.Environment
) -> None:
    """Write one JSON document, sorted so that runs can be compared."""
    text = json.dumps(content, indent=2, sort_keys=True)
    surroundings.stdout.write(f'{text}\n')


def print_rows(
    rows: collections_abc.Sequence[Row],
    columns: collections_abc.Sequence[str],
    surroundings: environment.Environment,
    title: str = '',
) -> None:
    """Write a table of the given columns, or a note that there are no rows."""
    terminal = make_console(surroundings)
    if not rows:
        terminal.print(f'{title or "rows"}: none', highlight=False)
        return
    grid = table.Table(title=title or None, title_justify='left')
    for column in columns:
        grid.add_column(column.replace('_', ' '), overflow='fold')
    for row in rows:
        grid.add_row(*(_format_cell(row.get(name, '')) for name in columns))
    terminal.print(grid)


def print_line(text: str, surroundings: environment.Environment) -> None:
    """Write one line of text without formatting."""
    surroundings.stdout.write(f'{text}\n')


def make_console(surroundings: environment.Environment) -> console.Console:
    """Return a console on stdout; plain text of fixed width if it is a pipe."""
    width = None if surroundings.stdout_is_terminal else PLAIN_WIDTH
    return console.Console(
        file=surroundings.stdout,
        width=width,
        force_terminal=surroundings.stdout_is_terminal,
    )


def _format_cell(content: typing.Any) -> str:
    if isinstance(content, bool):
        return 'yes' if content else 'no'
    if isinstance(content, float):
        return f'{content:.2f}'
    if isinstance(content, list | tuple):
        return ', '.join(str(part) for part in content)
    return str(content)
