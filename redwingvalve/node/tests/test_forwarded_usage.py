"""Slot counts of the nodes that own pools, as hubs forward them."""

import types

import pytest

from redwingvalve.allocation import usage
from redwingvalve.node import hubs, peers, status_messages, update_forwarding

OWNERS = 30
ROUND_S = 1.0


@pytest.fixture
def clock(monkeypatch):
    """Return a clock that tests set."""
    now = types.SimpleNamespace(s=100.0)
    monkeypatch.setattr(peers.time, 'monotonic', lambda: now.s)
    return now


def make_updates():
    """Return the updates that the hub of a large data centre forwards."""

    def ignore(*arguments):
        """Do nothing."""

    local = peers.PeerAddress('vm-000', '10.0.0.1', 1, '', 'dc', 1)
    known = peers.Peers(local, types.SimpleNamespace(node_changed=ignore))
    for number in range(1, OWNERS + 10):
        known.add(
            peers.PeerAddress(f'vm-{number:03}', '10.0.0.2', 1, '', 'dc', 1)
        )
    return update_forwarding.ForwardedUpdates(known, hubs.Hubs(known, ignore))


def report(updates, number):
    """Have the hub receive the counts of a spoke."""
    message = status_messages.StatusMessage(
        vm=f'vm-{number:03}', usage={'service/model': 1}
    )
    updates.record_received(message, [])


@pytest.mark.parametrize('with_hub_updates', [False, True])
def test_counts_of_all_owners_are_forwarded_in_turn(clock, with_hub_updates):
    """Counts that always arrive first were displaced by later ones for good."""
    updates = make_updates()
    fleet_usage = usage.FleetUsage()
    end_s = clock.s + ROUND_S
    while clock.s < end_s:
        for number in range(2, OWNERS + 2):
            report(updates, number)
        for group in (False, True):
            message = status_messages.StatusMessage(suspects=[], cleared=[])
            updates.add_to(message, with_hub_updates=group)
            if group == with_hub_updates:
                for one in message.usages:
                    fleet_usage.update(one.vm, one.usage)
        clock.s += peers.HUB_STATUS_INTERVAL_S
    assert fleet_usage.slots_in_use('service', 'model') == OWNERS


def test_counts_that_are_no_longer_reported_end(clock):
    """The end of an owner's counts is told to its hubs only."""
    fleet_usage = usage.FleetUsage()
    fleet_usage.update('vm-1', {'service/model': 9})
    clock.s += 10
    fleet_usage.update('vm-2', {'service/model': 1})
    assert fleet_usage.slots_in_use('service', 'model') == 1
