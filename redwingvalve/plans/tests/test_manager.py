"""Tests of the plan manager: races, outdated plans, crashes, lost responses."""

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


class FailingStore(memory_store.MemoryObjectApi):
    """Accepts a number of writes and then fails, like a process that dies."""

    def __init__(self, inner, writes):
        super().__init__()
        self.__dict__.update(inner.__dict__)
        self.writes_left = writes

    async def _before_write(self, body):
        if not self.writes_left:
            return object_api.Unavailable('died', maybe_applied=False)
        self.writes_left -= 1
        return await super()._before_write(body)


def make_manager(store):
    return manager.make_plan_manager(store, FixedVms(), clock.ManualClock())


def test_a_plan_lists_formed_and_unplaced_replicas():
    async def scenario():
        plans = make_manager(memory_store.make_memory_object_api())
        proposed = (await plans.propose(declared(replicas=5), 'ana')).ok
        changes = {
            (change.kind, change.subject): change.count
            for change in proposed.changes
        }
        assert changes[plan.ChangeKind.FORMED, 'replicas of quotes'] == 4
        assert changes[plan.ChangeKind.NOT_PLACED, 'replicas of quotes'] == 1
        assert [risk.replicas for risk in proposed.risks] == [1]

    anyio.run(scenario)


def test_of_two_concurrent_confirmations_one_succeeds():
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
    """Write a domain object in which count VMs of d0 are missing."""
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


def test_a_lost_spare_vm_does_not_make_a_plan_outdated():
    """A spare VM fails between the proposal and the confirmation of a plan.

    A plan made from the new state is the same, so the plan is confirmed.
    """

    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        proposed = (await plans.propose(declared(), 'ana')).ok
        await lose_vms(store, 1)
        assert (await plans.confirm(proposed.name, 'ana')).is_ok()

    anyio.run(scenario)


def test_a_plan_is_outdated_when_its_placement_no_longer_fits():
    """A domain loses most of its VMs between proposal and confirmation.

    The plan has a replica there that can no longer be formed. The refusal
    names the domain, and no plan comes into force.
    """

    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        proposed = (await plans.propose(declared(), 'ana')).ok
        await lose_vms(store, 6)
        refused = (await plans.confirm(proposed.name, 'ana')).error
        assert refused == plan.PlanOutdated(
            proposed.name, 'VMs or replicas changed in d0'
        )
        assert (await plans.discard(proposed.name, 'bo')).is_ok()
        assert (await plans.confirm(proposed.name, 'ana')).error == (
            plan.PlanDecided(proposed.name, 'discarded', 'bo')
        )

    anyio.run(scenario)


def test_old_plans_are_deleted_but_not_the_current_one():
    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        await plans.propose(declared(), 'ana', 'first')
        await plans.confirm('first', 'ana')
        for index in range(recovery.MAX_PLANS + 5):
            await plans.propose(declared(), 'ana', f'later-{index}')
        await recovery.resume_confirmations(store, plans)
        names = {each.name for each in (await plans.list()).ok}
        assert len(names) == recovery.MAX_PLANS and 'first' in names

    anyio.run(scenario)


@pytest.mark.parametrize('writes', range(1, 7))
def test_a_confirmed_plan_is_resumed_after_a_crash(writes):
    """The confirming process dies after one of its writes.

    From the first write on the plan is confirmed, so another process has to
    commit it and apply all of it.
    """

    async def scenario():
        store = memory_store.make_memory_object_api()
        proposed = (await make_manager(store).propose(declared(), 'ana')).ok
        failing = FailingStore(store, writes)
        await make_manager(failing).confirm(proposed.name, 'ana')
        for _ in range(3):
            await recovery.resume_confirmations(store, make_manager(store))
        current = store.list_now(objects.DECLARATIONS).objects[0].body
        assert (current['plan'], current['applied']) == (proposed.name, True)
        (deployment,) = store.list_now(objects.DEPLOYMENTS).objects
        read = objects.read_declared(deployment, schema.ModelDeployment)
        assert attrs.evolve(read) == declared().deployments[0]

    anyio.run(scenario)


@pytest.mark.parametrize('lost', range(1, 6))
def test_a_confirmation_with_lost_responses_succeeds(lost):
    """Writes take effect but their responses are lost.

    The writer reads back and finds its own write, so the operator is told
    that the plan is confirmed.
    """

    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        proposed = (await plans.propose(declared(), 'ana')).ok
        store.faults.responses_to_drop = lost
        assert (await plans.confirm(proposed.name, 'ana')).is_ok()

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('replicas', 'floor', 'accepts', 'text'),
    [
        (3, 0, False, ''),
        (4, 0, False, 'the change waits; accepts_change_in_place'),
        (4, 3, True, 'reloaded in place above the floor'),
        (4, 4, True, 'the floor leaves no replica to drain'),
    ],
)
def test_a_change_without_free_vms_has_a_risk_with_its_price(
    replicas, floor, accepts, text
):
    async def scenario():
        plans = make_manager(memory_store.make_memory_object_api())
        proposed = (await plans.propose(declared(replicas=replicas), 'ana')).ok
        assert (await plans.confirm(proposed.name, 'ana')).is_ok()
        changed_declaration = declared('2', replicas)
        changed = attrs.evolve(
            changed_declaration.deployments[0],
            floor_replicas=floor,
            accepts_change_in_place=accepts,
        )
        changed_declaration = attrs.evolve(
            changed_declaration, deployments=(changed,)
        )
        risks = (await plans.propose(changed_declaration, 'ana')).ok.risks
        assert len(risks) == bool(text)
        for risk in risks:
            assert text in risk.reason
            assert risk.price == pytest.approx(4 * 75 / 60, abs=0.01)

    anyio.run(scenario)


def test_a_plan_made_before_a_replica_moved_is_outdated():
    """A replica moves from d0 to d1 after the plan was made.

    The plan would drain the replica in d1 before d0 serves it again, so it is
    refused. A plan made after the move can be confirmed.
    """

    async def scenario():
        store = memory_store.make_memory_object_api()
        plans = make_manager(store)
        proposed = (await plans.propose(declared(), 'ana')).ok
        assert (await plans.confirm(proposed.name, 'ana')).is_ok()
        late = (await plans.propose(declared('2'), 'ana')).ok
        stored = (await store.get(shares.KIND, shares.NAME)).ok
        agreed = codec.from_body(stored.body, shares.Allocation)
        source, destination = sorted(
            ('d0', 'd1'), key=lambda name: -agreed.replicas(name, 'quotes')
        )
        move = shares.Move(
            'quotes', source, destination, shares.MoveReason.ROOM
        )
        moved = shares.complete_moves(
            shares.start_moves(agreed, (move,)), (move,)
        )
        body = codec.to_body(moved)
        await store.update(attrs.evolve(stored, body=body))
        refused = await plans.confirm(late.name, 'ana')
        assert isinstance(refused.error, plan.PlanOutdated)
        assert f'replicas moved in {destination}' in refused.error.reason
        again = (await plans.propose(declared('2'), 'ana')).ok
        assert again.allocation.shares == moved.shares
        assert (await plans.confirm(again.name, 'ana')).is_ok()

    anyio.run(scenario)
