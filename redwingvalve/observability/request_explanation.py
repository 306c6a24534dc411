"""Explains one request's outcome from the log lines of all nodes."""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.observability import log_files

REQUEST_KEY = 'request'
# Sentence for the last log line with one of these messages; placeholders are
# fields of that line.
_CAUSES: typing.Final = (
    (
        'ingress: answered',
        'answered completely by {endpoint} after {sends} sends',
    ),
    (
        'ingress: caller left',
        'the caller disconnected while {endpoint} was responding',
    ),
    (
        'ingress: no place',
        'refused: {targets} endpoints in use with {under_way} requests,'
        + ' {waiting} requests waiting on this node',
    ),
    (
        'ingress: given up: silent',
        'given up: {endpoint} (replica {replica}, epoch {epoch}) stopped'
        + ' responding after send {sends}; no more sends were allowed',
    ),
    (
        'ingress: given up: broken',
        'given up: {endpoint} closed the connection ({reason}) after the'
        + ' request may have begun; sends: {sends}',
    ),
    (
        'ingress: given up: failure',
        '{endpoint} itself responded with the failure',
    ),
    (
        'ingress: given up: not-run',
        'refused: {endpoint} did not run the request; no more than {sends}'
        + ' sends were allowed',
    ),
    ('ingress: refused', 'refused with {status}: {reason}'),
)


@attrs.frozen
class Explanation:
    """A request's log lines in time order, and the cause in a sentence."""

    lines: tuple[dict[str, typing.Any], ...]
    # Lines about the request's replicas that belong to no request.
    replica_lines: tuple[dict[str, typing.Any], ...]
    cause: str


def explain(
    request_id: str, paths: collections_abc.Iterable[str]
) -> Explanation:
    """Read logs and explain one request; raises OSError.

    Lines that are not JSON objects are skipped.
    """
    parsed = (line.entry for path in paths for line in log_files.read(path))
    entries = sorted((entry for entry in parsed if entry), key=_time)
    lines = [entry for entry in entries if entry.get(REQUEST_KEY) == request_id]
    replicas = {entry.get('replica') for entry in lines} - {None, ''}
    replica_lines = [
        entry
        for entry in entries
        if entry.get('replica') in replicas and REQUEST_KEY not in entry
    ]
    return Explanation(tuple(lines), tuple(replica_lines), _find_cause(lines))


def _find_cause(lines: list[dict[str, typing.Any]]) -> str:
    for entry in reversed(lines):
        message = entry.get('message', '')
        # A refusal is logged after the line that gives its cause.
        if message == 'ingress: refused' and len(lines) > 1:
            continue
        for cause_message, sentence in _CAUSES:
            if message == cause_message:
                return sentence.format_map(_LineFields(entry))
    return 'no line says how it ended'


class _LineFields(dict[str, typing.Any]):
    def __missing__(self, key: str) -> str:
        return '?'


def _time(entry: dict[str, typing.Any]) -> str:
    return str(entry.get('time', ''))
