"""Finds the spans and log lines of one request in files of all processes."""

import datetime
import json
import pathlib
import typing
from collections import abc as collections_abc

import attrs

REQUEST_ID = 'redwingvalve.request_id'
SERVICE_NAME = 'service.name'
Row = dict[str, typing.Any]


@attrs.frozen
class SpanEvent:
    """A decision or observation within a hop; at_s is wall-clock time."""

    at_s: float
    name: str
    attributes: Row


@attrs.frozen
class Span:
    """One hop of a request; times are wall-clock seconds."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    node: str
    started_s: float
    ended_s: float
    attributes: Row
    events: tuple[SpanEvent, ...]


@attrs.frozen
class LogLine:
    """A log line that contains the request's id."""

    time: str
    node: str
    message: str


@attrs.frozen
class RequestTrace:
    """Spans of a request, sorted by start time, and its log lines."""

    spans: tuple[Span, ...]
    logs: tuple[LogLine, ...]

    def depth(self, span: Span) -> int:
        """Return the number of the span's ancestors in this trace."""
        by_id = {other.span_id: other for other in self.spans}
        depth = 0
        while span.parent_id in by_id:
            span = by_id[span.parent_id]
            depth += 1
        return depth


def read_trace(
    request_id: str,
    span_files: collections_abc.Iterable[str],
    log_files: collections_abc.Iterable[str],
) -> RequestTrace:
    """Return the spans and log lines of a request; raises OSError."""
    spans = [
        _decode_span(row)
        for name in span_files
        for row in _rows(name, 'context')
    ]
    trace_ids = {
        span.trace_id
        for span in spans
        if span.attributes.get(REQUEST_ID) == request_id
    }
    matching = [span for span in spans if span.trace_id in trace_ids]
    matching.sort(key=lambda span: span.started_s)
    lines = [
        LogLine(row.get('time', ''), row.get('node', ''), row['message'])
        for name in log_files
        for row in _rows(name, 'message')
        if request_id in json.dumps(row)
    ]
    return RequestTrace(tuple(matching), tuple(lines))


def _rows(file_name: str, required_key: str) -> collections_abc.Iterator[Row]:
    """Yield the JSON objects with a key; invalid lines are skipped.

    The last line of a file may be incomplete.
    """
    with pathlib.Path(file_name).open(encoding='utf-8') as lines:
        for line in lines:
            try:
                row = json.loads(line)
            except ValueError:
                continue
            if isinstance(row, dict) and required_key in row:
                yield row


def _decode_span(row: Row) -> Span:
    return Span(
        trace_id=row['context']['trace_id'],
        span_id=row['context']['span_id'],
        parent_id=row.get('parent_id') or '',
        name=row['name'],
        node=row.get('resource', {})
        .get('attributes', {})
        .get(SERVICE_NAME, ''),
        started_s=_parse_time_s(row['start_time']),
        ended_s=_parse_time_s(row['end_time']),
        attributes=row.get('attributes') or {},
        events=tuple(
            SpanEvent(
                _parse_time_s(event['timestamp']),
                event['name'],
                event.get('attributes') or {},
            )
            for event in row.get('events', ())
        ),
    )


def _parse_time_s(text: str) -> float:
    return datetime.datetime.fromisoformat(text).timestamp()
