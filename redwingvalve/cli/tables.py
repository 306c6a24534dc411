"""Readable tables on a terminal, JSON for programs."""

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
    """Write JSON, one document, sorted so that two runs compare."""
    text = json.dumps(content, indent=2, sort_keys=True)
    surroundings.stdout.write(f'{text}\n')


def print_rows(
    rows: collections_abc.Sequence[Row],
    columns: collections_abc.Sequence[str],
    surroundings: environment.Environment,
    title: str = '',
) -> None:
    """Write a table of the named columns; an empty one says so."""
    screen = make_console(surroundings)
    if not rows:
        screen.print(f'{title or "rows"}: none', highlight=False)
        return
    shown = table.Table(title=title or None, title_justify='left')
    for column in columns:
        shown.add_column(column.replace('_', ' '), overflow='fold')
    for row in rows:
        shown.add_row(*(_cell(row.get(name, '')) for name in columns))
    screen.print(shown)


def print_line(text: str, surroundings: environment.Environment) -> None:
    """Write one line of text as it is."""
    surroundings.stdout.write(f'{text}\n')


def make_console(surroundings: environment.Environment) -> console.Console:
    """Return a console on stdout; a pipe gets plain text of fixed width."""
    width = None if surroundings.stdout_is_terminal else PLAIN_WIDTH
    return console.Console(
        file=surroundings.stdout,
        width=width,
        force_terminal=surroundings.stdout_is_terminal,
    )


def _cell(content: typing.Any) -> str:
    if isinstance(content, bool):
        return 'yes' if content else 'no'
    if isinstance(content, float):
        return f'{content:.2f}'
    if isinstance(content, list | tuple):
        return ', '.join(str(part) for part in content)
    return str(content)
