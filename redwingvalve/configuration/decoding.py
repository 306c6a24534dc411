"""Converts stored objects to records, and records to a snapshot."""

import json
import types
import typing
from collections import abc as collections_abc

import attrs
import cattrs
from expression import Error, Ok, Result

from redwingvalve.configuration import records, snapshot
from redwingvalve.declaration import schema
from redwingvalve.observability import logs
from redwingvalve.plans import objects
from redwingvalve.platform_api import object_api
from redwingvalve.replicas import codec

LOG = logs.make_logger('configuration')
DomainDecoder = collections_abc.Callable[
    [object_api.StoredObject], tuple[snapshot.Replica, ...]
]
_TYPES = types.MappingProxyType(
    {
        records.DEPLOYMENTS: schema.ModelDeployment,
        records.SERVICES: schema.PlainService,
        records.CLIENT_ACCOUNTS: schema.ClientAccount,
    }
)
_CONVERTER = cattrs.Converter()
_CACHE_SIZE = 20_000
# The fields of a domain object that its replicas are decoded from.
_REPLICA_FIELDS = ('region', 'replicas', 'vms')


@attrs.frozen
class _LastRead:
    """The last read of a domain: its version, fields and record version."""

    version: int = 0
    content: tuple[typing.Any, ...] = ()
    record: int = 0


_NEVER_READ = _LastRead()


def no_replicas(
    stored: object_api.StoredObject,
) -> tuple[snapshot.Replica, ...]:
    """Return no replicas; for processes without a domain decoder."""
    return ()


class Decoder:
    """Decodes records and caches the result for each version."""

    def __init__(self, decode_replicas: DomainDecoder) -> None:
        """Decode the replicas of fabric domains with decode_replicas."""
        self._decode_replicas = decode_replicas
        self._decoded: dict[tuple[str, str, int], typing.Any] = {}
        self._last_valid: dict[tuple[str, str], typing.Any] = {}
        self._last_reads: dict[str, _LastRead] = {}

    def to_record(
        self,
        stored: object_api.StoredObject,
        existing: records.Record | None,
    ) -> records.Record | None:
        """Return the record of a stored object, or None if it is unchanged.

        A fabric domain changes with each renewal of its lease. Entries need
        only its replicas, so the record has only these.
        """
        version = records.version_of(stored)
        if stored.kind != records.FABRIC_DOMAINS:
            return _declared_record(stored, version)
        # Compared before decoding, since nearly all changes are lease renewals:
        # thirty a second with 150 domains, against a few other ones a day.
        content = tuple(stored.body.get(name) for name in _REPLICA_FIELDS)
        previous = self._last_reads.get(stored.name, _NEVER_READ)
        if version < previous.version:
            # An outdated read. If its content were remembered, a later change
            # back to that content would look like no change.
            return None
        is_known = existing is not None and not existing.deleted
        # The table has another record if a peer saw a change that this process
        # missed. The current read is newer and has to become a record again.
        if is_known and (content, existing.version) == (
            previous.content,
            previous.record,
        ):
            self._last_reads[stored.name] = attrs.evolve(
                previous, version=version
            )
            return None
        replicas = self._decode_replicas(stored)
        body = _to_json(_CONVERTER.unstructure(replicas))
        unchanged = is_known and existing.body == body
        self._last_reads[stored.name] = _LastRead(
            version, content, existing.version if unchanged else version
        )
        if unchanged:
            return None
        return records.Record(
            stored.kind,
            stored.name,
            version,
            body,
            region=_region_of(stored, replicas, existing),
        )

    def to_snapshot(
        self, table: records.RecordTable, region: str, version: int
    ) -> snapshot.Snapshot:
        """Return a snapshot of the records, with the replicas of one region."""
        domains = [
            record
            for record in table.live(records.FABRIC_DOMAINS)
            if record.region == region
        ]
        replicas = [
            replica for record in domains for replica in self._decode(record)
        ]
        return snapshot.Snapshot(
            version=version,
            deployments=self._decode_all(table, records.DEPLOYMENTS),
            services=self._decode_all(table, records.SERVICES),
            client_accounts=self._decode_all(table, records.CLIENT_ACCOUNTS),
            replicas=tuple(replicas),
        )

    def _decode_all(
        self, table: records.RecordTable, kind: str
    ) -> tuple[typing.Any, ...]:
        decoded = [self._decode(record) for record in table.live(kind)]
        return tuple(part for part in decoded if part is not None)

    def _decode(self, record: records.Record) -> typing.Any:
        key = (record.kind, record.name, record.version)
        if key not in self._decoded:
            if len(self._decoded) > _CACHE_SIZE:
                self._decoded.clear()
            self._decoded[key] = self._decode_or_last_valid(record)
        return self._decoded[key]

    def _decode_or_last_valid(self, record: records.Record) -> typing.Any:
        decoded = decode(record)
        name = (record.kind, record.name)
        if decoded.is_ok():
            self._last_valid[name] = decoded.ok
            return decoded.ok
        # The last valid version stays in force. Otherwise a single malformed
        # write would remove an account that callers use.
        LOG.error(
            f'{record.kind}/{record.name} at {record.version} cannot be '
            f'read: {decoded.error}'
        )
        empty = () if record.kind == records.FABRIC_DOMAINS else None
        return self._last_valid.get(name, empty)


def decode(record: records.Record) -> Result[typing.Any, str]:
    """Return the decoded body of a record, or the reason why it is invalid."""
    try:
        plain = json.loads(record.body)
    except ValueError as error:
        return Error(f'not JSON: {error}')
    try:
        return Ok(_structure(record.kind, plain))
    except Exception as error:  # noqa: BLE001 - cattrs raises many kinds
        return Error(repr(error))


def _region_of(
    stored: object_api.StoredObject,
    replicas: tuple[snapshot.Replica, ...],
    existing: records.Record | None,
) -> str:
    # A domain without replicas keeps its region, so that its record reaches
    # the members that still have replicas of it.
    if replicas:
        return replicas[0].region
    named = stored.body.get('region')
    if isinstance(named, str) and named:
        return named
    return existing.region if existing is not None else ''


def _declared_record(
    stored: object_api.StoredObject, version: int
) -> records.Record:
    # A removed declared object stays in the store as a tombstone, so that a
    # paused writer of an older generation cannot restore it.
    content = objects.declared_content(stored.body)
    if content is None:
        return records.Record(stored.kind, stored.name, version, deleted=True)
    return records.Record(stored.kind, stored.name, version, _to_json(content))


def _structure(kind: str, plain: typing.Any) -> typing.Any:
    if kind == records.FABRIC_DOMAINS:
        return _CONVERTER.structure(plain, tuple[snapshot.Replica, ...])
    return codec.from_body(plain, _TYPES[kind])


def _to_json(plain: typing.Any) -> bytes:
    return json.dumps(plain, separators=(',', ':'), sort_keys=True).encode()
