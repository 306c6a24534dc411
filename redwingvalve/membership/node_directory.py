"""Node objects in the store, which new processes read to find the others.

Load pattern: 650 processes a day are restarted or replaced. Each writes its
object once at start and deletes it when it leaves, and lists the objects at
start and then every few minutes, which with 360 nodes is one or two reads per
second. Liveness is never stored here, as that would cost a write per second
and node.
"""

import random

from redwingvalve.core import clock
from redwingvalve.membership import gossip, members, rendezvous
from redwingvalve.observability import logs
from redwingvalve.platform_api import object_api

LOG = logs.make_logger('membership')
KIND = 'nodes'
READ_INTERVAL_S = 300.0
RETRY_INTERVAL_S = 2.0
WRITE_ATTEMPTS = 4


class NodeDirectory:
    """Maintains this process's node object and reads those of others."""

    def __init__(
        self,
        objects: object_api.ObjectApi,
        present: gossip.GossipMembers,
        timers: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Prepare the directory; run or write accesses the store."""
        self._objects = objects
        self._members = present
        self._clock = timers
        self._rng = rng

    async def find_contacts(self) -> bool:
        """Read the node objects once; return False if the store fails."""
        listed = await self._objects.list(KIND)
        if listed.is_error():
            return False
        self._members.confirm_connectivity()
        found = [_address(stored.body) for stored in listed.ok.objects]
        self._members.selector.add_contacts(
            tuple(address for address in found if address is not None)
        )
        await self._delete_dead(listed.ok.objects)
        return True

    async def run(self) -> None:
        """Write this process's object, then list the objects periodically."""
        while not await self.write():
            await self._clock.sleep(
                RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            )
        while True:
            interval_s = READ_INTERVAL_S
            if self._members.isolated() or len(self._members.known()) == 1:
                interval_s = RETRY_INTERVAL_S
            await self._clock.sleep(interval_s * self._rng.uniform(0.5, 1.5))
            await self.find_contacts()

    async def write(self) -> bool:
        """Create or replace this process's object; return False on failure."""
        me = self._members.local_member()
        body = _body(me)
        for _ in range(WRITE_ATTEMPTS):
            created = await self._objects.create(KIND, me.name, body)
            if created.is_ok():
                return True
            if not isinstance(created.error, object_api.Conflict):
                return False
            if await self._replace(me.name, body):
                return True
        return False

    async def remove(self) -> None:
        """Delete this process's object, unless the store is unavailable."""
        me = self._members.local_member()
        held = await self._objects.get(KIND, me.name)
        if held.is_ok() and held.ok.body.get('incarnation') == me.incarnation:
            await self._objects.delete(KIND, me.name, held.ok.version)

    async def _replace(self, name: str, body: object_api.Body) -> bool:
        held = await self._objects.get(KIND, name)
        if held.is_error():
            return False
        stored = object_api.StoredObject(KIND, name, held.ok.version, body)
        return (await self._objects.update(stored)).is_ok()

    async def _delete_dead(
        self, listed: tuple[object_api.StoredObject, ...]
    ) -> None:
        """Delete objects of dead members assigned to this process."""
        known = {member.name: member for member in self._members.known()}
        alive = [member.name for member in self._members.alive()]
        me = self._members.local_member().name
        for stored in listed:
            member = known.get(stored.name)
            if member is None or member.state is not members.MemberState.DEAD:
                continue
            if rendezvous.select(alive, stored.name, 1) == (me,):
                await self._objects.delete(KIND, stored.name, stored.version)


def _body(me: members.Member) -> object_api.Body:
    return {
        'incarnation': me.incarnation,
        'role': me.role,
        'host': me.host,
        'peer_port': me.peer_port,
        'http_port': me.http_port,
        'data_centre': me.data_centre,
        'region': me.region,
    }


def _address(body: object_api.Body) -> tuple[str, int] | None:
    host, port = body.get('host'), body.get('peer_port')
    if isinstance(host, str) and isinstance(port, int):
        return (host, port)
    return None


def make_node_directory(
    objects: object_api.ObjectApi,
    present: gossip.GossipMembers,
    timers: clock.Clock,
    rng: random.Random,
) -> NodeDirectory:
    """Return a directory that has not accessed the store yet."""
    return NodeDirectory(objects, present, timers, rng)
