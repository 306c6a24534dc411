"""Changes roll through domains without room, and lost places move, at no cost
in downtime, whoever dies on the way."""

import anyio
import attrs
import pytest

from redwingvalve.control.tests import test_loop
from redwingvalve.replicas import codec, shares
from redwingvalve.replicas import domain as domain_module

GUARD_STEPS = 4000


class Bench(test_loop.Bench):
    """d0 is full; d1 has VMs free for one more replica of three."""

    async def begin(self, *loops, replicas=5, **changed):
        await self.confirm(test_loop.declared(replicas))
        await self.until(lambda: self.serving() == replicas, *loops)
        await self.confirm(self.next_version(replicas, **changed))

    def next_version(self, replicas, **changed):
        declared = test_loop.declared(replicas)
        (deployment,) = declared.deployments
        changed = attrs.evolve(deployment, version='2', **changed)
        return attrs.evolve(declared, deployments=(changed,))

    async def until(self, holds, *loops, least=0, of=()):
        for _ in range(GUARD_STEPS):
            if holds():
                return
            await self.run(0.5, *loops)
            assert self.truly_serving(*of) >= least
        raise AssertionError('the guard ran out')

    def truly_serving(self, *names):
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
    """Only d1 has room. It changes first, takes one replica of d0, and d0
    rolls in the VMs that this leaves: callers always find five replicas."""

    async def scenario():
        bench = Bench()
        one = bench.loop('one')
        await bench.begin(one)
        await bench.until(bench.all_current, one, least=5)
        assert bench.serving() == bench.allocation().total('quotes') == 5

    anyio.run(scenario)


@pytest.mark.parametrize('at_moves', [1, 0])
def test_another_controller_carries_the_change_on(at_moves):
    """The controller dies while a replica is in two places (or right after).
    Another one takes the leases over and reads in the allocation what is
    under way; callers see no replica less at any time."""

    async def scenario():
        bench = Bench()
        one, two = bench.loop('one'), bench.loop('two')
        await bench.begin(one)
        await bench.until(lambda: bench.allocation().moves, one, least=5)
        await bench.until(
            lambda: len(bench.allocation().moves) == at_moves, one, least=5
        )
        await bench.until(bench.all_current, two, least=5)
        assert bench.serving() == bench.allocation().total('quotes') == 5

    anyio.run(scenario)


def test_the_new_place_goes_dark_on_the_way():
    """d1 goes dark while it forms the replica that is to make room in d0. The
    move is called off and d0 keeps serving whole on the old version; when d1
    is back the change goes on."""

    async def scenario():
        bench = Bench()
        one = bench.loop('one')
        await bench.begin(one)
        await bench.until(lambda: bench.allocation().moves, one, least=5)
        await bench.run(5, one)
        bench.set_alive('d1', alive=False)
        await bench.until(
            lambda: not bench.allocation().moves, one, least=3, of=('d0',)
        )
        await bench.until(
            lambda: bench.allocation().replicas('d0', 'quotes') == 3,
            one,
            least=3,
            of=('d0',),
        )
        bench.set_alive('d1', alive=True)
        await bench.until(
            lambda: bench.truly_serving() == 5, one, least=3, of=('d0',)
        )
        await bench.until(bench.all_current, one, least=5)

    anyio.run(scenario)


def test_without_room_anywhere_a_change_waits_unless_it_is_accepted():
    async def scenario():
        for accepted in (False, True):
            bench = Bench()
            one = bench.loop('one')
            await bench.begin(
                one,
                replicas=6,
                floor_replicas=4,
                accepts_change_in_place=accepted,
            )
            if accepted:
                await bench.until(bench.all_current, one, least=4)
            else:
                await bench.run(300, one)
                assert bench.truly_serving() == 6
                assert not bench.all_current()

    anyio.run(scenario)


def test_a_lost_place_moves_at_once_and_comes_back_without_a_loss():
    """A VM of d0 is lost and d0 has no spare: d1 forms the replica within
    three seconds. The VM is back before that one is loaded: d0 serves again
    and the move is called off, where a share taken from d0 at once would
    have drained the replica that had come back."""

    async def scenario():
        bench = Bench()
        one = bench.loop('one')
        await bench.confirm(test_loop.declared(5))
        await bench.until(lambda: bench.serving() == 5, one)
        bench.fleet.engine('vm-0').alive = False
        await bench.run(3, one)
        assert bench.allocation().moves
        bench.fleet.engine('vm-0').alive = True
        await bench.run(4, one)
        assert bench.truly_serving() == 5
        await bench.until(lambda: not bench.allocation().moves, one, least=5)
        await bench.run(60, one)
        assert bench.truly_serving() == 5

    anyio.run(scenario)


def test_lost_answers_and_pauses_never_move_a_replica_twice():
    """Two controllers take turns for longer than a lease, and every few
    seconds a write takes effect without an answer. The second controller must
    not move once more what the first one moved; callers find five replicas."""

    async def scenario():
        bench = Bench()
        loops = bench.loop('one'), bench.loop('two')
        await bench.begin(loops[0])
        for turn in range(GUARD_STEPS):
            if bench.all_current():
                break
            bench.store.faults.responses_to_drop = 1
            for _ in range(10):
                await bench.run(5, loops[turn % 2])
                assert bench.truly_serving() >= 5
                assert bench.allocation().total('quotes') <= 6
        assert bench.all_current()
        assert bench.serving() == bench.allocation().total('quotes') == 5

    anyio.run(scenario)
