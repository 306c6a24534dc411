"""Decodes the operator's configuration object from the store."""

import types
import typing

from redwingvalve.ingress import routes

_KINDS: typing.Final = types.MappingProxyType(
    {
        'idempotent': routes.RouteKind.IDEMPOTENT,
        'non_idempotent': routes.RouteKind.NON_IDEMPOTENT,
        'stream': routes.RouteKind.STREAM,
    }
)
Document = dict[str, typing.Any]


# Raised when a document has an unexpected structure.
_MALFORMED_DOCUMENT = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


class ConfigurationError(ValueError):
    """The configuration is invalid; the message says why."""


def decode_configuration(stored: Document) -> routes.Configuration:
    """Decode the stored configuration; raises ConfigurationError."""
    try:
        return _decode(stored['metadata']['revision'], stored['spec'])
    except _MALFORMED_DOCUMENT as error:
        raise ConfigurationError(f'{type(error).__name__}: {error}') from error


def _decode(revision: int, spec: Document) -> routes.Configuration:
    services = [_decode_service(entry) for entry in spec['services']]
    accounts = spec.get('tenants') or []
    return routes.Configuration(
        version=int(spec['version']),
        revision=int(revision),
        routes=tuple(map(_decode_route, spec['routes'])),
        services={service.name: service for service in services},
        accounts_by_key={
            key: routes.ClientAccount(account['name'], account.get('priority'))
            for account in accounts
            for key in account.get('api_keys') or ()
        },
        needs_keys='tenants' in spec,
        limits=_decode_limits(spec.get('limits') or {}),
    )


def _decode_route(entry: Document) -> routes.Route:
    timeout_ms = int(entry.get('timeout_ms') or 0)
    return routes.Route(
        name=entry['name'],
        host=entry['host'],
        path_prefix=entry['path_prefix'],
        kind=_KINDS[entry['kind']],
        splits=_decode_splits(entry),
        timeout_ms=timeout_ms,
        goal_ms=int(entry.get('goal_ms') or timeout_ms),
        max_attempts=int(entry.get('max_attempts') or 1),
        priority=int(entry.get('priority') or 0),
        anonymous=bool(entry.get('anonymous')),
        resumable=bool(entry.get('resumable')),
        gap_goal_ms=int(entry.get('gap_goal_ms') or 0),
    )


def _decode_splits(entry: Document) -> tuple[routes.Split, ...]:
    if entry.get('split'):
        return tuple(
            routes.Split(part['service'], float(part['weight']))
            for part in entry['split']
        )
    return (routes.Split(entry['service'], 1.0),)


def _decode_service(entry: Document) -> routes.Service:
    engine = entry.get('engine')
    return routes.Service(
        name=entry['name'],
        health_path=entry.get('health_path') or '/health',
        max_connections=int(entry.get('max_conns') or 0),
        engine=_decode_engine(engine) if engine else None,
        cold_s=float(entry.get('cold_s') or 0),
        cold_per_s=float(entry.get('cold_per_s') or 0),
    )


def _decode_engine(entry: Document) -> routes.Engine:
    return routes.Engine(
        slots=int(entry['slots']),
        models=tuple(map(_decode_model, entry.get('models') or ())),
        step_ms=float(entry['step_ms']),
        step_ms_per_request=float(entry.get('per_seq_ms') or 0),
        prompt_tokens_per_s=float(entry['read_per_s']),
        steps_per_event=int(entry.get('stride') or 1),
        loads_per_s=float(entry.get('loads_per_s') or 1),
        max_concurrent_loads=int(entry.get('loads_at_once') or 1),
        formation_ms=float(entry.get('form_ms') or 0),
        report_lag_ms=float(entry.get('report_lag_ms') or 0),
    )


def _decode_model(entry: Document) -> routes.Model:
    return routes.Model(
        name=entry['name'],
        size=int(entry['size']),
        share=float(entry.get('share') or 0),
        time_factor=float(entry.get('pace') or 1),
        load_s=float(entry['load_s']),
        load_from_host_s=float(entry['warm_s']),
    )


def _decode_limits(entry: Document) -> routes.RequestLimits:
    default = routes.DEFAULT_LIMITS
    return routes.RequestLimits(
        head_bytes=int(entry.get('header_bytes') or default.head_bytes),
        body_bytes=int(entry.get('max_body_bytes') or default.body_bytes),
        head_timeout_ms=int(
            entry.get('header_timeout_ms') or default.head_timeout_ms
        ),
        idle_timeout_ms=int(
            entry.get('idle_timeout_ms') or default.idle_timeout_ms
        ),
    )
