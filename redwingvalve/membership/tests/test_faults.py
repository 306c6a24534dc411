"""Single faults, in virtual time."""

import pytest

from redwingvalve.membership import bounds, gossip_targets, members
from redwingvalve.membership.tests import network

State = members.MemberState


def make_fleet(size, regions=1, seed=0):
    net = network.Network(seed=seed)
    for index in range(size):
        region = f'r{index % regions}'
        net.start(f'e{index}', 1, region, 'e0' if index else None)
    net.step(10)
    return net


@pytest.mark.parametrize('seed', range(8))
def test_a_third_paused_below_the_bound_is_never_declared_dead(seed):
    """A third of all processes stops for just under the bound, with loss.

    Callers of the others must not lose them: they are suspected, and refute
    when they resume.
    """
    net = make_fleet(12, seed=seed)
    net.loss = 0.05
    for index in range(4):
        process = net.processes[f'e{index}']
        process.paused_until_s = net.now_s + bounds.DEFAULT_BOUNDS.pause_bound_s
    net.step(60)
    assert not net.deaths
    assert set(net.states('e0').values()) == {State.ALIVE}


def test_a_paused_process_does_not_bury_the_others_when_it_resumes():
    """A process doubts a peer, stops for a minute and resumes.

    Its timer for the peer has run out meanwhile, which proves nothing.
    """
    net = make_fleet(4)
    paused = net.processes['e0']
    paused.table.suspect('e1', net.now_s, refused=False)
    paused.paused_until_s = net.now_s + 60
    net.step(200)
    assert not any(name == 'e1' for name, _ in net.deaths)
    assert set(net.states('e0').values()) == {State.ALIVE}


def test_a_one_way_cut_makes_no_death():
    """e1 can't reach e2, but others can: nobody must call e2 dead."""
    net = make_fleet(6)
    net.cut.add(('e1', 'e2'))
    net.step(120)
    assert not net.deaths


def test_a_death_is_known_within_seconds_and_a_new_life_replaces_it():
    net = make_fleet(12)
    del net.processes['e5']
    net.step(20)
    assert set(net.states('e5').values()) == {State.DEAD}
    net.start('e5', incarnation=0, contact='e1')
    net.step(20)
    assert set(net.states('e5').values()) == {State.ALIVE}
    own = net.processes['e5'].table.local
    assert own.member().incarnation == 2
    assert not own.superseded


def test_two_processes_of_one_name_leave_one_standing():
    """The old process still runs when its replacement starts.

    It must notice and take itself out: two processes that answer for one name
    would both hold the name's shares and keys.
    """
    net = make_fleet(4)
    old = net.processes.pop('e1')
    net.start('e1', incarnation=5, contact='e0')
    net.step(5)
    net.processes['old'] = old
    old.exchanges.receive(
        net.processes['e0'].exchanges.make_reply(
            old.exchanges.make_request('e0', 'r0', net.now_s), net.now_s
        ),
        None,
        net.now_s,
    )
    assert old.table.local.superseded
    assert old.table.isolated(net.now_s)
    assert not net.processes['e1'].table.local.superseded


def test_an_hour_between_regions_makes_no_deaths_and_heals():
    """Two regions lose each other for an hour.

    Each shows the other as suspect, declares nobody there dead, goes on
    noticing its own deaths, and both agree soon after the link is back.
    """
    net = make_fleet(8, regions=2)
    one = {name for name in net.processes if int(name[1:]) % 2}
    net.cut |= {
        (first, second)
        for first in net.processes
        for second in net.processes
        if (first in one) != (second in one)
    }
    net.step(60)
    presented = net.processes['e0'].table.known(net.now_s)
    assert {each.state for each in presented if each.region == 'r1'} == {
        State.SUSPECT
    }
    del net.processes['e7']
    net.step(10_000)
    assert {name for name, _ in net.deaths} == {'e7'}
    assert net.processes['e0'].table.statuses.get('e7').state is State.ALIVE
    net.cut.clear()
    net.step(40)
    assert set(net.states('e7').values()) == {State.DEAD}
    assert set(net.states('e1').values()) == {State.ALIVE}


def test_who_hears_nobody_judges_nobody_and_takes_itself_out():
    net = make_fleet(5)
    net.cut |= {('e0', name) for name in net.processes}
    net.cut |= {(name, 'e0') for name in net.processes}
    net.step(100)
    alone = net.processes['e0'].table
    assert alone.isolated(net.now_s)
    assert all(
        status.state is not State.DEAD
        for status in alone.statuses.all().values()
    )
    assert net.processes['e1'].table.statuses.get('e0').state is State.DEAD
    net.cut.clear()
    net.step(60)
    assert not alone.isolated(net.now_s)
    assert set(net.states('e0').values()) == {State.ALIVE}


def test_processes_of_a_vm_let_one_speak():
    """Eight VMs with three processes: each VM counts as one peer."""
    statuses = {}
    for vm in range(8):
        for role in ('control', 'entry-1', 'entry-2'):
            name = f'{vm}-{role}'
            member = members.Member(
                name, 1, role.split('-')[0], 'h', 1, 2, 'a', 'r', vm=f'vm{vm}'
            )
            statuses[name] = network.from_records(member)
    representative = statuses['0-control'].member
    peers = gossip_targets.regional(statuses, representative)
    assert sorted(peer.name for peer in peers) == sorted(
        [f'{vm}-control' for vm in range(1, 8)] + ['0-entry-1', '0-entry-2']
    )
    local = gossip_targets.regional(statuses, statuses['0-entry-2'].member)
    assert [peer.name for peer in local] == ['0-control']
