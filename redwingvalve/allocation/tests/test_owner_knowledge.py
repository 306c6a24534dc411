"""What an owner of a pool knows of starts, and what it grants by that."""

import anyio
import attrs
import pytest

from redwingvalve.allocation import (
    allocator,
    cold_endpoints,
    cold_starts,
    messages,
    owner_knowledge,
    start_forwarder,
)
from redwingvalve.allocation.tests import cold_simulation
from redwingvalve.ingress import load_balancing, wait_queue

POOL = messages.Pool('s', '', '')
NEED = wait_queue.SlotRequest(1, 0.3, 2.0)
TARGET = load_balancing.Target('e', 'h', 1, 100, 'dc-0')
STARTED_S = 1000.0


@attrs.define(eq=False)
class Fleet:
    """Owners that hear each other unless they are cut off."""

    names: tuple = ('vm-1', 'vm-2', 'vm-3')
    now_s: float = STARTED_S
    allocators: dict = attrs.field(factory=dict)
    cut_off: set = attrs.field(factory=set)
    number: int = 0

    def start(self, name):
        endpoints = cold_endpoints.ColdEndpoints(lambda: self.now_s)
        endpoints.configure([cold_simulation.SERVICE])
        endpoints.update([cold_simulation.endpoint(TARGET, 1)])

        def owners(pool):
            return self.names[:2]

        def send(vm, message):
            if {vm, name}.isdisjoint(self.cut_off):
                sender = messages.Sender(name, 1)
                self.allocators[vm].record_report(sender, message)

        self.allocators[name] = allocator.Allocator(
            lambda pool: (TARGET,),
            lambda: self.now_s,
            cold=cold_starts.ColdStarts(endpoints),
            forwarder=start_forwarder.StartForwarder(
                send,
                lambda pool: [vm for vm in owners(pool) if vm != name],
                owner_knowledge.OwnerKnowledge(
                    name, owners, started_s=self.now_s
                ),
            ),
        )
        self.allocators[name].pool(POOL).has_spare_slots()

    def run(self, duration_s):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += 0.1
            for one in self.allocators.values():
                one.tick()

    def granted(self, *names):
        """Ask owners in turn for 0.9 s; return how many slots each grants."""
        return anyio.run(self._grant, names)

    async def _grant(self, names):
        counts = dict.fromkeys(names, 0)
        for _ in range(9):
            for _ in range(5):
                for name in names:
                    counts[name] += self._ask(name)
            self.run(0.1)
        return list(counts.values())

    def _ask(self, name):
        self.number += 1
        replies = []
        ask = messages.Ask(self.number, POOL, False, NEED)
        self.allocators[name].ask(
            messages.Sender('vm-9', 1), ask, replies.append
        )
        return replies[-1].outcome is messages.Outcome.GRANTED


@pytest.fixture
def fleet():
    made = Fleet()
    for name in made.names:
        made.start(name)
    made.run(3.0)
    return made


def test_owners_that_hear_each_other_grant_one_limit_together(fleet):
    """Nodes ask either of them, as much as an endpoint takes of both."""
    assert 21 <= sum(fleet.granted('vm-1', 'vm-2')) <= cold_simulation.ALLOWED


def test_owners_that_lose_contact_grant_half_of_the_bound_each(fleet):
    fleet.cut_off.add('vm-2')
    fleet.run(1.0)
    assert fleet.granted('vm-1', 'vm-2') == [13, 13]


def test_contact_that_returns_does_not_free_a_full_limit_at_once(fleet):
    """What the other owner granted meanwhile isn't known."""
    fleet.cut_off.add('vm-2')
    fleet.run(1.0)
    fleet.cut_off.clear()
    fleet.run(0.2)
    assert fleet.granted('vm-1') == [13]
    fleet.run(1.2)
    assert fleet.granted('vm-1') == [21]


def test_an_owner_that_has_just_started_leaves_room_for_the_last(fleet):
    """The process before it may have granted a full limit."""
    fleet.start('vm-1')
    assert fleet.granted('vm-1') == [5]


def test_a_node_that_is_no_owner_leaves_room_for_the_owners(fleet):
    assert fleet.granted('vm-3') == [5]


def test_an_owner_that_stood_still_leaves_room_for_the_others(fleet):
    fleet.now_s += 2.0
    fleet.allocators['vm-1'].tick()
    assert fleet.granted('vm-1') == [5]
