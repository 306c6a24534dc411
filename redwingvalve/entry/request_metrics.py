"""Metrics of each request; docs/operating/watching.md lists them."""

from redwingvalve.entry import response_writer
from redwingvalve.observability import metrics

MS_PER_S = 1000
REQUESTS = 'entry.requests'
IN_PROGRESS = 'entry.in_progress'
REQUEST_TIME = 'entry.request_time'
FIRST_TOKEN_TIME = 'entry.first_token_time'
TOKENS = 'entry.tokens'
CALLERS_GONE = 'entry.callers_gone'
CUT_OFF = 'entry.cut_off'


def record(
    sink: metrics.Metrics, writer: response_writer.ResponseWriter, took_s: float
) -> None:
    """Record the result and the duration of a finished request."""
    sink.count(REQUESTS)
    sink.timing(REQUEST_TIME, took_s * MS_PER_S)
    if not writer.started:
        sink.count(CALLERS_GONE)
        return
    sink.count(f'entry.status.{writer.status}')
    sink.count(f'entry.outcome.{writer.outcome.value}')
    if writer.error_code:
        sink.count(f'entry.error.{writer.error_code}')
    if not writer.finished:
        sink.count(CUT_OFF)
