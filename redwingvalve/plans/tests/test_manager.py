"""Plans are decided once, by one operator, and outlive every process."""

import anyio
import attrs
import pytest
from expression import Ok

from redwingvalve.core import clock
from redwingvalve.declaration import schema
from redwingvalve.plans import manager, objects, plan, recovery
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import codec, shares
from redwingvalve.replicas import domain as domain_module
from redwingvalve.standins import memory_store


class FixedVms(vm_list.VmList):
    """Two fabric domains of nine VMs."""

    async def read(self):
        return Ok(
            tuple(
                vm_list.Vm(
                    f'vm-{index}',
                    f'127.0.0.1:{index}',
                    'nave-a',
                    f'd{index % 2}',
                )
                for index in range(18)
            )
        )


def declared(version='1', replicas=3):
    return schema.Declaration(
        'tapiceria',
        deployments=(
            schema.ModelDeployment('quotes', 'm', version, replicas, 4),
        ),
        client_accounts=(schema.ClientAccount('depot', 'a' * 64, 5),),
    )


class DyingStore(memory_store.MemoryObjectApi):
    """Lets so many writes through and then fails like a dying process."""

    def __init__(self, inner, writes):
        super().__init__()
        self.__dict__.update(inner.__dict__)
        self.left = writes

    async def _before_write(self, body):
        if not self.left:
            return object_api.Unavailable('died', maybe_applied=False)
        self.left -= 1
        return await super()._before_write(body)


def make_manager(store):
    return manager.make_plan_manager(store, FixedVms(), clock.ManualClock())


def test_a_plan_names_what_is_formed_and_what_has_no_place():
    async def scenario():
        plans = make_manager(memory_store.make_memory_object_api())
        made = (await plans.propose(declared(replicas=5), 'ana')).ok
        changes = {
            (change.kind, change.subject): change.count
            for change in made.changes
        }
        assert changes[plan.ChangeKind.FORMED, 'replicas of quotes'] == 4
        assert changes[plan.ChangeKind.NOT_PLACED, 'replicas of quotes'] == 1
        assert [risk.replicas for risk in made.risks] == [1]

    anyio.run(scenario)


def test_of_two_racing_operators_one_wins_and_the_other_is_told():
    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        first = (await plans.propose(declared('1'), 'ana')).ok
        second = (await plans.propose(declared('2'), 'bo')).ok
        results = {}
        async with anyio.create_task_group() as group:

            async def confirm(name, operator):
                results[operator] = await make_manager(store).confirm(
                    name, operator
                )

            group.start_soon(confirm, first.name, 'ana')
            group.start_soon(confirm, second.name, 'bo')
        won = [name for name, answer in results.items() if answer.is_ok()]
        assert len(won) == 1
        (lost,) = [a.error for a in results.values() if a.is_error()]
        assert lost.confirmed_by == won[0]
        assert 'replicas of quotes: 3 formed' in lost.changes

    anyio.run(scenario)


async def lose_vms(store, count):
    """Write a domain object in which so many VMs of d0 are missing."""
    lost = tuple(
        domain_module.DomainVm(
            f'vm-{2 * index}', f'127.0.0.1:{2 * index}', missing=True
        )
        for index in range(count)
    )
    body = domain_module.to_body(
        domain_module.FabricDomain('d0', 'nave-a', vms=lost)
    )
    await store.create(domain_module.KIND, 'd0', body)


def test_a_plan_holds_while_a_lost_vm_changes_nothing_that_it_says():
    """An operator confirms minutes after planning; a spare VM failed between.

    The plan made again from the new world says the same, so it is confirmed.
    """

    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        made = (await plans.propose(declared(), 'ana')).ok
        await lose_vms(store, 1)
        assert (await plans.confirm(made.name, 'ana')).is_ok()

    anyio.run(scenario)


def test_a_plan_is_refused_with_the_reason_when_the_world_has_moved():
    """A domain loses most of its VMs between planning and confirming.

    The plan promised a replica there that cannot be formed any more; the
    operator is told where, and nothing is in force.
    """

    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        made = (await plans.propose(declared(), 'ana')).ok
        await lose_vms(store, 6)
        refused = (await plans.confirm(made.name, 'ana')).error
        assert refused == plan.PlanOutdated(
            made.name, 'VMs or replicas changed in d0'
        )
        assert (await plans.discard(made.name, 'bo')).is_ok()
        assert (await plans.confirm(made.name, 'ana')).error == (
            plan.PlanDecided(made.name, 'discarded', 'bo')
        )

    anyio.run(scenario)


def test_old_plans_are_dropped_but_never_the_one_in_force():
    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        await plans.propose(declared(), 'ana', 'first')
        await plans.confirm('first', 'ana')
        for index in range(recovery.KEPT_PLANS + 5):
            await plans.propose(declared(), 'ana', f'later-{index}')
        await recovery.resume_confirmations(store, plans)
        names = {each.name for each in (await plans.list()).ok}
        assert len(names) == recovery.KEPT_PLANS and 'first' in names

    anyio.run(scenario)


@pytest.mark.parametrize('writes', range(1, 7))
def test_a_confirmed_plan_goes_on_after_its_carrier_died(writes):
    """The process that confirms dies after some write; another finds the
    marked plan and carries it on. From the first write on the plan is
    confirmed, so it has to come into force and be applied whole."""

    async def scenario():
        store = memory_store.make_memory_object_api()
        made = (await make_manager(store).propose(declared(), 'ana')).ok
        dying = DyingStore(store, writes)
        await make_manager(dying).confirm(made.name, 'ana')
        for _ in range(3):
            await recovery.resume_confirmations(store, make_manager(store))
        current = store.list_now(objects.DECLARATIONS).objects[0].body
        assert (current['plan'], current['applied']) == (made.name, True)
        (deployment,) = store.list_now(objects.DEPLOYMENTS).objects
        read = objects.read_declared(deployment, schema.ModelDeployment)
        assert attrs.evolve(read) == declared().deployments[0]

    anyio.run(scenario)


@pytest.mark.parametrize('lost', range(1, 6))
def test_lost_answers_never_turn_a_confirmation_into_a_refusal(lost):
    """Each write takes effect but its answer is lost; the writer reads back
    and finds its own write, so the operator is told the truth."""

    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        made = (await plans.propose(declared(), 'ana')).ok
        store.faults.lose_answers = lost
        assert (await plans.confirm(made.name, 'ana')).is_ok()

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('replicas', 'floor', 'accepts', 'said'),
    [
        (3, 0, False, ''),
        (4, 0, False, 'the change waits; accepts_change_in_place'),
        (4, 3, True, 'reloaded in place above the floor'),
        (4, 4, True, 'the floor leaves no replica to drain'),
    ],
)
def test_a_change_without_room_says_its_price(replicas, floor, accepts, said):
    async def scenario():
        plans = make_manager(memory_store.make_memory_object_api())
        made = (await plans.propose(declared(replicas=replicas), 'ana')).ok
        assert (await plans.confirm(made.name, 'ana')).is_ok()
        wanted = declared('2', replicas)
        changed = attrs.evolve(
            wanted.deployments[0],
            floor_replicas=floor,
            accepts_change_in_place=accepts,
        )
        wanted = attrs.evolve(wanted, deployments=(changed,))
        risks = (await plans.propose(wanted, 'ana')).ok.risks
        assert len(risks) == bool(said)
        for risk in risks:
            assert said in risk.reason
            assert risk.price == pytest.approx(4 * 75 / 60, abs=0.01)

    anyio.run(scenario)


def test_a_plan_from_before_a_move_does_not_take_the_replica_back():
    """A replica moves from d0 to d1 after the plan was made. Confirmed as it
    is, the plan would drain it in d1 before d0 serves it again; it is refused
    and the one made next holds."""

    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        made = (await plans.propose(declared(), 'ana')).ok
        assert (await plans.confirm(made.name, 'ana')).is_ok()
        late = (await plans.propose(declared('2'), 'ana')).ok
        stored = (await store.get(shares.KIND, shares.NAME)).ok
        agreed = codec.from_body(stored.body, shares.Allocation)
        full, roomy = sorted(
            ('d0', 'd1'), key=lambda name: -agreed.replicas(name, 'quotes')
        )
        move = shares.Move('quotes', full, roomy, shares.MoveReason.ROOM)
        moved = shares.complete_moves(
            shares.start_moves(agreed, (move,)), (move,)
        )
        body = codec.to_body(moved)
        await store.update(attrs.evolve(stored, body=body))
        refused = await plans.confirm(late.name, 'ana')
        assert isinstance(refused.error, plan.PlanOutdated)
        assert f'replicas moved in {roomy}' in refused.error.reason
        again = (await plans.propose(declared('2'), 'ana')).ok
        assert again.allocation.shares == moved.shares
        assert (await plans.confirm(again.name, 'ana')).is_ok()

    anyio.run(scenario)
