"""Membership under single faults, in virtual time."""

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
    """A third of all processes pauses for the pause bound, with packet loss.

    They may be suspected, but must refute this when they resume; declared
    dead, they would be lost to callers.
    """
    net = make_fleet(12, seed=seed)
    net.loss = 0.05
    for index in range(4):
        process = net.processes[f'e{index}']
        process.paused_until_s = net.now_s + bounds.DEFAULT_BOUNDS.pause_bound_s
    net.step(60)
    assert not net.deaths
    assert set(net.states('e0').values()) == {State.ALIVE}


def test_a_paused_process_declares_nobody_dead_when_it_resumes():
    """A process suspects a peer, pauses for a minute and resumes.

    Its suspicion timer has expired meanwhile, which is no evidence.
    """
    net = make_fleet(4)
    paused = net.processes['e0']
    paused.table.suspect('e1', net.now_s, refused=False)
    paused.paused_until_s = net.now_s + 60
    net.step(200)
    assert not any(name == 'e1' for name, _ in net.deaths)
    assert set(net.states('e0').values()) == {State.ALIVE}


def test_a_one_way_partition_causes_no_death():
    """e1 can't reach e2, but others can: e2 must not be declared dead."""
    net = make_fleet(6)
    net.cut.add(('e1', 'e2'))
    net.step(120)
    assert not net.deaths


def test_a_death_spreads_within_seconds_and_a_restart_replaces_it():
    net = make_fleet(12)
    del net.processes['e5']
    net.step(20)
    assert set(net.states('e5').values()) == {State.DEAD}
    net.start('e5', incarnation=0, contact='e1')
    net.step(20)
    assert set(net.states('e5').values()) == {State.ALIVE}
    own = net.processes['e5'].table.own
    assert own.member().incarnation == 2
    assert not own.superseded


def test_a_restart_under_the_incarnation_of_a_leaving_process_is_alive():
    """The VM's clock runs behind, and the earlier process had left.

    Leaving is final within an incarnation: without a new one, the restarted
    process would be taken for leaving for ever.
    """
    net = make_fleet(4)
    net.processes['e1'].table.own.leave()
    net.step(3)
    net.start('e1', incarnation=1, region='r0', contact='e0')
    net.step(20)
    assert set(net.states('e1').values()) == {State.ALIVE}


def test_the_older_of_two_processes_with_one_name_is_superseded():
    """A process still runs when its replacement with the same name starts.

    It must detect this and report itself isolated; otherwise both processes
    would hold the shares and keys of that name.
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
    assert old.table.own.superseded
    assert old.table.isolated(net.now_s)
    assert not net.processes['e1'].table.own.superseded


def test_an_hour_of_partition_between_regions_causes_no_deaths():
    """Two regions are partitioned for an hour.

    Each lists the members of the other as suspect, declares none of them
    dead, still detects deaths of its own, and both converge soon after the
    partition heals.
    """
    net = make_fleet(8, regions=2)
    odd_members = {name for name in net.processes if int(name[1:]) % 2}
    net.cut |= {
        (first, second)
        for first in net.processes
        for second in net.processes
        if (first in odd_members) != (second in odd_members)
    }
    net.step(60)
    listed = net.processes['e0'].table.known(net.now_s)
    assert {each.state for each in listed if each.region == 'r1'} == {
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


def test_an_isolated_process_declares_nobody_dead():
    net = make_fleet(5)
    net.cut |= {('e0', name) for name in net.processes}
    net.cut |= {(name, 'e0') for name in net.processes}
    net.step(100)
    isolated_table = net.processes['e0'].table
    assert isolated_table.isolated(net.now_s)
    assert all(
        status.state is not State.DEAD
        for status in isolated_table.statuses.all().values()
    )
    assert net.processes['e1'].table.statuses.get('e0').state is State.DEAD
    net.cut.clear()
    net.step(60)
    assert not isolated_table.isolated(net.now_s)
    assert set(net.states('e0').values()) == {State.ALIVE}


def test_one_process_per_vm_gossips_for_all():
    """With three processes on each of eight VMs, a VM counts as one peer."""
    statuses = {}
    for vm in range(8):
        for role in ('control', 'entry-1', 'entry-2'):
            name = f'{vm}-{role}'
            member = members.Member(
                name, 1, role.split('-')[0], 'h', 1, 2, 'a', 'r', vm=f'vm{vm}'
            )
            statuses[name] = network.make_status(member)
    representative = statuses['0-control'].member
    peers = gossip_targets.regional(statuses, representative)
    assert sorted(peer.name for peer in peers) == sorted(
        [f'{vm}-control' for vm in range(1, 8)] + ['0-entry-1', '0-entry-2']
    )
    local_peers = gossip_targets.regional(
        statuses, statuses['0-entry-2'].member
    )
    assert [peer.name for peer in local_peers] == ['0-control']


def test_a_process_is_not_superseded_for_good_by_one_that_is_gone():
    """Only e3 heard of a later process of e1 before that was lost.

    The one that runs would be isolated for ever, and get no work.
    """
    net = make_fleet(4)
    lost = network.make_status(network.make_member('e1', 10, 'r0'))
    net.processes['e3'].table.merge([lost], net.now_s)
    net.step(60)
    assert not net.processes['e1'].table.own.superseded
    assert set(net.states('e1').values()) == {State.ALIVE}
    assert net.processes['e1'].table.own.member().incarnation == 11


def test_a_member_is_not_declared_dead_for_an_earlier_process_of_its_name():
    """Two processes of one name run for a minute; the later one refutes."""
    net = make_fleet(4)
    earlier = net.processes['e1']
    net.start('e1', incarnation=5, region='r0', contact='e0')
    for _ in range(170):
        net.step()
        asked = earlier.exchanges.make_request('e0', 'r0', net.now_s)
        net.processes['e0'].exchanges.receive(asked, None, net.now_s)
        answer = net.processes['e0'].exchanges.make_reply(asked, net.now_s)
        earlier.exchanges.receive(answer, None, net.now_s)
    assert not net.deaths
    assert earlier.table.own.superseded
    assert not net.processes['e1'].table.own.superseded


def restart_behind_its_predecessor(net):
    """Start e1 at 20, then at 1 with its first exchange lost."""
    net.start('e1', incarnation=20, region='r0', contact='e0')
    net.step(3)
    net.loss = 1.0
    net.start('e1', incarnation=1, region='r0', contact='e0')
    net.loss = 0.0
    return net.processes['e1'].table.own


def test_a_lost_first_exchange_does_not_make_a_restart_superseded():
    """The VM's clock runs behind, and nobody told the process of the earlier.

    It would stand back for a process that is gone, and get no work meanwhile.
    """
    net = make_fleet(4)
    own = restart_behind_its_predecessor(net)
    for _ in range(30):
        net.step()
        assert not own.superseded
    assert own.member().incarnation == 21
    assert set(net.states('e1').values()) == {State.ALIVE}


def test_a_restart_that_leaves_before_it_has_joined_gets_no_new_work():
    """The others know only the earlier process, which was alive."""
    net = make_fleet(4)
    own = restart_behind_its_predecessor(net)
    own.leave()
    net.step(6)
    assert own.status().state is State.LEAVING
    assert set(net.states('e1').values()) == {State.LEAVING}


def test_a_late_answer_to_an_earlier_process_does_not_end_joining():
    """It doesn't tell which processes had the name since."""
    net = make_fleet(4)
    earlier = net.processes['e1']
    asked = earlier.exchanges.make_request('e0', 'r0', net.now_s)
    late = net.processes['e0'].exchanges.make_reply(asked, net.now_s)
    own = restart_behind_its_predecessor(net)
    net.processes['e1'].exchanges.receive(late, None, net.now_s)
    assert not own.is_informed


def test_processes_that_all_start_at_once_stop_waiting_for_an_older_one():
    """After a loss of power nobody knows the fleet."""
    net = network.Network()
    net.loss = 1.0
    net.start('a', contact='b')
    net.start('b', contact='a')
    net.loss = 0.0
    net.run_exchange('a', 'b')
    net.step(100)
    assert all(one.table.own.is_informed for one in net.processes.values())
