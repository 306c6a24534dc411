"""A fleet of peer nodes in one process, over the real messages and sockets.

Time may run slowly for the fleet, so that several hundred members fit on a
part of one core: the work of a second of theirs is done in several of ours,
and processor time is counted for theirs.
"""

import contextlib
import random
import time
import typing
from collections import abc as collections_abc

import anyio
import attrs
from anyio import abc as anyio_abc

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock
from redwingvalve.evidence import prober
from redwingvalve.membership import bounds, members, node
from redwingvalve.news import bus
from redwingvalve.platform_api import object_api
from redwingvalve.standins import memory_store

REGIONS = 5
DATA_CENTRES = 13
SMALL_DATA_CENTRES = 3
HOST = '127.0.0.1'


class SlowClock(clock.SystemClock):
    """A second of this clock takes factor seconds."""

    def __init__(self, factor: float) -> None:
        """Start at the machine's own reading."""
        self._factor = factor
        self._start_s = time.monotonic()

    def monotonic_s(self) -> float:
        """Return the slowed reading."""
        passed_s = time.monotonic() - self._start_s
        return self._start_s + passed_s / self._factor

    async def sleep(self, duration_s: float) -> None:
        """Wait for duration_s of slowed time."""
        await anyio.sleep(duration_s * self._factor)


@attrs.frozen
class NewsLoad:
    """What each member publishes: items of a size, at an interval."""

    items: int
    item_bytes: int
    interval_s: float = prober.PROBE_INTERVAL_S


@attrs.define
class Fleet:
    """Running nodes with the store that they share."""

    nodes: list[node.PeerNode]
    store: memory_store.MemoryObjectApi
    clock: clock.Clock
    bounds: bounds.MembershipBounds
    group: anyio_abc.TaskGroup
    scopes: dict[str, anyio.CancelScope] = attrs.field(factory=dict)

    def start(self, group: anyio_abc.TaskGroup, started: node.PeerNode) -> None:
        """Run a node until it is stopped."""
        scope = anyio.CancelScope()
        self.scopes[started.members.local_member().name] = scope
        self.nodes.append(started)
        group.start_soon(_run_in, scope, started)

    async def darken(self, data_centre: str) -> None:
        """Stop all nodes of a data centre at once, without a word."""
        gone = [
            each
            for each in self.nodes
            if each.members.local_member().data_centre == data_centre
        ]
        for each in gone:
            self.scopes[each.members.local_member().name].cancel()
            self.nodes.remove(each)
        for closed in gone:
            await closed.server.aclose(grace_s=0.0)
            closed.caller.close_idle()

    def holder_in(self, region: str) -> node.PeerNode:
        """Return a process of a region."""
        return next(
            each
            for each in self.nodes
            if each.members.local_member().region == region
        )

    async def bring_back(self, gone: list[members.Member]) -> None:
        """Start processes of the same names again, all at once."""
        contact = f'{HOST}:{self.nodes[0].server.port}'
        for member in gone:
            again = attrs.evolve(
                member,
                incarnation=member.incarnation + 1,
                peer_port=0,
            )
            started = await node.start_peer_node(
                again,
                self.clock,
                (contact,),
                self.store,
                replicas_of=replicas_in,
                bounds=self.bounds,
            )
            self.start(self.group, started)

    async def settled(self) -> None:
        """Wait until every member knows every other one."""
        size = len(self.nodes)
        while any(len(each.members.known()) < size for each in self.nodes):
            await self.clock.sleep(0.2)


EVIDENCE = bus.Channel('evidence', bus.Scope.REGION, 2.5, 8192)


def place_of(index: int, regions: int = REGIONS) -> tuple[str, str]:
    """Return data centre and region of a member; 13 in 5 regions, or 3 in 1."""
    data_centres = DATA_CENTRES if regions > 1 else SMALL_DATA_CENTRES
    data_centre = index % data_centres
    return f'dc-{data_centre:02d}', f'region-{data_centre % regions}'


def make_member(
    index: int, regions: int = REGIONS, per_vm: int = 1
) -> members.Member:
    """Return the member of an index, with names as long as real ones.

    The first process of each VM is a controller when there are several.
    """
    vm_index, process = divmod(index, per_vm)
    data_centre, region = place_of(vm_index, regions)
    role = 'control' if per_vm > 1 and process == 0 else 'entry'
    return members.Member(
        name=f'{data_centre}-{role}-{index:03d}',
        incarnation=int(time.time() * 1000),
        role=role,
        host=HOST,
        peer_port=0,
        http_port=8080,
        data_centre=data_centre,
        region=region,
        vm=f'vm-{vm_index:03d}' if per_vm > 1 else '',
    )


@contextlib.asynccontextmanager
async def run_fleet(
    size: int, factor: float, load: NewsLoad | None, per_vm: int = 1
) -> collections_abc.AsyncIterator[Fleet]:
    """Start size nodes and stop them at the end."""
    timers = SlowClock(factor)
    # Calls time out on the machine's own clock.
    judging = bounds.MembershipBounds(
        probe_timeout_s=bounds.DEFAULT_BOUNDS.probe_timeout_s * factor
    )
    async with anyio.create_task_group() as group:
        store = memory_store.make_memory_object_api()
        fleet = Fleet([], store, timers, judging, group)
        contacts: tuple[str, ...] = ()
        for index in range(size):
            started = await node.start_peer_node(
                make_member(index, per_vm=per_vm),
                timers,
                contacts,
                fleet.store,
                replicas_of=replicas_in,
                bounds=judging,
            )
            contacts = contacts or (f'{HOST}:{started.server.port}',)
            fleet.start(group, started)
            # Newcomers are let in one by one, as processes start.
            await anyio.sleep(0.02)
        if load is not None:
            for each in fleet.nodes:
                group.start_soon(_publish, each.news, load, timers)
        try:
            yield fleet
        finally:
            group.cancel_scope.cancel()
    for stopped in fleet.nodes:
        await stopped.server.aclose()
        stopped.caller.close_idle()


async def _run_in(scope: anyio.CancelScope, started: node.PeerNode) -> None:
    with scope:
        await started.run()


async def _publish(
    news: bus.NewsBus, load: NewsLoad, timers: clock.Clock
) -> None:
    # Random, so that compressing messages does not make it smaller.
    randomness = random.Random(load.item_bytes)
    while True:
        body = randomness.randbytes(load.item_bytes)
        for number in range(load.items):
            news.publish(EVIDENCE, f'{number}', body)
        await timers.sleep(load.interval_s)


def replicas_in(
    stored: object_api.StoredObject,
) -> tuple[snapshot.Replica, ...]:
    """Return the replicas of a domain object of this bench."""
    region = stored.body['region']
    return tuple(
        snapshot.Replica(
            name=f'{stored.name}-{index}',
            deployment='race-model',
            epoch=stored.body['epoch'],
            fabric_domain=stored.name,
            data_centre=stored.body['data_centre'],
            region=region,
            members=tuple(
                snapshot.ReplicaMember(
                    f'{stored.name}-vm-{index}-{vm}', '10.0.0.1:9000'
                )
                for vm in range(4)
            ),
            serving=True,
            model='race',
            version='v1',
        )
        for index in range(stored.body['replicas'])
    )


def domain_body(index: int, epoch: int, replicas: int) -> dict[str, typing.Any]:
    """Return a domain object's body."""
    data_centre, region = place_of(index)
    return {
        'region': region,
        'data_centre': data_centre,
        'epoch': epoch,
        'replicas': replicas,
        'vms': epoch,
    }


def account_body(name: str, priority: int = 1) -> dict[str, typing.Any]:
    """Return an account object's body."""
    return {
        'name': name,
        'credential_sha256': 'a' * 64,
        'priority': priority,
        'tokens_per_s': 5000.0,
        'deployments': ['race-model', 'timing-model'],
    }
