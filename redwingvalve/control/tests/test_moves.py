"""Changes roll through full domains, and replicas move out of domains that
lost VMs, without extra downtime even if a controller dies meanwhile."""

import anyio
import attrs
import pytest

from redwingvalve.control.tests import test_loop
from redwingvalve.replicas import codec, shares
from redwingvalve.replicas import domain as domain_module

MAX_STEPS = 4000


class Harness(test_loop.Harness):
    """d0 is full; d1 has free VMs for one more replica of three VMs."""

    async def start(self, *loops, replicas=5, **changed):
        await self.confirm(test_loop.declared(replicas))
        await self.until(lambda: self.serving() == replicas, *loops)
        await self.confirm(self.next_version(replicas, **changed))

    def next_version(self, replicas, **changed):
        declared = test_loop.declared(replicas)
        (deployment,) = declared.deployments
        changed = attrs.evolve(deployment, version='2', **changed)
        return attrs.evolve(declared, deployments=(changed,))

    async def until(self, condition, *loops, min_serving=0, domains=()):
        for _ in range(MAX_STEPS):
            if condition():
                return
            await self.run(0.5, *loops)
            assert self.serving_on_engines(*domains) >= min_serving
        raise AssertionError('condition not met within the step limit')

    def serving_on_engines(self, *names):
        return sum(
            replica.state == 'serving' and self.is_whole(replica)
            for domain in self.domains()
            for replica in domain.replicas
            if not names or domain.name in names
        )

    def is_whole(self, replica):
        engines = [self.fleet.engine(vm) for vm in replica.members]
        return all(e.alive and e.state.epoch == replica.epoch for e in engines)

    def domains(self):
        listed = self.store.list_now(domain_module.KIND).objects
        return [domain_module.from_stored(stored) for stored in listed]

    def allocation(self):
        (stored,) = self.store.list_now(shares.KIND).objects
        return codec.from_body(stored.body, shares.Allocation)

    def all_current(self):
        replicas = [r for d in self.domains() for r in d.replicas]
        return not self.allocation().moves and all(
            (r.version, r.state) == ('2', 'serving') for r in replicas
        )

    def set_alive(self, domain, *, alive):
        for engine in self.fleet.engines.values():
            if engine.vm.fabric_domain == domain:
                engine.alive = alive


def test_a_change_rolls_through_full_domains_without_downtime():
    """Only d1 has room. It changes first and takes over one replica of d0,
    which frees VMs for the change in d0. Five replicas serve all the time."""

    async def scenario():
        harness = Harness()
        one = harness.loop('one')
        await harness.start(one)
        await harness.until(harness.all_current, one, min_serving=5)
        assert harness.serving() == harness.allocation().total('quotes') == 5

    anyio.run(scenario)


@pytest.mark.parametrize('at_moves', [1, 0])
def test_another_controller_continues_the_change(at_moves):
    """A controller dies during a move or right after it. Another one acquires
    the leases and reads the moves in progress from the allocation. Five
    replicas serve all the time."""

    async def scenario():
        harness = Harness()
        one, two = harness.loop('one'), harness.loop('two')
        await harness.start(one)
        await harness.until(
            lambda: harness.allocation().moves, one, min_serving=5
        )
        await harness.until(
            lambda: len(harness.allocation().moves) == at_moves,
            one,
            min_serving=5,
        )
        await harness.until(harness.all_current, two, min_serving=5)
        assert harness.serving() == harness.allocation().total('quotes') == 5

    anyio.run(scenario)


def test_a_move_is_cancelled_when_its_target_becomes_unreachable():
    """d1 becomes unreachable while it forms the replica that makes room in d0.
    The move is cancelled and all replicas of d0 keep serving the old version.
    The change continues when d1 is reachable again."""

    async def scenario():
        harness = Harness()
        one = harness.loop('one')
        await harness.start(one)
        await harness.until(
            lambda: harness.allocation().moves, one, min_serving=5
        )
        await harness.run(5, one)
        harness.set_alive('d1', alive=False)
        await harness.until(
            lambda: not harness.allocation().moves,
            one,
            min_serving=3,
            domains=('d0',),
        )
        await harness.until(
            lambda: harness.allocation().replicas('d0', 'quotes') == 3,
            one,
            min_serving=3,
            domains=('d0',),
        )
        harness.set_alive('d1', alive=True)
        await harness.until(
            lambda: harness.serving_on_engines() == 5,
            one,
            min_serving=3,
            domains=('d0',),
        )
        await harness.until(harness.all_current, one, min_serving=5)

    anyio.run(scenario)


def test_without_room_anywhere_a_change_waits_unless_it_is_accepted():
    async def scenario():
        for accepted in (False, True):
            harness = Harness()
            one = harness.loop('one')
            await harness.start(
                one,
                replicas=6,
                floor_replicas=4,
                accepts_change_in_place=accepted,
            )
            if accepted:
                await harness.until(harness.all_current, one, min_serving=4)
            else:
                await harness.run(300, one)
                assert harness.serving_on_engines() == 6
                assert not harness.all_current()

    anyio.run(scenario)


def test_a_move_is_cancelled_when_the_lost_vm_returns():
    """A VM of d0 is lost and d0 has no spare, so d1 starts to form the replica
    within three seconds. The VM returns before the load ends: d0 serves again
    and the move is cancelled. If the share had been taken from d0 at once, the
    replica that had recovered would have been drained."""

    async def scenario():
        harness = Harness()
        one = harness.loop('one')
        await harness.confirm(test_loop.declared(5))
        await harness.until(lambda: harness.serving() == 5, one)
        harness.fleet.engine('vm-0').alive = False
        await harness.run(3, one)
        assert harness.allocation().moves
        harness.fleet.engine('vm-0').alive = True
        await harness.run(4, one)
        assert harness.serving_on_engines() == 5
        await harness.until(
            lambda: not harness.allocation().moves, one, min_serving=5
        )
        await harness.run(60, one)
        assert harness.serving_on_engines() == 5

    anyio.run(scenario)


def test_lost_answers_and_pauses_never_move_a_replica_twice():
    """Two controllers run in turns that are longer than a lease, and every few
    seconds the answer to a write is lost. The second controller must not move
    a replica again that the first one moved. Five replicas serve all the
    time."""

    async def scenario():
        harness = Harness()
        loops = harness.loop('one'), harness.loop('two')
        await harness.start(loops[0])
        for turn in range(MAX_STEPS):
            if harness.all_current():
                break
            harness.store.faults.responses_to_drop = 1
            for _ in range(10):
                await harness.run(5, loops[turn % 2])
                assert harness.serving_on_engines() >= 5
                assert harness.allocation().total('quotes') <= 6
        assert harness.all_current()
        assert harness.serving() == harness.allocation().total('quotes') == 5

    anyio.run(scenario)
