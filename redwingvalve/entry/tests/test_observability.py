"""Spans and metrics of requests, as received by back ends and statsd."""

import json
import socket

import pytest
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from redwingvalve.declaration import schema
from redwingvalve.entry import upstream
from redwingvalve.entry.tests import fakes
from redwingvalve.observability import metrics, tracing
from redwingvalve.settings import schema as settings_schema

CALLER_TRACE = '0af7651916cd43dd8448eb211c80319c'
CALLER_SPAN = 'b7ad6b7169203331'
TRACED = {
    'traceparent': f'00-{CALLER_TRACE}-{CALLER_SPAN}-01',
    'tracestate': 'vendor=1',
}
SERVICE = schema.PlainService('pay', '/pay', ('pay:1', 'pay:2'))


def observed(engines, *calls, **changes):
    """Run calls; return the finished spans by name, in order."""
    exporter = in_memory_span_exporter.InMemorySpanExporter()
    provider = sdk_trace.TracerProvider()
    provider.add_span_processor(export.SimpleSpanProcessor(exporter))
    fakes.run(engines, *calls, tracing=tracing.Tracing(provider), **changes)
    spans = {}
    for span in exporter.get_finished_spans():
        spans.setdefault(span.name, []).append(span)
    return spans


def parent_of(request):
    """Return the trace id and the parent span id that a back end receives."""
    _, trace_id, span_id, _ = dict(request.headers)['traceparent'].split('-')
    return int(trace_id, 16), int(span_id, 16)


def identity(span):
    return span.context.trace_id, span.context.span_id


def test_service_attempts_have_spans_in_the_callers_trace():
    """Each attempt has a span of its own within the caller's trace.

    The first address refuses the connection, so there are two attempts. Each
    span is a child of the entry's span and is propagated to the service; the
    entry's span is a child of the caller's.
    """
    refused = upstream.UpstreamError('refused', not_sent=True)
    engines = fakes.Engines(
        {'pay:1': fakes.failing(refused), 'pay:2': fakes.answering(200)}
    )
    spans = observed(
        engines,
        {'path': '/pay/bill', 'headers': TRACED},
        source=fakes.Source(fakes.make_snapshot(services=(SERVICE,))),
    )
    (entry,) = spans['entry request']
    hops = spans['service request']
    assert entry.context.trace_id == int(CALLER_TRACE, 16)
    assert entry.parent.span_id == int(CALLER_SPAN, 16)
    assert [hop.parent.span_id for hop in hops] == [entry.context.span_id] * 2
    assert [parent_of(sent) for sent in engines.sent] == [
        identity(hop) for hop in hops
    ]
    assert {dict(sent.headers)['tracestate'] for sent in engines.sent} == {
        'vendor=1'
    }
    assert [hop.attributes['server.address'] for hop in hops] == [
        'pay:1',
        'pay:2',
    ]
    assert hops[0].attributes['redwingvalve.failure'] == 'refused'
    assert hops[1].attributes['http.response.status_code'] == 200


def test_each_replica_attempt_has_its_own_span():
    engines = fakes.Engines(
        {'r1:1': fakes.streaming(cut_after=1), 'r2:1': fakes.streaming()}
    )
    spans = observed(engines, {}, {})
    hops = spans['endpoint request']
    assert [parent_of(sent) for sent in engines.sent] == [
        identity(hop) for hop in hops
    ]
    assert len({hop.context.span_id for hop in hops}) == len(engines.sent) >= 2


def test_request_without_a_trace_starts_one():
    spans = observed(fakes.Engines({'r1:1': fakes.streaming()}), {})
    assert spans['entry request'][0].parent is None


def statsd_lines(engines, *calls, **changes):
    """Run calls; return what a statsd server received, as name -> texts."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(20)
        sink = metrics.make_metrics(
            settings_schema.MetricSettings(
                '127.0.0.1', server.getsockname()[1], 'fleet'
            )
        )
        fakes.run(engines, *calls, metrics=sink, **changes)
        # Loopback preserves the order, so this one arrives last.
        sink.count('end')
        received = {}
        while 'fleet.end' not in received:
            name, _, text = server.recv(65536).decode().partition(':')
            received.setdefault(name, []).append(text)
    return received


def test_statsd_receives_request_results():
    """Two complete streams, at least one of them resumed, and one refusal."""
    engines = fakes.Engines(
        {'r1:1': fakes.streaming(cut_after=1), 'r2:1': fakes.streaming()}
    )
    received = statsd_lines(engines, {}, {}, {'path': '/nowhere'})
    attempts = len(engines.sent)
    assert received['fleet.entry.requests'] == ['1|c'] * 3
    assert received['fleet.entry.in_progress'] == ['1|g', '0|g'] * 3
    assert received['fleet.entry.status.200'] == ['1|c'] * 2
    assert received['fleet.entry.status.404'] == ['1|c']
    assert received['fleet.entry.outcome.ran'] == ['1|c'] * 2
    assert received['fleet.entry.outcome.not-run'] == ['1|c']
    assert received['fleet.entry.error.unknown-path'] == ['1|c']
    assert received['fleet.entry.tokens'] == ['3|c'] * 2
    assert received['fleet.entry.send_failed'] == ['1|c'] * (attempts - 2)
    assert received['fleet.entry.resume'] == ['1|c'] * (attempts - 2)
    for name in ('request_time', 'first_token_time'):
        timings = received[f'fleet.entry.{name}']
        assert all(0 <= float(text.removesuffix('|ms')) for text in timings)
    assert len(received['fleet.entry.request_time']) == 3
    assert len(received['fleet.entry.first_token_time']) == 2


def test_statsd_receives_service_failures():
    broken = fakes.failing(fakes.broken())
    received = statsd_lines(
        fakes.Engines({'pay:1': broken, 'pay:2': broken}),
        {'path': '/pay/bill', 'headers': {'x-request-id': 'a'}},
        source=fakes.Source(fakes.make_snapshot(services=(SERVICE,))),
    )
    assert received['fleet.entry.service_send_failed'] == ['1|c']
    assert received['fleet.entry.error.service-failed'] == ['1|c']
    assert received['fleet.entry.outcome.unknown'] == ['1|c']


@pytest.mark.parametrize('exporter', ['none', 'console', 'file'])
def test_spans_go_to_the_configured_exporter(exporter, tmp_path, capsys):
    spans = tmp_path / 'spans.jsonl'
    made = tracing.make_tracing(
        settings_schema.TracingSettings(exporter, str(spans)), 'e1'
    )
    fakes.run(fakes.Engines({'r1:1': fakes.streaming()}), {}, tracing=made)
    made.shutdown()
    written = {
        'none': '',
        'console': capsys.readouterr().err,
        'file': spans.read_text() if spans.exists() else '',
    }[exporter]
    names = [json.loads(line)['name'] for line in written.splitlines()]
    wanted = {'none': []}.get(exporter, ['endpoint request', 'entry request'])
    assert names == wanted
