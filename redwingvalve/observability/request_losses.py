"""Counts failed and late requests by cause, from the logs of all nodes.

Each request counts once, by its last log line: as answered on time, or with
the main cause of its failure or delay. Requests that reached no node are not
in the logs.
"""

import collections
import datetime
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.observability import log_files

ON_TIME: typing.Final = 'on time'
REFUSED_BEFORE: typing.Final = 'late: refused before'
RESENT: typing.Final = 'late: sent again'
WAITED_FOR_SLOT: typing.Final = 'late: waited for a place'
PAUSED_BETWEEN_EVENTS: typing.Final = 'late: pause between events'
SLOW_ENDPOINT: typing.Final = 'late: queued or slow at the endpoint'
NO_PLACE: typing.Final = 'refused: no place'
CALLER_LEFT: typing.Final = 'caller left'
INTERVAL_S = 2.0
# A wait longer than this fraction of the time to the first event counts as the
# cause of a late answer.
LATE_WAIT_FRACTION = 0.25
# Start of each log line of a node.
_LINE_START = '{"time"'
_INGRESS = 'ingress: '
_ANSWERED = 'ingress: answered'
_GIVEN_UP = 'ingress: given up: '
_REFUSED = 'ingress: refused'
_NO_PLACE_LINE = 'ingress: no place'
_UNAVAILABLE = 503
# Requests that the configuration does not allow are not counted as lost.
_NOT_LOSS_STATUSES = frozenset((401, 404))


@attrs.frozen
class Outcome:
    """Outcome of one request."""

    cause: str
    route: str
    endpoint: str
    at_s: float
    # How long the node held the request before refusing it.
    held_s: float = 0.0


@attrs.frozen
class Losses:
    """Outcomes of all requests in the logs, and errors from reading them."""

    outcomes: tuple[Outcome, ...]
    errors: tuple[str, ...]

    def by(self, field: str) -> dict[str, collections.Counter[str]]:
        """Count outcomes by a field's value and by cause."""
        counts: dict[str, collections.Counter[str]] = {}
        for outcome in self.outcomes:
            key = str(getattr(outcome, field)) or '-'
            counts.setdefault(key, collections.Counter())[outcome.cause] += 1
        return counts

    def counts_by_interval(self) -> dict[float, collections.Counter[str]]:
        """Count outcomes by cause in intervals of INTERVAL_S.

        Keys are seconds since the first outcome.
        """
        counts: dict[float, collections.Counter[str]] = {}
        first_s = min((outcome.at_s for outcome in self.outcomes), default=0.0)
        for outcome in self.outcomes:
            start_s = (outcome.at_s - first_s) // INTERVAL_S * INTERVAL_S
            counts.setdefault(start_s, collections.Counter())[
                outcome.cause
            ] += 1
        return dict(sorted(counts.items()))

    def counts_by_cause(self) -> collections.Counter[str]:
        """Count outcomes by cause."""
        return collections.Counter(outcome.cause for outcome in self.outcomes)

    def held_s(self, quantile: float) -> float:
        """Return a quantile of the time that refused requests were held."""
        held = sorted(
            outcome.held_s
            for outcome in self.outcomes
            if outcome.cause == NO_PLACE
        )
        return held[int((len(held) - 1) * quantile)] if held else 0.0


def read(paths: collections_abc.Iterable[str]) -> Losses:
    """Read logs; raises OSError. Unreadable lines are returned as errors."""
    outcomes: dict[str, Outcome] = {}
    held_s: dict[str, float] = {}
    errors: list[str] = []
    for path in paths:
        for entry in _entries(path, errors):
            _add_entry(entry, outcomes, held_s)
    return Losses(tuple(outcomes.values()), tuple(errors))


def _entries(
    path: str, errors: list[str]
) -> typing.Iterator[dict[str, typing.Any]]:
    is_node_log = False
    for line in log_files.read(path, _LINE_START):
        if line.error:
            errors.append(f'{line.place}: {line.error}')
            continue
        is_node_log = is_node_log or 'message' in line.entry
        yield line.entry
    if not is_node_log:
        errors.append(f'{path}:1: no line of a node log found')


def _add_entry(
    entry: dict[str, typing.Any],
    outcomes: dict[str, Outcome],
    held_s: dict[str, float],
) -> None:
    request = str(entry.get('request', ''))
    message = str(entry.get('message', ''))
    if not (request and message.startswith(_INGRESS)):
        return
    if message == _NO_PLACE_LINE:
        held_s[request] = entry.get('held_ms', 0) / 1000
    cause = _find_cause(entry, message)
    if cause is None:
        return
    previous = outcomes.get(request)
    if message == _REFUSED and previous is not None:
        # The previous line of this request gives the cause of the refusal.
        return
    outcomes[request] = Outcome(
        cause=cause,
        route=str(entry.get('route', '')),
        endpoint=str(entry.get('endpoint', '')),
        at_s=_parse_time_s(entry),
        held_s=held_s.get(request, 0.0),
    )


def _find_cause(entry: dict[str, typing.Any], message: str) -> str | None:
    if message == _ANSWERED:
        return ON_TIME if entry.get('on_time') else _find_late_cause(entry)
    if message == _NO_PLACE_LINE:
        return NO_PLACE
    if message == 'ingress: caller left':
        return CALLER_LEFT
    if message.startswith(_GIVEN_UP):
        return message.removeprefix(_INGRESS)
    if message == _REFUSED and entry.get('status') not in _NOT_LOSS_STATUSES:
        return f'refused: {entry.get("reason")}'
    return None


def _find_late_cause(entry: dict[str, typing.Any]) -> str:
    if entry.get('has_returned'):
        return REFUSED_BEFORE
    if entry.get('sends', 1) > 1:
        return RESENT
    if not entry.get('is_late_first', True):
        return PAUSED_BETWEEN_EVENTS
    waited_ms = entry.get('waited_ms', 0)
    first_ms = entry.get('first_ms', 0) or entry.get('took_ms', 0)
    return (
        WAITED_FOR_SLOT
        if waited_ms > LATE_WAIT_FRACTION * first_ms
        else SLOW_ENDPOINT
    )


def _parse_time_s(entry: dict[str, typing.Any]) -> float:
    text = str(entry.get('time', '')).replace(',', '.')
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return 0.0
