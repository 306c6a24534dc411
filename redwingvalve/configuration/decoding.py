"""From stored objects to records, and from records to a snapshot."""

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
_PLAIN = cattrs.Converter()
_CACHE_SIZE = 20_000
# What of a domain object its replicas are read from.
_DOMAIN_CONTENT = ('region', 'replicas', 'vms')


@attrs.frozen
class _Seen:
    """A domain as last read: at which version, and as which record."""

    version: int = 0
    content: tuple[typing.Any, ...] = ()
    record: int = 0


_NOTHING_SEEN = _Seen()


def no_replicas(
    stored: object_api.StoredObject,
) -> tuple[snapshot.Replica, ...]:
    """Return nothing; for processes that have no decoder."""
    return ()


class Decoder:
    """Decodes records, each version once."""

    def __init__(self, replicas_of: DomainDecoder) -> None:
        """Read fabric domains with replicas_of."""
        self._replicas_of = replicas_of
        self._decoded: dict[tuple[str, str, int], typing.Any] = {}
        self._last_good: dict[tuple[str, str], typing.Any] = {}
        self._contents: dict[str, _Seen] = {}

    def to_record(
        self,
        stored: object_api.StoredObject,
        held: records.Record | None,
    ) -> records.Record | None:
        """Return the record of a stored object; None when nothing changed.

        A fabric domain changes with each renewal of its lease; only its
        replicas concern entries, so that only they become a record.
        """
        version = records.version_of(stored)
        if stored.kind != records.FABRIC_DOMAINS:
            return _declared_record(stored, version)
        # Compared before anything is decoded: of thirty changes a second in a
        # fleet of 150 domains all but a few a day renew a lease.
        content = tuple(stored.body.get(name) for name in _DOMAIN_CONTENT)
        known = self._contents.get(stored.name, _NOTHING_SEEN)
        if version < known.version:
            # A read that was overtaken. Were its content kept, a change back
            # to that content would be taken for no change.
            return None
        is_held = held is not None and not held.deleted
        # Another record is held when a peer saw a change that this process
        # missed; what is read now is newer and has to be said again.
        if is_held and (content, held.version) == (known.content, known.record):
            self._contents[stored.name] = attrs.evolve(known, version=version)
            return None
        replicas = self._replicas_of(stored)
        body = _compact(_PLAIN.unstructure(replicas))
        unchanged = is_held and held.body == body
        self._contents[stored.name] = _Seen(
            version, content, held.version if unchanged else version
        )
        if unchanged:
            return None
        return records.Record(
            stored.kind,
            stored.name,
            version,
            body,
            region=_region_of(stored, replicas, held),
        )

    def to_snapshot(
        self, table: records.RecordTable, region: str, version: int
    ) -> snapshot.Snapshot:
        """Return what the records say; replicas of the region only."""
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
            deployments=self._all(table, records.DEPLOYMENTS),
            services=self._all(table, records.SERVICES),
            client_accounts=self._all(table, records.CLIENT_ACCOUNTS),
            replicas=tuple(replicas),
        )

    def _all(
        self, table: records.RecordTable, kind: str
    ) -> tuple[typing.Any, ...]:
        decoded = [self._decode(record) for record in table.live(kind)]
        return tuple(part for part in decoded if part is not None)

    def _decode(self, record: records.Record) -> typing.Any:
        place = (record.kind, record.name, record.version)
        if place not in self._decoded:
            if len(self._decoded) > _CACHE_SIZE:
                self._decoded.clear()
            self._decoded[place] = self._decode_or_keep(record)
        return self._decoded[place]

    def _decode_or_keep(self, record: records.Record) -> typing.Any:
        decoded = decode(record)
        name = (record.kind, record.name)
        if decoded.is_ok():
            self._last_good[name] = decoded.ok
            return decoded.ok
        # What was in force before stays in force; without it one malformed
        # write would take an account away from its callers.
        LOG.error(
            f'{record.kind}/{record.name} at {record.version} can not be '
            f'read: {decoded.error}'
        )
        empty = () if record.kind == records.FABRIC_DOMAINS else None
        return self._last_good.get(name, empty)


def decode(record: records.Record) -> Result[typing.Any, str]:
    """Return the attrs of a record, or say what is wrong with it."""
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
    held: records.Record | None,
) -> str:
    # A domain that has lost all its replicas has to reach the members that
    # still know some: it stays in its region.
    if replicas:
        return replicas[0].region
    named = stored.body.get('region')
    if isinstance(named, str) and named:
        return named
    return held.region if held is not None else ''


def _declared_record(
    stored: object_api.StoredObject, version: int
) -> records.Record:
    # A removed declaration stays in the store without content, so that a
    # paused writer of an older one cannot bring it back.
    content = objects.declared_content(stored.body)
    if content is None:
        return records.Record(stored.kind, stored.name, version, deleted=True)
    return records.Record(stored.kind, stored.name, version, _compact(content))


def _structure(kind: str, plain: typing.Any) -> typing.Any:
    if kind == records.FABRIC_DOMAINS:
        return _PLAIN.structure(plain, tuple[snapshot.Replica, ...])
    return codec.from_body(plain, _TYPES[kind])


def _compact(plain: typing.Any) -> bytes:
    return json.dumps(plain, separators=(',', ':'), sort_keys=True).encode()
