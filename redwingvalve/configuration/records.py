"""The configuration as versioned records that never revert; pure.

Versions of the store increase over all its objects. If the changes of a kind
are applied in order, its highest version therefore implies that all earlier
changes are known too. Peers send the records above a version in the order of
versions, so a reply that is cut at its size limit is still a prefix.

Load pattern: 1,400 changes a day, most of them to a single account, each to be
in force on 360 nodes within seconds. Sending the whole configuration for each
change would be too much data; a record is sent once to each node.
"""

import collections
from collections import abc as collections_abc

import attrs

from redwingvalve.core import invariants
from redwingvalve.platform_api import object_api
from redwingvalve.wire import messages

DEPLOYMENTS = 'deployments'
CLIENT_ACCOUNTS = 'clientaccounts'
SERVICES = 'services'
FABRIC_DOMAINS = 'fabricdomains'
CONFIGURATION_KINDS = (DEPLOYMENTS, CLIENT_ACCOUNTS, SERVICES)
# Total size of the bodies in one reply to a peer.
MAX_REPLY_BYTES = 400_000
# Deletions kept per kind for nodes that were disconnected; far more than occur
# in the two hours for which dead members are kept.
MAX_TOMBSTONES = 2000

Versions = collections_abc.Mapping[str, int]
WireRecord = messages.peer.ConfigurationRecord


@attrs.frozen
class Record:
    """One object at one version; region is set for fabric domains only."""

    kind: str
    name: str
    version: int
    body: bytes = b''
    deleted: bool = False
    region: str = ''

    @property
    def group(self) -> str:
        """Return the unit that has a version: a kind or a fabric domain.

        The holder of a domain's lease passes on its own writes and may not
        know of changes to other domains, so a single version for all domains
        of a region could not imply that all their changes are known.
        """
        if self.kind == FABRIC_DOMAINS:
            return f'{domain_group_prefix(self.region)}{self.name}'
        return self.kind


def domain_group_prefix(region: str) -> str:
    """Return the common prefix of the groups of a region's domains."""
    return f'{FABRIC_DOMAINS}/{region}/'


def is_stored_in(group: str, region: str) -> bool:
    """Tell whether members of a region store this group."""
    return group in CONFIGURATION_KINDS or group.startswith(
        domain_group_prefix(region)
    )


class RecordTable:
    """All records of this process, and the version of each group."""

    def __init__(
        self, switches: invariants.SafeguardSwitches | None = None
    ) -> None:
        """Start empty."""
        self._switches = switches or invariants.SafeguardSwitches()
        self._records_by_kind: dict[str, dict[str, Record]] = (
            collections.defaultdict(dict)
        )
        self._versions: dict[str, int] = {}
        self._deletions_since: dict[str, int] = {}

    def versions(self) -> dict[str, int]:
        """Return the version up to which each group is complete."""
        return dict(self._versions)

    def get(self, kind: str, name: str) -> Record | None:
        """Return the record of an object, or None."""
        return self._records_by_kind[kind].get(name)

    def live(self, kind: str) -> list[Record]:
        """Return the records of a kind without tombstones, by name."""
        return sorted(
            (
                record
                for record in self._records_by_kind[kind].values()
                if not record.deleted
            ),
            key=lambda record: record.name,
        )

    def apply(self, record: Record) -> bool:
        """Apply a record if it is newer; return whether it was.

        A store restored from a backup, a late response or a peer that was
        disconnected may offer older records. Applying one would revert the
        configuration: callers would see an old limit or a removed deployment
        again. Versions are compared for each record, so that this can't
        happen in any order of messages.
        """
        existing = self._records_by_kind[record.kind].get(record.name)
        only_rises = self._switches.enabled(
            invariants.Safeguard.CONFIGURATION_ONLY_RISES
        )
        if existing is not None and record.version == existing.version:
            return False
        if (
            existing is not None
            and only_rises
            and record.version < existing.version
        ):
            return False
        if only_rises and self._is_stale(record):
            return False
        invariants.require(
            existing is None or record.version > existing.version,
            'configuration never reverts',
            f'{record.kind}/{record.name} would go back to {record.version}',
        )
        self._records_by_kind[record.kind][record.name] = record
        if record.deleted:
            self._limit_tombstones(record.kind)
        return True

    def _is_stale(self, record: Record) -> bool:
        """Tell whether the group is already known at a newer version.

        The table has the newest record of each live object up to the group's
        version. A record at or below that version that is not in the table
        has been replaced or deleted. A late list or reply that still contains
        it must not restore it.
        """
        return record.version <= self._versions.get(record.group, 0)

    def complete(self, versions: Versions) -> None:
        """Set the versions up to which groups are complete."""
        for group, version in versions.items():
            if version > self._versions.get(group, 0):
                self._versions[group] = version

    def apply_listing(
        self,
        kind: str,
        present: collections_abc.Container[str],
        changes: collections_abc.Iterable[Record],
        list_version: int,
    ) -> bool:
        """Apply the store's full list of a kind; absent objects are deleted.

        An absent object counts as deleted only if the list is newer than its
        record, since a list from before its creation does not contain it yet.
        """
        changed = [self.apply(record) for record in changes]
        absent = [
            record
            for record in self.live(kind)
            if record.name not in present and record.version < list_version
        ]
        changed.extend(
            self.apply(_tombstone(record, list_version)) for record in absent
        )
        for group in self._groups(kind):
            self.complete({group: list_version})
            # Objects created and deleted before this list are not in it.
            self._raise_deletions_since(group, list_version)
        return any(changed)

    def apply_reply(self, reply: messages.peer.RecordsReply) -> bool:
        """Apply a peer's reply; return whether anything changed."""
        before = self.versions()
        received = [from_wire(record) for record in reply.records or ()]
        changed = [
            self.apply(record) for record in received if record is not None
        ]
        for group, names in (reply.present or {}).items():
            changed.append(
                self._drop_absent(group, set(names), reply.versions[group])
            )
        for group, since in (reply.deletions_since or {}).items():
            if before.get(group, 0) < since:
                self._raise_deletions_since(group, since)
        self.complete(reply.versions or {})
        return any(changed) or before != self.versions()

    def delta_since(
        self, have: Versions, region: str
    ) -> messages.peer.RecordsReply:
        """Return the records that a peer of a region lacks, oldest first."""
        reply = messages.peer.RecordsReply(
            versions={}, records=[], deletions_since={}, present={}
        )
        left_bytes = MAX_REPLY_BYTES
        for group in sorted(self._versions):
            if not is_stored_in(group, region):
                continue
            have_version = have.get(group, 0)
            newer = self._records_newer_than(group, have_version)
            reply.versions[group] = self._versions[group]
            for record in newer:
                left_bytes -= len(record.body)
                if left_bytes < 0:
                    reply.versions[group] = have_version
                    break
                have_version = record.version
                reply.records.append(_to_wire(record))
            self._add_deletions(reply, group, have.get(group, 0))
        reply.complete = left_bytes >= 0
        return reply

    def _add_deletions(
        self, reply: messages.peer.RecordsReply, group: str, have: int
    ) -> None:
        # A new peer (version 0) gets no tombstones, so other nodes can't rely
        # on it for earlier deletions. It queries several peers at once and may
        # have got deleted records from one that is behind, so it is sent the
        # names of all present records.
        since = self._deletions_since.get(group, 0)
        if have == 0:
            since = self._versions[group]
        reply.deletions_since[group] = since
        if have < since and reply.versions[group] == self._versions[group]:
            kind = group.partition('/')[0]
            reply.present[group] = [
                record.name
                for record in self.live(kind)
                if record.group == group
            ]

    def _drop_absent(self, group: str, present: set[str], version: int) -> bool:
        absent = [
            record
            for record in self.live(group.partition('/')[0])
            if record.group == group
            and record.name not in present
            and record.version < version
        ]
        for record in absent:
            self.apply(_tombstone(record, version))
        return bool(absent)

    def _raise_deletions_since(self, group: str, before: int) -> None:
        known_since = self._deletions_since.get(group, 0)
        self._deletions_since[group] = max(known_since, before)

    def _groups(self, kind: str) -> set[str]:
        found = {
            record.group for record in self._records_by_kind[kind].values()
        }
        if kind in CONFIGURATION_KINDS:
            found.add(kind)
        return found

    def _records_newer_than(
        self, group: str, have_version: int
    ) -> list[Record]:
        newer = [
            record
            for record in self._records_by_kind[
                group.partition('/')[0]
            ].values()
            if record.version > have_version
            and record.group == group
            and not (record.deleted and have_version == 0)
        ]
        return sorted(newer, key=lambda record: record.version)

    def _limit_tombstones(self, kind: str) -> None:
        tombstones = [
            kept
            for kept in self._records_by_kind[kind].values()
            if kept.deleted
        ]
        if len(tombstones) > MAX_TOMBSTONES:
            oldest = min(tombstones, key=lambda kept: kept.version)
            del self._records_by_kind[kind][oldest.name]
            self._raise_deletions_since(oldest.group, oldest.version)


def from_wire(received: WireRecord) -> Record | None:
    """Return a record received from a peer, or None if it is invalid."""
    if not received.kind or not received.name or not received.version:
        return None
    return Record(
        kind=received.kind,
        name=received.name,
        version=received.version,
        body=received.body or b'',
        deleted=bool(received.deleted),
        region=received.region or '',
    )


def version_of(stored: object_api.StoredObject) -> int:
    """Return the version of a stored object as a number."""
    return int(stored.version)


def _tombstone(record: Record, version: int) -> Record:
    return attrs.evolve(record, version=version, body=b'', deleted=True)


def _to_wire(record: Record) -> WireRecord:
    return WireRecord(
        kind=record.kind,
        name=record.name,
        version=record.version,
        body=record.body,
        deleted=record.deleted,
        region=record.region,
    )


def make_record_table(
    switches: invariants.SafeguardSwitches | None = None,
) -> RecordTable:
    """Return an empty table."""
    return RecordTable(switches)
