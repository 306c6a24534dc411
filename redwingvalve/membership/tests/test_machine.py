"""Random runs of membership; the program itself asserts its invariants."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from redwingvalve.core import invariants
from redwingvalve.membership import member_status, members
from redwingvalve.membership.tests import network

State = members.MemberState
NAMES = ('a', 'b', 'c', 'd', 'e')


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Five processes in two regions, with faults in any order."""

    def __init__(self):
        super().__init__()
        self.network = network.Network(seed=1)
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.left = set()
        for index, name in enumerate(NAMES):
            region = 'r1' if index < 3 else 'r2'
            self.network.start(name, 1, region, 'a' if index else None)

    @stateful.rule(count=st.integers(1, 20))
    def pass_time(self, count):
        self.network.step(count)

    @stateful.rule(sender=st.sampled_from(NAMES), to=st.sampled_from(NAMES))
    def cut_one_way(self, sender, to):
        self.network.cut.add((sender, to))

    @stateful.rule()
    def cut_regions(self):
        self.network.cut |= {
            (one, other)
            for one in NAMES
            for other in NAMES
            if (one in 'abc') != (other in 'abc')
        }

    @stateful.rule()
    def heal(self):
        self.network.cut.clear()

    @stateful.rule(loss=st.sampled_from((0.0, 0.05, 0.5)))
    def lose(self, loss):
        self.network.loss = loss

    @stateful.rule(count=st.integers(1, 20))
    def deliver_late_and_twice(self, count):
        self.network.deliver_late(count)

    @stateful.rule(name=st.sampled_from(NAMES), pause_s=st.floats(0.1, 30))
    def pause(self, name, pause_s):
        process = self.network.processes[name]
        process.paused_until_s = self.network.now_s + pause_s

    @stateful.rule(name=st.sampled_from(NAMES), behind=st.booleans())
    def restart(self, name, behind):
        """Restart a process; behind means that its VM's clock runs behind."""
        self.incarnations[name] += 1
        incarnation = 1 if behind else self.incarnations[name] * 10
        region = 'r1' if name in 'abc' else 'r2'
        self.left.discard(name)
        contact = next(other for other in NAMES if other != name)
        self.network.start(name, incarnation, region, contact)

    @stateful.rule(name=st.sampled_from(NAMES))
    def leave(self, name):
        self.network.processes[name].table.own.leave()
        self.left.add(name)

    @stateful.invariant()
    def leaving_is_final(self):
        for name in self.left:
            own = self.network.processes[name].table.own.status()
            for process in self.network.processes.values():
                current = process.table.statuses.get(name)
                if current is None or current.order() < own.order():
                    continue
                assert current.state in {State.LEAVING, State.DEAD}

    def teardown(self):
        """All processes converge once the faults have ended."""
        self.network.cut.clear()
        self.network.loss = 0.0
        for process in self.network.processes.values():
            process.paused_until_s = 0.0
        self.network.step(80)
        for name, process in self.network.processes.items():
            expected = process.table.own.status().state
            assert not process.table.own.superseded
            assert set(self.network.states(name).values()) == {expected}, name
            assert len(self.network.states(name)) == len(NAMES)


TestMembership = MembershipMachine.TestCase
TestMembership.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=25
)


def test_without_its_safeguard_an_undone_leaving_is_detected():
    """A forged status reports a leaving entry as alive.

    Callers would be sent to it, so the table ignores the status. With the
    safeguard off it accepts the status, and an invariant in the program
    reports the breach.
    """
    disabled = invariants.SafeguardSwitches(
        [invariants.Safeguard.LEAVING_EXCLUDED]
    )
    for switches, detected in ((None, False), (disabled, True)):
        net = network.Network(switches=switches)
        net.start('a')
        net.start('b', contact='a')
        net.processes['b'].table.own.leave()
        net.step(3)
        table = net.processes['a'].table
        assert table.statuses.get('b').state is State.LEAVING
        forged = member_status.MemberStatus(network.make_member('b'), 50)
        if detected:
            with pytest.raises(invariants.InvariantBreachError):
                table.merge([forged], net.now_s)
        else:
            table.merge([forged], net.now_s)
            assert table.statuses.get('b').state is State.LEAVING
