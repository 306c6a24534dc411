"""Reads the nodes' logs, as collectors have put them into files."""

import glob
import json
import pathlib
import typing
from collections import abc as collections_abc

import attrs


@attrs.frozen
class LogLine:
    """One line: what it says, or why that can't be read."""

    place: str
    entry: dict[str, typing.Any]
    error: str = ''


def expand(patterns: collections_abc.Iterable[str]) -> list[str]:
    """Return the files that patterns name; one without any stays itself."""
    return [
        name
        for pattern in patterns
        for name in sorted(glob.glob(pattern)) or [pattern]
    ]


def read(path: str, start: str = '{') -> typing.Iterator[LogLine]:
    """Read the lines in which start begins an object; raises OSError.

    Collectors put their own prefix before a line.
    """
    text = pathlib.Path(path).read_text(errors='replace')
    for number, line in enumerate(text.split('\n'), 1):
        begin = line.find(start)
        if begin >= 0:
            yield _parse(f'{path}:{number}', line[begin:])


def _parse(place: str, text: str) -> LogLine:
    try:
        entry = json.loads(text)
    except ValueError as error:
        return LogLine(place, {}, f'cut or no JSON: {error}')
    return LogLine(place, entry if isinstance(entry, dict) else {})
