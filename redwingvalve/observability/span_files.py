"""Reads what processes wrote, spans and logs, and finds one request in it."""

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
    """A decision or observation inside a hop; at_s is a wall time."""

    at_s: float
    name: str
    attributes: Row


@attrs.frozen
class Span:
    """One hop of a request; times are wall seconds."""

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
    """One line of a log that names the request."""

    time: str
    node: str
    message: str


@attrs.frozen
class RequestTrace:
    """Everything that is known of one request, in the order of time."""

    spans: tuple[Span, ...]
    logs: tuple[LogLine, ...]

    def depth(self, span: Span) -> int:
        """Return how many known hops stand above a span."""
        by_id = {known.span_id: known for known in self.spans}
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
    """Return the hops and log lines of a request; OSError on bad files."""
    spans = [
        _read_span(row) for name in span_files for row in _rows(name, 'context')
    ]
    traces = {
        span.trace_id
        for span in spans
        if span.attributes.get(REQUEST_ID) == request_id
    }
    kept = [span for span in spans if span.trace_id in traces]
    kept.sort(key=lambda span: span.started_s)
    lines = [
        LogLine(row.get('time', ''), row.get('node', ''), row['message'])
        for name in log_files
        for row in _rows(name, 'message')
        if request_id in json.dumps(row)
    ]
    return RequestTrace(tuple(kept), tuple(lines))


def _rows(file_name: str, wanted: str) -> collections_abc.Iterator[Row]:
    """Yield the JSON lines that hold a key; a torn last line is left out."""
    with pathlib.Path(file_name).open(encoding='utf-8') as lines:
        for line in lines:
            try:
                row = json.loads(line)
            except ValueError:
                continue
            if isinstance(row, dict) and wanted in row:
                yield row


def _read_span(row: Row) -> Span:
    return Span(
        trace_id=row['context']['trace_id'],
        span_id=row['context']['span_id'],
        parent_id=row.get('parent_id') or '',
        name=row['name'],
        node=row.get('resource', {})
        .get('attributes', {})
        .get(SERVICE_NAME, ''),
        started_s=_seconds(row['start_time']),
        ended_s=_seconds(row['end_time']),
        attributes=row.get('attributes') or {},
        events=tuple(
            SpanEvent(
                _seconds(event['timestamp']),
                event['name'],
                event.get('attributes') or {},
            )
            for event in row.get('events', ())
        ),
    )


def _seconds(text: str) -> float:
    return datetime.datetime.fromisoformat(text).timestamp()
