"""OpenTelemetry spans, one per hop, with W3C trace context propagation."""

import pathlib
import sys
import typing
from collections import abc as collections_abc

from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, sampling
from opentelemetry.trace.propagation import tracecontext

from redwingvalve.settings import schema

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class Tracing:
    """Creates spans and exports them as configured."""

    def __init__(self, provider: sdk_trace.TracerProvider) -> None:
        """Use a provider per instance, not a global one.

        Several roles may run on one event loop, each with its own provider.
        """
        self._provider = provider
        self._tracer = provider.get_tracer('redwingvalve')

    def start_span(
        self,
        name: str,
        headers: collections_abc.Mapping[str, str] | None = None,
        parent: trace.Span | None = None,
        attributes: collections_abc.Mapping[str, typing.Any] | None = None,
    ) -> trace.Span:
        """Start a span as a child of parent or of the context in headers."""
        parent_context: otel_context.Context | None = None
        if parent is not None:
            parent_context = trace.set_span_in_context(parent)
        elif headers is not None:
            parent_context = PROPAGATOR.extract(headers)
        return self._tracer.start_span(
            name, context=parent_context, attributes=dict(attributes or {})
        )

    def headers(self, span: trace.Span) -> dict[str, str]:
        """Return the headers that propagate the span's context."""
        carrier: dict[str, str] = {}
        PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
        return carrier

    def shutdown(self) -> None:
        """Export the remaining spans."""
        self._provider.shutdown()


def make_tracing(settings: schema.TracingSettings, node: str) -> Tracing:
    """Create tracing with the configured exporter."""
    sampler: sampling.Sampler = sampling.ParentBased(
        sampling.TraceIdRatioBased(settings.ratio)
    )
    if settings.exporter == 'none':
        sampler = sampling.ALWAYS_OFF
    provider = sdk_trace.TracerProvider(
        sampler=sampler,
        resource=resources.Resource({'service.name': f'redwingvalve/{node}'}),
        shutdown_on_exit=False,
    )
    if settings.exporter == 'console':
        _export_to(provider, sys.stderr)
    if settings.exporter == 'file':
        span_file = pathlib.Path(settings.file_name)
        _export_to(provider, span_file.open('a', encoding='utf-8'))
    return Tracing(provider)


def _export_to(
    provider: sdk_trace.TracerProvider, stream: typing.TextIO
) -> None:
    exporter = export.ConsoleSpanExporter(
        out=stream, formatter=lambda span: f'{span.to_json(indent=None)}\n'
    )
    provider.add_span_processor(export.SimpleSpanProcessor(exporter))
