"""One request's log lines of all nodes, and what they say of its cause."""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.observability import log_files

REQUEST_KEY = 'request'
# The last line that has one of these messages decides; X stands for more.
_CAUSES: typing.Final = (
    ('ingress: answered', 'answered whole by {endpoint} after {sends} sends'),
    ('ingress: caller left', 'the caller left while {endpoint} answered'),
    (
        'ingress: no place',
        'refused: {targets} endpoints in use, {under_way} requests there,'
        + ' {waiting} waiting here',
    ),
    (
        'ingress: given up: silent',
        'given up: {endpoint} (replica {replica}, epoch {epoch}) fell'
        + ' silent after send {sends}; no more sends were allowed',
    ),
    (
        'ingress: given up: broken',
        'given up: {endpoint} ended the connection ({reason}) after it may'
        + ' have begun; sends: {sends}',
    ),
    (
        'ingress: given up: failure',
        'the failure is the own answer of {endpoint}',
    ),
    (
        'ingress: given up: not-run',
        'refused: {endpoint} did not run it; no more than {sends} sends'
        + ' were allowed',
    ),
    ('ingress: refused', 'refused with {status}: {reason}'),
)


@attrs.frozen
class Explanation:
    """The lines in order of time, and the cause in a sentence."""

    lines: tuple[dict[str, typing.Any], ...]
    # Lines of other matters that name the same replica.
    replica_lines: tuple[dict[str, typing.Any], ...]
    cause: str


def explain(
    request_id: str, paths: collections_abc.Iterable[str]
) -> Explanation:
    """Read logs and explain one request; raises OSError.

    Lines that are no JSON objects are passed over.
    """
    read = (line.entry for path in paths for line in log_files.read(path))
    entries = sorted((entry for entry in read if entry), key=_time)
    lines = [entry for entry in entries if entry.get(REQUEST_KEY) == request_id]
    replicas = {entry.get('replica') for entry in lines} - {None, ''}
    about = [
        entry
        for entry in entries
        if entry.get('replica') in replicas and REQUEST_KEY not in entry
    ]
    return Explanation(tuple(lines), tuple(about), _cause(lines))


def _cause(lines: list[dict[str, typing.Any]]) -> str:
    for entry in reversed(lines):
        message = entry.get('message', '')
        # A refusal follows the line that says what decided it.
        if message == 'ingress: refused' and len(lines) > 1:
            continue
        for known, sentence in _CAUSES:
            if message == known:
                return sentence.format_map(_Fields(entry))
    return 'no line says how it ended'


class _Fields(dict[str, typing.Any]):
    def __missing__(self, key: str) -> str:
        return '?'


def _time(entry: dict[str, typing.Any]) -> str:
    return str(entry.get('time', ''))
