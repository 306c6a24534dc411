"""The configuration as versioned records; a record never goes back.

Pure. The store's versions rise over all its objects, so that within a kind
the highest version known, taken in order, says that every earlier change is
known too. Peers pass on only the records above a version, in the order of
versions; a message cut short therefore leaves a prefix.

Load pattern: 1,400 changes a day, most to one account, each to be in force on
360 nodes within seconds. Sending the whole configuration each time would cost
its size times the changes; a record travels once to each node.
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
# Bytes of bodies in one answer to a peer.
MAX_ANSWER_BYTES = 400_000
# Deletions remembered for each kind, so that a node that was away learns of
# them; far more than happen in the two hours for which the dead are kept.
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
        """Return the kind; each fabric domain is a group of its own.

        The holder of a domain's lease passes its own writes on and knows
        nothing of other domains, so that one version for a region's domains
        would claim too much.
        """
        if self.kind == FABRIC_DOMAINS:
            return f'{domains_of(self.region)}{self.name}'
        return self.kind


def domains_of(region: str) -> str:
    """Return how the groups of a region's fabric domains begin."""
    return f'{FABRIC_DOMAINS}/{region}/'


def concerns(group: str, region: str) -> bool:
    """Tell whether members of a region keep this group."""
    return group in CONFIGURATION_KINDS or group.startswith(domains_of(region))


class RecordTable:
    """All records this process knows, with the version of each group."""

    def __init__(
        self, switches: invariants.SafeguardSwitches | None = None
    ) -> None:
        """Start empty."""
        self._switches = switches or invariants.SafeguardSwitches()
        self._kinds: dict[str, dict[str, Record]] = collections.defaultdict(
            dict
        )
        self._versions: dict[str, int] = {}
        self._deletions_since: dict[str, int] = {}

    def versions(self) -> dict[str, int]:
        """Return up to which version each group is known completely."""
        return dict(self._versions)

    def held(self, kind: str, name: str) -> Record | None:
        """Return the record of an object, or None."""
        return self._kinds[kind].get(name)

    def live(self, kind: str) -> list[Record]:
        """Return the records of a kind that are not deleted, by name."""
        return sorted(
            (
                record
                for record in self._kinds[kind].values()
                if not record.deleted
            ),
            key=lambda record: record.name,
        )

    def take(self, record: Record) -> bool:
        """Take a record if it is newer; True when it was.

        A store restored from a backup, a late answer or a peer that was away
        offers older records; taking one would put a withdrawn configuration
        back in force, seen by callers as a limit or a deployment that comes
        back. Versions are compared record by record, so that no order of
        messages can do this.
        """
        held = self._kinds[record.kind].get(record.name)
        rises = self._switches.enabled(
            invariants.Safeguard.CONFIGURATION_ONLY_RISES
        )
        if held is not None and record.version == held.version:
            return False
        if held is not None and rises and record.version < held.version:
            return False
        if rises and self._knows_past(record):
            return False
        invariants.require(
            held is None or record.version > held.version,
            'configuration never reverts',
            f'{record.kind}/{record.name} would go back to {record.version}',
        )
        self._kinds[record.kind][record.name] = record
        if record.deleted:
            self._bound_tombstones(record.kind)
        return True

    def _knows_past(self, record: Record) -> bool:
        """Tell whether what we hold is newer than this record.

        Up to the group's version every live object is held at its newest. A
        record below it that is not held was replaced or deleted since; a late
        list or answer that still shows it would bring it back.
        """
        return record.version <= self._versions.get(record.group, 0)

    def complete(self, versions: Versions) -> None:
        """Note that everything up to these versions has been taken."""
        for group, version in versions.items():
            if version > self._versions.get(group, 0):
                self._versions[group] = version

    def take_listing(
        self,
        kind: str,
        present: collections_abc.Container[str],
        changes: collections_abc.Iterable[Record],
        list_version: int,
    ) -> bool:
        """Take the store's full list of a kind; those not present are gone.

        An object is held to be deleted only when the list is newer than the
        record: a list from before a creation does not show the object yet.
        """
        changed = [self.take(record) for record in changes]
        absent = [
            record
            for record in self.live(kind)
            if record.name not in present and record.version < list_version
        ]
        changed.extend(
            self.take(_tombstone(record, list_version)) for record in absent
        )
        for group in self._groups(kind):
            self.complete({group: list_version})
            # What was created and deleted before this list is not in it.
            self._forget_deletions(group, list_version)
        return any(changed)

    def take_reply(self, reply: messages.peer.RecordsReply) -> bool:
        """Take a peer's answer; True when something changed."""
        before = self.versions()
        heard = [from_wire(record) for record in reply.records or ()]
        changed = [self.take(record) for record in heard if record is not None]
        for group, names in (reply.present or {}).items():
            changed.append(
                self._drop_absent(group, set(names), reply.versions[group])
            )
        for group, since in (reply.deletions_since or {}).items():
            if before.get(group, 0) < since:
                self._forget_deletions(group, since)
        self.complete(reply.versions or {})
        return any(changed) or before != self.versions()

    def above(self, have: Versions, region: str) -> messages.peer.RecordsReply:
        """Return what a peer of a region lacks, oldest first."""
        reply = messages.peer.RecordsReply(
            versions={}, records=[], deletions_since={}, present={}
        )
        left_bytes = MAX_ANSWER_BYTES
        for group in sorted(self._versions):
            if not concerns(group, region):
                continue
            have_version = have.get(group, 0)
            lacking = self._lacking(group, have_version)
            reply.versions[group] = self._versions[group]
            for record in lacking:
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
        # A newcomer is told of no deletions, and nobody may rely on it for
        # earlier ones. It asks several peers at once, so that it may hold what
        # an older one of them gave: the names that are present tell it.
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
            self.take(_tombstone(record, version))
        return bool(absent)

    def _forget_deletions(self, group: str, before: int) -> None:
        known_since = self._deletions_since.get(group, 0)
        self._deletions_since[group] = max(known_since, before)

    def _groups(self, kind: str) -> set[str]:
        found = {record.group for record in self._kinds[kind].values()}
        if kind in CONFIGURATION_KINDS:
            found.add(kind)
        return found

    def _lacking(self, group: str, have_version: int) -> list[Record]:
        lacking = [
            record
            for record in self._kinds[group.partition('/')[0]].values()
            if record.version > have_version
            and record.group == group
            and not (record.deleted and have_version == 0)
        ]
        return sorted(lacking, key=lambda record: record.version)

    def _bound_tombstones(self, kind: str) -> None:
        gone = [kept for kept in self._kinds[kind].values() if kept.deleted]
        if len(gone) > MAX_TOMBSTONES:
            oldest = min(gone, key=lambda kept: kept.version)
            del self._kinds[kind][oldest.name]
            self._forget_deletions(oldest.group, oldest.version)


def from_wire(heard: WireRecord) -> Record | None:
    """Return a record as a peer sent it, or None when it is unsound."""
    if not heard.kind or not heard.name or not heard.version:
        return None
    return Record(
        kind=heard.kind,
        name=heard.name,
        version=heard.version,
        body=heard.body or b'',
        deleted=bool(heard.deleted),
        region=heard.region or '',
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
