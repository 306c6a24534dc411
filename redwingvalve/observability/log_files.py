"""Reads log files of nodes as written by log collectors."""

import glob
import json
import pathlib
import typing
from collections import abc as collections_abc

import attrs


@attrs.frozen
class LogLine:
    """A parsed log line, or the reason why it could not be parsed."""

    place: str
    entry: dict[str, typing.Any]
    error: str = ''


def expand(patterns: collections_abc.Iterable[str]) -> list[str]:
    """Expand glob patterns; a pattern without a match is returned as it is."""
    return [
        name
        for pattern in patterns
        for name in sorted(glob.glob(pattern)) or [pattern]
    ]


def read(path: str, start: str = '{') -> typing.Iterator[LogLine]:
    """Yield the lines that contain start, parsed from there; raises OSError.

    Log collectors add their own prefix to each line.
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
        return LogLine(place, {}, f'truncated or invalid JSON: {error}')
    return LogLine(place, entry if isinstance(entry, dict) else {})
