"""Says what this process has in force, and asks who lacks a version.

Within a region each entry's versions are news. The question for the whole
fleet goes to one member of each region, so that it costs as many calls as
there are regions and not as there are entries.
"""

from collections import abc as collections_abc

import anyio

from redwingvalve.configuration import in_force, records
from redwingvalve.core import clock
from redwingvalve.membership import members, rendezvous
from redwingvalve.news import bus
from redwingvalve.wire import handlers, messages, rpc

# Members of a region that are asked before it counts as cut off.
ASKED_PER_REGION = 3


class VersionReports(handlers.ConfigurationHandler):
    """Reports versions, and answers peers about records and versions."""

    def __init__(
        self,
        table: records.RecordTable,
        present: members.Members,
        news: bus.NewsBus,
        caller: rpc.PeerCaller,
        timers: clock.Clock,
    ) -> None:
        """Report the versions of table as news."""
        self._table = table
        self._members = present
        self._news = news
        self._caller = caller
        self._clock = timers

    async def fetch_records(
        self, request: messages.peer.RecordsRequest
    ) -> messages.peer.RecordsReply:
        """Return the records that the asker lacks."""
        return self._table.above(
            request.have_versions or {}, request.region or ''
        )

    async def find_missing(
        self, request: messages.peer.InForceRequest
    ) -> messages.peer.InForceReply:
        """Name the entries of this region that lack a version."""
        found = self.missing_here(request.kind, request.version)
        return messages.peer.InForceReply(
            missing=list(found.missing), entries=found.entries
        )

    def say(self) -> None:
        """Publish the versions of this process."""
        said = {
            kind: version
            for kind, version in self._table.versions().items()
            if kind in records.CONFIGURATION_KINDS
        }
        self._news.publish(
            in_force.VERSIONS_CHANNEL,
            in_force.VERSIONS_KEY,
            in_force.pack_versions(said),
        )

    async def run(self) -> None:
        """Say the versions again before they are too old."""
        while True:
            self.say()
            await self._clock.sleep(in_force.REPEAT_S)

    def missing_here(self, kind: str, version: int) -> in_force.InForce:
        """Tell for this region whether a version is in force."""
        region = self._members.local_member().region
        return in_force.missing_entries(
            _by_region(self._members).get(region, ()),
            self._news.read(in_force.VERSIONS_CHANNEL),
            kind,
            version,
        )

    async def ask_all(self, kind: str, version: int) -> in_force.InForce:
        """Tell for all regions whether a version is in force."""
        answers = [self.missing_here(kind, version)]
        request = messages.peer.InForceRequest(kind=kind, version=version)
        regions = _by_region(self._members)
        regions.pop(self._members.local_member().region, None)
        async with anyio.create_task_group() as group:
            for present in regions.values():
                group.start_soon(self._ask_region, present, request, answers)
        return in_force.merge(answers)

    async def _ask_region(
        self,
        present: list[members.Member],
        request: messages.peer.InForceRequest,
        answers: list[in_force.InForce],
    ) -> None:
        """Ask the members of a region in turn until one answers."""
        for member in _asked(present, f'{request.kind}/{request.version}'):
            answer = await self._caller.call(
                (member.host, member.peer_port), 'find_missing', request
            )
            if answer.is_ok():
                answers.append(
                    in_force.InForce(
                        answer.ok.entries or 0, tuple(answer.ok.missing or ())
                    )
                )
                return
        names = [each.name for each in present if each.role == 'entry']
        answers.append(in_force.InForce(len(names), tuple(sorted(names))))


def _asked(
    present: list[members.Member], question: str
) -> collections_abc.Iterator[members.Member]:
    by_name = {member.name: member for member in present}
    chosen = rendezvous.select(by_name, question, ASKED_PER_REGION)
    for name in chosen:
        yield by_name[name]


def _by_region(
    present: members.Members,
) -> dict[str, list[members.Member]]:
    found: dict[str, list[members.Member]] = {}
    for member in present.known():
        if member.state is not members.MemberState.DEAD:
            found.setdefault(member.region, []).append(member)
    return found
