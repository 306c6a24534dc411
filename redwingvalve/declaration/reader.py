"""Reads and validates declarations, before a plan is made."""

import re
from collections import abc as collections_abc

import attrs
from expression import Error, Result

from redwingvalve.core import findings
from redwingvalve.declaration import schema
from redwingvalve.documents import binder, files

NAME_PATTERN = re.compile('[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')
SHA256_PATTERN = re.compile('[0-9a-f]{64}')
MIN_PRIORITY = 0
MAX_PRIORITY = 9
MAX_VMS_PER_REPLICA = 64

Bound = binder.BoundDocument[schema.Declaration]
FoundIterator = collections_abc.Iterator[findings.Finding]


def read_file(
    file_name: str,
) -> Result[Bound, findings.Findings]:
    """Read and check a declaration file."""
    text = files.read_text(file_name)
    if text.is_error():
        return Error(text.error)
    return read_text(text.ok, file_name)


def read_text(text: str, file_name: str) -> Result[Bound, findings.Findings]:
    """Check a declaration given as text; file_name is for the findings."""
    return binder.bind_text(text, file_name, schema.Declaration, _check)


def _check(bound: Bound) -> FoundIterator:
    for section in ('deployments', 'services', 'client_accounts'):
        yield from _check_names(bound, section)
    yield from _check_deployments(bound)
    yield from _check_services(bound)
    yield from _check_accounts(bound)
    yield from _check_failures(bound)


def _check_names(bound: Bound, section: str) -> FoundIterator:
    seen: set[str] = set()
    for index, declared in enumerate(getattr(bound.content, section)):
        location = bound.locations.locate(section, index, 'name')
        if not NAME_PATTERN.fullmatch(declared.name):
            yield findings.Finding(
                location,
                f'{declared.name!r} is not a valid name: lower-case letters, '
                'digits and hyphens, at most 63',
            )
        if declared.name in seen:
            yield findings.Finding(
                location, f'the name {declared.name!r} is already taken'
            )
        seen.add(declared.name)


def _check_deployments(bound: Bound) -> FoundIterator:
    for index, deployment in enumerate(bound.content.deployments):
        path = ('deployments', index)
        if not 0 < deployment.vms_per_replica <= MAX_VMS_PER_REPLICA:
            yield _finding(
                bound,
                f'must be from 1 to {MAX_VMS_PER_REPLICA}',
                *path,
                'vms_per_replica',
            )
        if deployment.replicas < 0:
            yield _finding(bound, 'must not be negative', *path, 'replicas')
        if (
            not 0 <= deployment.floor_replicas <= max(deployment.replicas, 0)
        ) and bound.is_valid(*path, 'replicas'):
            yield _finding(
                bound, 'must be from 0 to replicas', *path, 'floor_replicas'
            )
        yield from _check_positive(
            bound,
            deployment,
            path,
            (
                'accelerators_per_vm',
                'tokens_per_s_per_replica',
                'max_batch_tokens',
                'load_time_s',
                'first_token_target_s',
                'token_gap_target_s',
            ),
        )
        yield from _check_prices(bound, deployment, path)


def _check_prices(
    bound: Bound, deployment: schema.ModelDeployment, path: tuple[str, int]
) -> FoundIterator:
    for name in (
        'downtime_per_replica_minute',
        'stranded_per_accelerator_minute',
    ):
        if getattr(deployment.prices, name) < 0:
            yield _finding(bound, 'must not be negative', *path, 'prices', name)


def _check_services(bound: Bound) -> FoundIterator:
    seen_prefixes: set[str] = set()
    for index, service in enumerate(bound.content.services):
        path = ('services', index)
        prefix = service.path_prefix
        if not prefix.startswith('/') or prefix.startswith('/v1/'):
            yield _finding(
                bound,
                'must start with / and not with /v1/',
                *path,
                'path_prefix',
            )
        if prefix in seen_prefixes:
            yield _finding(
                bound, f'{prefix!r} is already taken', *path, 'path_prefix'
            )
        seen_prefixes.add(prefix)
        if not service.addresses:
            yield _finding(
                bound, 'at least one address is required', *path, 'addresses'
            )
        yield from _check_addresses(bound, service, path)
        yield from _check_positive(
            bound, service, path, ('timeout_s', 'max_in_flight_per_address')
        )


def _check_addresses(
    bound: Bound, service: schema.PlainService, path: tuple[str, int]
) -> FoundIterator:
    for position, address in enumerate(service.addresses):
        host, _, port = address.rpartition(':')
        if not host or not port.isdigit():
            yield _finding(
                bound,
                f'{address!r} is not host:port',
                *path,
                'addresses',
                position,
            )


def _check_accounts(bound: Bound) -> FoundIterator:
    for index, account in enumerate(bound.content.client_accounts):
        path = ('client_accounts', index)
        if not SHA256_PATTERN.fullmatch(account.credential_sha256):
            yield _finding(
                bound,
                'must be the SHA-256 of the credential, 64 lower-case hex '
                'digits',
                *path,
                'credential_sha256',
            )
        if not MIN_PRIORITY <= account.priority <= MAX_PRIORITY:
            yield _finding(
                bound,
                f'must be from {MIN_PRIORITY} to {MAX_PRIORITY}',
                *path,
                'priority',
            )
        yield from _check_positive(bound, account, path, ('weight',))
        for name in (
            'tokens_per_s',
            'requests_per_s',
            'penalty_per_missed_request',
        ):
            if getattr(account, name) < 0:
                yield _finding(bound, 'must not be negative', *path, name)
        yield from _check_account_deployments(bound, account, path)


def _check_account_deployments(
    bound: Bound, account: schema.ClientAccount, path: tuple[str, int]
) -> FoundIterator:
    deployments = bound.content.deployments
    if not all(
        bound.is_valid('deployments', index, 'name')
        for index in range(len(deployments))
    ):
        return
    known = {deployment.name for deployment in deployments}
    for position, name in enumerate(account.deployments):
        if name not in known:
            yield _finding(
                bound,
                f'no deployment is named {name!r}',
                *path,
                'deployments',
                position,
            )


def _check_failures(bound: Bound) -> FoundIterator:
    for name in attrs.fields_dict(schema.FailureFigures):
        if getattr(bound.content.failures, name) < 0:
            yield _finding(bound, 'must not be negative', 'failures', name)


def _check_positive(
    bound: Bound,
    declared: object,
    path: tuple[str, int],
    names: tuple[str, ...],
) -> FoundIterator:
    for name in names:
        if getattr(declared, name) <= 0:
            yield _finding(bound, 'must be above zero', *path, name)


def _finding(bound: Bound, message: str, *path: str | int) -> findings.Finding:
    return findings.Finding(bound.locations.locate(*path), message)
