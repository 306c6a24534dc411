"""Publishes the versions of this process and finds entries without one.

Within a region, each entry publishes its versions on the news bus. A query
for the whole fleet goes to one member of each region, so the number of calls
is that of the regions and not that of the entries.
"""

from collections import abc as collections_abc

import anyio

from redwingvalve.configuration import in_force, records
from redwingvalve.core import clock
from redwingvalve.membership import members, rendezvous
from redwingvalve.news import bus
from redwingvalve.wire import handlers, messages, rpc

# Members of a region that are tried before all its entries count as missing.
MAX_TRIES_PER_REGION = 3


class VersionReports(handlers.ConfigurationHandler):
    """Publishes versions; answers peers' queries for records and versions."""

    def __init__(
        self,
        table: records.RecordTable,
        present: members.Members,
        news: bus.NewsBus,
        caller: rpc.PeerCaller,
        timers: clock.Clock,
    ) -> None:
        """Publish the versions of table on news."""
        self._table = table
        self._members = present
        self._news = news
        self._caller = caller
        self._clock = timers

    async def fetch_records(
        self, request: messages.peer.RecordsRequest
    ) -> messages.peer.RecordsReply:
        """Return the records that the caller lacks."""
        return self._table.delta_since(
            request.have_versions or {}, request.region or ''
        )

    async def find_missing(
        self, request: messages.peer.InForceRequest
    ) -> messages.peer.InForceReply:
        """Name the entries of this region that lack a version."""
        status = self.check_region(request.kind, request.version)
        return messages.peer.InForceReply(
            missing=list(status.missing), entries=status.entries
        )

    def publish(self) -> None:
        """Publish the versions of this process."""
        versions = {
            kind: version
            for kind, version in self._table.versions().items()
            if kind in records.CONFIGURATION_KINDS
        }
        self._news.publish(
            in_force.VERSIONS_CHANNEL,
            in_force.VERSIONS_KEY,
            in_force.encode_versions(versions),
        )

    async def run(self) -> None:
        """Publish the versions periodically, before the last ones expire."""
        while True:
            self.publish()
            await self._clock.sleep(in_force.REPUBLISH_INTERVAL_S)

    def check_region(self, kind: str, version: int) -> in_force.InForce:
        """Check whether a version is in force in this region."""
        region = self._members.local_member().region
        return in_force.missing_entries(
            _by_region(self._members).get(region, ()),
            self._news.read(in_force.VERSIONS_CHANNEL),
            kind,
            version,
        )

    async def check_all_regions(
        self, kind: str, version: int
    ) -> in_force.InForce:
        """Check whether a version is in force in all regions."""
        statuses = [self.check_region(kind, version)]
        request = messages.peer.InForceRequest(kind=kind, version=version)
        regions = _by_region(self._members)
        regions.pop(self._members.local_member().region, None)
        async with anyio.create_task_group() as group:
            for present in regions.values():
                group.start_soon(self._query_region, present, request, statuses)
        return in_force.merge(statuses)

    async def _query_region(
        self,
        present: list[members.Member],
        request: messages.peer.InForceRequest,
        statuses: list[in_force.InForce],
    ) -> None:
        """Query the members of a region in turn until one replies."""
        for member in _members_to_ask(
            present, f'{request.kind}/{request.version}'
        ):
            reply = await self._caller.call(
                (member.host, member.peer_port), 'find_missing', request
            )
            if reply.is_ok():
                statuses.append(
                    in_force.InForce(
                        reply.ok.entries or 0, tuple(reply.ok.missing or ())
                    )
                )
                return
        names = [each.name for each in present if each.role == 'entry']
        statuses.append(in_force.InForce(len(names), tuple(sorted(names))))


def _members_to_ask(
    present: list[members.Member], key: str
) -> collections_abc.Iterator[members.Member]:
    by_name = {member.name: member for member in present}
    chosen = rendezvous.select(by_name, key, MAX_TRIES_PER_REGION)
    for name in chosen:
        yield by_name[name]


def _by_region(
    present: members.Members,
) -> dict[str, list[members.Member]]:
    regions: dict[str, list[members.Member]] = {}
    for member in present.known():
        if member.state is not members.MemberState.DEAD:
            regions.setdefault(member.region, []).append(member)
    return regions
