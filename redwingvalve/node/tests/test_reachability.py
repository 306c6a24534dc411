import random
import time

import anyio
import attrs
import pytest
from anyio import lowlevel

from redwingvalve.fleet import endpoints, registry, serving
from redwingvalve.http1 import pool
from redwingvalve.ingress import reachability as reach_module
from redwingvalve.node import lease as lease_module
from redwingvalve.node import reachability, suspicion_sharing

# Time of each step of a busy loop, and for a node to find out about a cut.
BUSY_S = 0.07
NOTICE_S = 3.0


def make_endpoint(number, domain=''):
    return endpoints.Endpoint(
        endpoint_id=f'e{number}',
        born_ms=1,
        service='engine',
        host='127.0.0.1',
        port=1000 + number,
        data_centre='zone-1',
        slots=4,
        draining=False,
        domain=domain,
    )


@attrs.define
class Connections:
    """Connects to all endpoints but those whose ports are dead."""

    dead_ports: set
    tried: list = attrs.field(factory=list)
    # Blocks the whole process in each connect.
    pause_s: float = 0
    # Whether connects to dead ports time out.
    hangs: bool = False

    async def connect(self, address):
        self.tried.append(address)
        self.pause()
        if address[1] in self.dead_ports and self.hangs:
            await anyio.sleep(pool.CONNECT_TIMEOUT_S)
            raise pool.ConnectError('TimeoutError')
        if address[1] in self.dead_ports:
            raise pool.ConnectError('refused', was_refused=True)
        return address

    def pause(self):
        """Block the whole process, other tasks included."""
        time.sleep(self.pause_s)

    def add_idle(self, address, connection):
        """Keep nothing."""


@attrs.define
class Observer(reach_module.ReachObserver):
    verdicts: list = attrs.field(factory=list)

    def reach_checked(self, began_s, *, is_cut_off):
        self.verdicts.append(is_cut_off)


def confirm(known, dead):
    """Return whether a check reaches an endpoint."""
    listed = registry.Registry()
    listed.live = {one.endpoint_id: one for one in known}
    checker = reachability.ReachabilityChecker(
        listed, Connections({one.port for one in dead}), rng=random.Random(1)
    )
    results = []

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(checker.run)
            results.append(await checker.confirm())
            group.cancel_scope.cancel()

    anyio.run(main)
    return results[0]


def test_a_node_is_cut_off_if_no_endpoint_can_be_reached():
    known = [make_endpoint(number) for number in range(8)]
    assert not confirm(known, dead=known)


@pytest.mark.parametrize('domains', [2, 3])
def test_a_dead_domain_is_no_cut(domains):
    """Probes go to other domains as well."""
    known = [
        make_endpoint(number, f'domain-{number % domains}')
        for number in range(24)
    ]
    dead = [one for one in known if one.domain == 'domain-0']
    assert confirm(known, dead)


@pytest.mark.parametrize('reached', range(12))
def test_a_node_that_reaches_one_domain_of_twelve_is_not_cut_off(reached):
    """Six probes would miss the domain half of the time."""
    known = [
        make_endpoint(number, f'domain-{number % 12}') for number in range(48)
    ]
    dead = [one for one in known if one.domain != f'domain-{reached}']
    assert confirm(known, dead)


def test_a_check_during_a_pause_of_the_process_changes_nothing():
    """The node would share its suspicions and stop forwarding."""
    known = [make_endpoint(number) for number in range(8)]
    listed = registry.Registry()
    listed.live = {one.endpoint_id: one for one in known}
    connections = Connections({one.port for one in known})
    checker = reachability.ReachabilityChecker(listed, connections)
    observer = Observer()
    checker.add_observer(observer)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(checker.run)
            await checker.confirm()
            connections.pause_s = 0.15
            tried = len(connections.tried)
            with anyio.move_on_after(4):
                while len(connections.tried) < tried + 12:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert checker.is_cut_off
    assert observer.verdicts == [True]


def test_a_busy_node_finds_out_that_it_is_cut_off():
    """Checks that took long counted for nothing, however often repeated."""
    known = [make_endpoint(number) for number in range(8)]
    listed = registry.Registry()
    listed.live = {one.endpoint_id: one for one in known}
    connections = Connections({one.port for one in known}, hangs=True)
    checker = reachability.ReachabilityChecker(listed, connections)

    busy = Connections(set(), pause_s=BUSY_S)

    async def work():
        while True:
            busy.pause()
            await lowlevel.checkpoint()

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(checker.run)
            group.start_soon(work)
            with anyio.move_on_after(NOTICE_S):
                await checker.confirm()
            group.cancel_scope.cancel()

    anyio.run(main)
    assert checker.is_cut_off


def test_a_single_dead_endpoint_is_no_cut():
    known = [make_endpoint(0)]
    assert confirm(known, dead=known)


@attrs.define
class Table:
    cleared: list = attrs.field(factory=list)

    def clear_suspicion(self, endpoint_id):
        self.cleared.append(endpoint_id)


@attrs.define
class Reach(reach_module.AssumedReach):
    requests: int = 0

    def request_check(self):
        self.requests += 1


def make_sharing():
    told = []
    return suspicion_sharing.SuspicionSharing(
        Table(), Reach(), told.append
    ), told


def suspicion(endpoint_id, since_s):
    return serving.Suspicion(endpoint_id, 1, since_s + 6, since_s)


def test_suspicions_are_shared_after_a_later_connect_only():
    """A check from before the failure says nothing about the links since."""
    sharing, told = make_sharing()
    sharing.add(suspicion('e1', 10.0))
    sharing.reach_checked(9.9, is_cut_off=False)
    assert not told
    assert not sharing.confirmed([suspicion('e1', 10.0)])
    sharing.reach_checked(10.1, is_cut_off=False)
    assert [one.endpoint_id for one in told] == ['e1']
    assert sharing.confirmed([suspicion('e1', 10.0)])


def test_a_cut_off_node_withdraws_its_suspicions():
    sharing, told = make_sharing()
    sharing.add(suspicion('e1', 10.0))
    sharing.reach_checked(10.1, is_cut_off=True)
    assert sharing.table.cleared == ['e1']
    sharing.reach_checked(10.2, is_cut_off=False)
    assert not told


class Store:
    """Accepts all writes."""

    def __init__(self):
        self.holders = []

    async def replace(self, kind, name, spec, revision):
        self.holders.append(spec['holder'])
        return {'metadata': {'revision': len(self.holders)}, 'spec': spec}


def test_a_holder_that_is_cut_off_hands_the_lease_over():
    client = Store()
    lease = lease_module.Lease('vm-1', client, may_hold=lambda: False)
    lease.held_until_s = lease_module.clock.boot_s() + 5

    async def main():
        with anyio.move_on_after(0.1):
            await lease.run(lambda: 0)

    anyio.run(main)
    assert client.holders == ['']
    assert not lease.is_held()
    assert lease.is_handed_over
