"""Heads that attest their members save probes without weaker guarantees."""

import anyio
import attrs
import pytest
from expression import Ok

from redwingvalve.evidence import table
from redwingvalve.evidence.tests import test_evidence
from redwingvalve.platform_api import engine_orders
from redwingvalve.standins import fake_fleet

REPLICA = test_evidence.REPLICA
HEAD, *OTHERS = (member.vm for member in REPLICA.members)
AGE_S = 0.1


class _AttestingOrders(fake_fleet.FakeEngineOrders):
    """Engines whose head attests each live member with its age."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self.probed = []
        self.attested = {name: AGE_S for name in OTHERS}

    async def read_state(self, address, timeout_s):
        answer = await super().read_state(address, timeout_s)
        if answer.is_error():
            return answer
        self.probed.append(answer.ok.vm)
        if answer.ok.vm != HEAD:
            return answer
        seen = tuple(
            engine_orders.MemberSeen(name, age_s)
            for name, age_s in self.attested.items()
            if self.fleet.engine(name).alive
        )
        return Ok(attrs.evolve(answer.ok, members_seen=seen))


def _bench(disabled=()):
    bench = test_evidence.Bench(disabled)
    for entry in bench.entries.values():
        entry.orders = _AttestingOrders(bench.fleet)
        entry.prober._orders = entry.orders
    return bench


def _probed(bench):
    probed = []
    for entry in bench.entries.values():
        probed += entry.orders.probed
        entry.orders.probed = []
    return probed


def test_only_the_head_is_probed_while_it_attests_its_members():
    async def scenario():
        bench = _bench()
        await bench.run(2)
        _probed(bench)
        await bench.run(5)
        assert all(bench.permitted())
        assert set(_probed(bench)) == {HEAD}

    anyio.run(scenario)


def test_a_member_lost_behind_a_head_that_answers_stops_new_work():
    """A member dies; its head still answers, but no longer attests it.

    The head's last attestation expires within 3 s, and meanwhile the members
    are probed directly again.
    """

    async def scenario():
        bench = _bench()
        await bench.run(3)
        bench.fleet.engine(OTHERS[1]).alive = False
        _probed(bench)
        await bench.run(3)
        assert not any(bench.permitted())
        assert OTHERS[0] in _probed(bench)

    anyio.run(scenario)


def test_members_with_an_old_attestation_are_probed_directly():
    """A head's attestation of a member is always two seconds old.

    The member is probed directly, and its replica continues to serve.
    """

    async def scenario():
        bench = _bench()
        for entry in bench.entries.values():
            entry.orders.attested[OTHERS[0]] = 2.0
        await bench.run(4)
        assert all(bench.permitted())
        assert OTHERS[0] in _probed(bench)
        bench.fleet.engine(OTHERS[0]).alive = False
        await bench.run(3)
        assert not any(bench.permitted())

    anyio.run(scenario)


@pytest.mark.parametrize(
    'change',
    [
        {'epoch': 5},
        {'replica': 'quotes-2'},
        {'ready': False},
        {'vm': OTHERS[0]},
        {'members_seen': (engine_orders.MemberSeen('stranger', 0.0),)},
        {'members_seen': (engine_orders.MemberSeen(OTHERS[0], -1.0),)},
        {'members_seen': (engine_orders.MemberSeen(OTHERS[0], float('nan')),)},
    ],
)
def test_only_the_head_of_this_epoch_attests_its_own_members(change):
    state = engine_orders.EngineState(
        HEAD,
        '1',
        ready=True,
        replica=REPLICA.name,
        epoch=REPLICA.epoch,
        members_seen=(engine_orders.MemberSeen(OTHERS[0], 0.25),),
    )
    assert [
        (seen.vm, seen.seen_s)
        for seen in table.attested_observations(state, REPLICA, 10.0)
    ] == [(OTHERS[0], 9.75)]
    other = attrs.evolve(state, **change)
    assert not list(table.attested_observations(other, REPLICA, 10.0))


def test_a_dead_vm_does_not_delay_results_on_other_vms():
    """One engine never answers; results on the others are published at once.

    Published after its timeout, they would reach other entries that much
    older, and healthy replicas would be stopped.
    """

    async def scenario():
        bench = _bench()
        entry = next(
            each for each in bench.entries.values() if each.prober.assigned()
        )
        answered, released = entry.orders.read_state, anyio.Event()

        async def read_state(address, timeout_s):
            if address == REPLICA.members[2].address:
                await released.wait()
            return await answered(address, timeout_s)

        entry.orders.read_state = read_state
        async with anyio.create_task_group() as group:
            group.start_soon(entry.prober.step)
            with anyio.fail_after(30):
                while not bench.news:
                    await anyio.sleep(0.01)
            released.set()

    anyio.run(scenario)
