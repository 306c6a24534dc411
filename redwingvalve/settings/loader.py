"""Reads and validates settings files."""

import logging
import urllib.parse
from collections import abc as collections_abc

from expression import Error, Result

from redwingvalve.core import findings, invariants
from redwingvalve.documents import binder, files
from redwingvalve.settings import schema

MAX_PORT = 65535
EXPORTERS = frozenset(('none', 'console', 'file'))

Bound = binder.BoundDocument[schema.Settings]
FoundIterator = collections_abc.Iterator[findings.Finding]


def load_file(file_name: str) -> Result[schema.Settings, findings.Findings]:
    """Read and check a settings file; findings have their location."""
    text = files.read_text(file_name)
    if text.is_error():
        return Error(text.error)
    return load_text(text.ok, file_name)


def load_text(
    text: str, file_name: str
) -> Result[schema.Settings, findings.Findings]:
    """Check settings given as text; file_name is for the findings."""
    bound = binder.bind_text(text, file_name, schema.Settings, _check)
    return bound.map(lambda document: document.content)


def _check(bound: Bound) -> FoundIterator:
    yield from _check_node(bound)
    yield from _check_platform(bound)
    yield from _check_peers(bound)
    yield from _check_bounds(bound)
    yield from _check_observability(bound)
    yield from _check_testing(bound)


def _check_node(bound: Bound) -> FoundIterator:
    settings = bound.content
    for name in ('name', 'data_centre', 'region', 'host'):
        if not getattr(settings.node, name):
            yield _finding(bound, 'must not be empty', 'node', name)
    for port_name in ('http_port', 'peer_port'):
        port = getattr(settings.listen, port_name)
        if not 0 < port <= MAX_PORT:
            yield _finding(bound, f'{port} is not a port', 'listen', port_name)
    same_port = settings.listen.http_port == settings.listen.peer_port
    if same_port and bound.is_valid('listen'):
        yield _finding(bound, 'http_port and peer_port must differ', 'listen')


def _check_platform(bound: Bound) -> FoundIterator:
    platform = bound.content.platform
    for name in ('object_api_url', 'vm_list_url', 'weight_store_url'):
        url = getattr(platform, name)
        if not url and name != 'object_api_url':
            continue
        parsed = urllib.parse.urlsplit(url)
        if parsed.scheme not in {'http', 'https'} or not parsed.netloc:
            yield _finding(
                bound, f'{url!r} is not an http URL', 'platform', name
            )


def _check_peers(bound: Bound) -> FoundIterator:
    for position, contact in enumerate(bound.content.peers.contacts):
        host, _, port = contact.rpartition(':')
        if not host or not port.isdigit():
            yield _finding(
                bound,
                f'{contact!r} is not host:port',
                'peers',
                'contacts',
                position,
            )


def _check_bounds(bound: Bound) -> FoundIterator:
    settings = bound.content
    positive = (
        ('platform', 'timeout_s'),
        ('platform', 'vm_list_interval_s'),
        ('peers', 'call_timeout_s'),
        ('requests', 'max_body_bytes'),
        ('requests', 'default_deadline_s'),
        ('requests', 'max_deadline_s'),
        ('requests', 'discovery_keep_s'),
        ('requests', 'drain_timeout_s'),
        ('requests', 'key_resend_s'),
    )
    for section, name in positive:
        if getattr(getattr(settings, section), name) <= 0:
            yield _finding(bound, 'must be above zero', section, name)
    requests = settings.requests
    if requests.default_deadline_s > requests.max_deadline_s and bound.is_valid(
        'requests'
    ):
        yield _finding(
            bound,
            'must not be above max_deadline_s',
            'requests',
            'default_deadline_s',
        )


def _check_observability(bound: Bound) -> FoundIterator:
    settings = bound.content
    if settings.logs.level not in logging.getLevelNamesMapping():
        yield _finding(
            bound,
            f'{settings.logs.level!r} is not a log level',
            'logs',
            'level',
        )
    if settings.tracing.exporter not in EXPORTERS:
        known_exporters = ', '.join(sorted(EXPORTERS))
        yield _finding(
            bound, f'must be one of {known_exporters}', 'tracing', 'exporter'
        )
    if settings.tracing.exporter == 'file' and not settings.tracing.file_name:
        yield _finding(
            bound, 'the file exporter needs file_name', 'tracing', 'file_name'
        )
    if not 0 <= settings.tracing.ratio <= 1:
        yield _finding(bound, 'must be from 0 to 1', 'tracing', 'ratio')


def _check_testing(bound: Bound) -> FoundIterator:
    testing = bound.content.testing
    for index, name in enumerate(testing.disabled_safeguards):
        path = ('testing', 'disabled_safeguards', index)
        if name not in set(invariants.Safeguard):
            yield _finding(bound, f'{name!r} is not a safeguard', *path)
        if not testing.in_test and bound.is_valid('testing', 'in_test'):
            yield _finding(bound, 'needs testing.in_test: true', *path)


def _finding(bound: Bound, message: str, *path: str | int) -> findings.Finding:
    return findings.Finding(bound.locations.locate(*path), message)
