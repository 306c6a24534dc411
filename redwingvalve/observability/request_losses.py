"""Where requests were lost or came late, from the logs of all nodes.

Each request counts once, by its last line: as answered in time, or with the
cause that cost it most. Callers that met no node at all leave no line.
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
BUCKET_S = 2.0
# A wait that is this share of the time to the first event made it late.
LATE_WAIT_FRACTION = 0.25
# Each line of a node begins so.
_START = '{"time"'
_INGRESS = 'ingress: '
_ANSWERED = 'ingress: answered'
_GIVEN_UP = 'ingress: given up: '
_REFUSED = 'ingress: refused'
_NO_PLACE_LINE = 'ingress: no place'
_UNAVAILABLE = 503
# Answers to requests that no configuration allows are no losses.
_NOT_OWED = frozenset((401, 404))


@attrs.frozen
class Outcome:
    """What became of one request."""

    cause: str
    route: str
    endpoint: str
    at_s: float
    # How long it waited here before it was refused, in seconds.
    held_s: float = 0.0


@attrs.frozen
class Losses:
    """All requests that the logs tell of, and what couldn't be read."""

    outcomes: tuple[Outcome, ...]
    errors: tuple[str, ...]

    def by(self, field: str) -> dict[str, collections.Counter[str]]:
        """Return how often each cause came, by a field of the outcomes."""
        found: dict[str, collections.Counter[str]] = {}
        for one in self.outcomes:
            key = str(getattr(one, field)) or '-'
            found.setdefault(key, collections.Counter())[one.cause] += 1
        return found

    def counts_by_interval(self) -> dict[float, collections.Counter[str]]:
        """Return how often each cause came in each BUCKET_S, from the first."""
        found: dict[float, collections.Counter[str]] = {}
        first_s = min((one.at_s for one in self.outcomes), default=0.0)
        for one in self.outcomes:
            moment_s = (one.at_s - first_s) // BUCKET_S * BUCKET_S
            found.setdefault(moment_s, collections.Counter())[one.cause] += 1
        return dict(sorted(found.items()))

    def counts_by_cause(self) -> collections.Counter[str]:
        """Return how often each cause came."""
        return collections.Counter(one.cause for one in self.outcomes)

    def held_s(self, share: float) -> float:
        """Return how long refused requests were held, as a quantile."""
        held = sorted(
            one.held_s for one in self.outcomes if one.cause == NO_PLACE
        )
        return held[int((len(held) - 1) * share)] if held else 0.0


def read(paths: collections_abc.Iterable[str]) -> Losses:
    """Read logs; raises OSError. Lines that can't be read are told of."""
    last: dict[str, Outcome] = {}
    held_s: dict[str, float] = {}
    errors: list[str] = []
    for path in paths:
        for entry in _entries(path, errors):
            _take(entry, last, held_s)
    return Losses(tuple(last.values()), tuple(errors))


def _entries(
    path: str, errors: list[str]
) -> typing.Iterator[dict[str, typing.Any]]:
    is_node_log = False
    for line in log_files.read(path, _START):
        if line.error:
            errors.append(f'{line.place}: {line.error}')
            continue
        is_node_log = is_node_log or 'message' in line.entry
        yield line.entry
    if not is_node_log:
        errors.append(f"{path}:1: no line of a node's log")


def _take(
    entry: dict[str, typing.Any],
    last: dict[str, Outcome],
    held_s: dict[str, float],
) -> None:
    request = str(entry.get('request', ''))
    message = str(entry.get('message', ''))
    if not (request and message.startswith(_INGRESS)):
        return
    if message == _NO_PLACE_LINE:
        held_s[request] = entry.get('held_ms', 0) / 1000
    cause = _cause(entry, message)
    if cause is None:
        return
    before = last.get(request)
    if message == _REFUSED and before is not None:
        # The line before it says what decided it.
        return
    last[request] = Outcome(
        cause=cause,
        route=str(entry.get('route', '')),
        endpoint=str(entry.get('endpoint', '')),
        at_s=_moment_s(entry),
        held_s=held_s.get(request, 0.0),
    )


def _cause(entry: dict[str, typing.Any], message: str) -> str | None:
    if message == _ANSWERED:
        return ON_TIME if entry.get('on_time') else _late_cause(entry)
    if message == _NO_PLACE_LINE:
        return NO_PLACE
    if message == 'ingress: caller left':
        return CALLER_LEFT
    if message.startswith(_GIVEN_UP):
        return message.removeprefix(_INGRESS)
    if message == _REFUSED and entry.get('status') not in _NOT_OWED:
        return f'refused: {entry.get("reason")}'
    return None


def _late_cause(entry: dict[str, typing.Any]) -> str:
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


def _moment_s(entry: dict[str, typing.Any]) -> float:
    text = str(entry.get('time', '')).replace(',', '.')
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return 0.0
