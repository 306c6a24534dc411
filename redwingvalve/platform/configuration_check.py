"""Finds mistakes in a configuration before it is sent to the store.

Load pattern: a mistake in the configuration reaches all nodes within seconds.
Nodes keep the version in force if they can't read the new one, but obey one
that is readable and wrong.
"""

import collections
import enum
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.core import findings
from redwingvalve.ingress import hedge_limit, retry_budget, routes
from redwingvalve.platform import configuration

Document = dict[str, typing.Any]
_Marked: typing.TypeAlias = collections_abc.Iterator[
    tuple['Severity', str, str]
]


class Severity(enum.Enum):
    """How serious a finding is."""

    # The configuration can't be used, or doesn't say what is meant.
    ERROR = 'error'
    # A part of it has no effect.
    WARNING = 'warning'
    # It differs from the version in force.
    CHANGE = 'change'


@attrs.frozen
class Checked:
    """A finding and its severity."""

    severity: Severity
    finding: findings.Finding


@attrs.frozen
class Hedging:
    """What the operator sets outside the configuration."""

    shares: hedge_limit.HedgeShares
    # Retries per request that endpoints accept; None if unknown.
    retry_ratio: float | None = None


def check(spec: typing.Any, file_name: str, hedging: Hedging) -> list[Checked]:
    """Return the errors and warnings about the spec of a configuration."""
    marked = list(_find_malformed(spec))
    if not marked:
        decoded = _decode(spec)
        marked = [
            *_check_names(spec),
            *_check_services(decoded),
            *_check_shadowed(decoded),
            *_check_accounts(spec),
            *_check_limits(decoded),
            *_check_hedging(decoded, hedging),
        ]
    return [
        Checked(
            severity,
            findings.Finding(findings.Location(file_name, path=path), message),
        )
        for severity, path, message in marked
    ]


def _decode(spec: typing.Any) -> routes.Configuration:
    return configuration.decode_configuration(
        {'metadata': {'revision': 0}, 'spec': spec}
    )


def _decode_error(spec: typing.Any) -> str:
    try:
        _decode(spec)
    except configuration.ConfigurationError as error:
        return str(error)
    return ''


def _find_malformed(spec: typing.Any) -> _Marked:
    """Yield what the decoder rejects, entry by entry if it can be told."""
    whole = _decode_error(spec)
    if not whole:
        return
    found = []
    for kind in ('routes', 'services', 'tenants'):
        entries = spec.get(kind) if isinstance(spec, dict) else None
        for number, entry in enumerate(_as_list(entries)):
            alone = {'version': 1, 'routes': [], 'services': [], kind: [entry]}
            error = _decode_error(alone)
            if error:
                found.append((Severity.ERROR, f'{kind}[{number}]', error))
    if not found:
        found.append((Severity.ERROR, '', whole))
    yield from found


def _check_names(spec: Document) -> _Marked:
    for kind in ('routes', 'services', 'tenants'):
        names = [entry['name'] for entry in _as_list(spec.get(kind))]
        for name, count in collections.Counter(names).items():
            if count > 1:
                path = f'{kind}[{name}]'
                yield Severity.ERROR, path, f'{count} entries have this name'


def _check_services(decoded: routes.Configuration) -> _Marked:
    used = set()
    for route in decoded.routes:
        for split in route.splits:
            used.add(split.service)
            if split.service not in decoded.services:
                message = f'service {split.service!r} is not configured'
                yield Severity.ERROR, f'routes[{route.name}]', message
    for name in decoded.services:
        if name not in used:
            yield Severity.WARNING, f'services[{name}]', 'no route leads to it'


def _check_shadowed(decoded: routes.Configuration) -> _Marked:
    first: dict[tuple[str, str], str] = {}
    for route in decoded.routes:
        key = (route.host.lower(), route.path_prefix)
        earlier = first.setdefault(key, route.name)
        if earlier != route.name:
            message = f'never matches: {earlier!r} has its host and prefix'
            yield Severity.WARNING, f'routes[{route.name}]', message


def _check_accounts(spec: Document) -> _Marked:
    holders: dict[str, str] = {}
    for account in _as_list(spec.get('tenants')):
        path = f'tenants[{account["name"]}]'
        keys = account.get('api_keys') or ()
        if not keys:
            yield Severity.WARNING, path, 'has no key, so that nobody uses it'
        for number, key in enumerate(keys):
            holder = holders.setdefault(key, path)
            if holder != path:
                # Keys are secrets and not printed.
                yield (
                    Severity.ERROR,
                    f'{path}.api_keys[{number}]',
                    f'{holder} has the same key',
                )


def _check_limits(decoded: routes.Configuration) -> _Marked:
    for route in decoded.routes:
        path = f'routes[{route.name}]'
        if 0 < route.timeout_ms < route.goal_ms:
            message = (
                f'goal_ms {route.goal_ms} exceeds timeout_ms {route.timeout_ms}'
            )
            yield Severity.WARNING, path, message
        if route.max_attempts > 1 and not route.may_repeat:
            message = (
                f'max_attempts {route.max_attempts} has little effect: after a '
                f'request may have run, {route.kind.value} is not repeated'
            )
            yield Severity.WARNING, path, message
        if sum(split.weight for split in route.splits) <= 0:
            yield Severity.ERROR, path, 'the weights of its split are all 0'


def _check_hedging(decoded: routes.Configuration, hedging: Hedging) -> _Marked:
    hedgeable = {
        split.service
        for route in decoded.routes
        for split in route.splits
        if route.may_repeat and route.max_attempts > 1
    }
    for name in hedging.shares.by_service:
        if name not in decoded.services:
            yield Severity.ERROR, f'services[{name}]', 'hedged, not configured'
    for name in decoded.services:
        share = hedging.shares.share(name)
        path = f'services[{name}]'
        if share > 0 and name not in hedgeable:
            message = 'never hedged: no route repeats with 2 attempts or more'
            yield Severity.WARNING, path, message
        usable = _usable_for_hedges(hedging)
        if share > usable:
            message = f'hedge share {share:g}: retries leave {usable:g} at most'
            yield Severity.WARNING, path, message


def _usable_for_hedges(hedging: Hedging) -> float:
    """Return the share of requests that the retry budget lets be hedged."""
    if hedging.retry_ratio is None:
        return 1.0
    usable = hedging.retry_ratio * retry_budget.USABLE_SHARE
    return round(usable * (1 - hedge_limit.RESERVED_FOR_RETRIES), 4)


def _as_list(entries: typing.Any) -> list[typing.Any]:
    return entries if isinstance(entries, list) else []
