"""How nodes learn which others reach no endpoint."""

import types

import pytest

from redwingvalve.node import (
    cut_off_nodes,
    cut_off_reports,
    front_selection,
    peers,
    status_messages,
)

CENTRES = 3
# Bytes of a message without content.
EMPTY = len(status_messages.pack(status_messages.StatusMessage()))


@pytest.fixture
def clock(monkeypatch):
    """Return a clock that tests set."""
    now = types.SimpleNamespace(s=100.0)
    monkeypatch.setattr(cut_off_nodes.time, 'monotonic', lambda: now.s)
    return now


def make_peers(number, nodes):
    """Return what a node knows of the others, all of them alive."""
    addresses = [
        peers.PeerAddress(
            f'node-{one}', '127.0.0.1', 1, f'f{one}', f'zone-{one % CENTRES}', 1
        )
        for one in range(nodes)
    ]

    def ignore(*arguments):
        """Do nothing."""

    known = peers.Peers(
        addresses[number],
        types.SimpleNamespace(
            status_received=ignore, node_lost=ignore, node_changed=ignore
        ),
    )
    for address in addresses:
        known.add(address)
    for peer in known.known.values():
        peer.is_confirmed = True
    return known


class HubFleet:
    """A hub and a spoke of each data centre; all spokes state their cuts."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.cut = set()
        self.bytes_to_spoke = 0
        self.hubs = [make_peers(one, nodes) for one in range(CENTRES)]
        self.spokes = [make_peers(one + CENTRES, nodes) for one in range(3)]
        self.reports = [
            cut_off_reports.CutOffReports(
                hub, types.SimpleNamespace(is_cut_off=False)
            )
            for hub in self.hubs
        ]

    def exchange(self, lost=()):
        """Let all nodes send their regular status message once.

        lost names the data centres whose hub's messages don't arrive.
        """
        for number in range(CENTRES, self.nodes):
            self.hubs[number % CENTRES].cut_off.record(
                f'node-{number}', is_cut_off=number in self.cut
            )
        for index, reports in enumerate(self.reports):
            message = status_messages.StatusMessage()
            reports.add_to(message, with_hub_updates=False)
            if index not in lost:
                self._deliver(message, self.hubs, index)
            message = status_messages.StatusMessage()
            reports.add_to(message, with_hub_updates=True)
            if index not in lost:
                spoke = self.spokes[index]
                spoke.cut_off.apply(message, spoke.local.vm)
            if index == 0:
                self.bytes_to_spoke += (
                    len(status_messages.pack(message)) - EMPTY
                )

    def known(self, spoke):
        return {
            number
            for number in range(self.nodes)
            if spoke.cut_off.is_cut_off(
                f'node-{number}', f'zone-{number % CENTRES}'
            )
        }

    def _deliver(self, message, hubs, sender):
        for index, hub in enumerate(hubs):
            if index != sender:
                hub.cut_off.apply(message, hub.local.vm)


@pytest.mark.parametrize('nodes', [12, 68, 361])
def test_spokes_know_of_a_cut_data_centre_after_two_messages(clock, nodes):
    """Each would ask all cut-off nodes, one by one."""
    fleet = HubFleet(nodes)
    fleet.cut = set(range(CENTRES + 1, nodes, CENTRES))
    for _ in range(2):
        fleet.exchange()
        clock.s += 0.25
    assert [fleet.known(spoke) for spoke in fleet.spokes] == [fleet.cut] * 3


@pytest.mark.parametrize('nodes', [12, 68, 361])
def test_nodes_that_are_back_are_known_after_two_messages(clock, nodes):
    """Cuts come in series."""
    fleet = HubFleet(nodes)
    for step in range(8):
        fleet.cut = set(range(CENTRES + step % 3, nodes, 2))
        for _ in range(3):
            fleet.exchange()
            clock.s += 0.25
        assert [fleet.known(spoke) for spoke in fleet.spokes] == [fleet.cut] * 3
    fleet.cut = set()
    for _ in range(3):
        fleet.exchange()
        clock.s += 0.25
    assert [fleet.known(spoke) for spoke in fleet.spokes] == [set()] * 3


def test_reports_that_are_lost_leave_nothing_outdated(clock):
    """The last messages about a mended cut don't arrive."""
    fleet = HubFleet(68)
    fleet.cut = set(range(CENTRES + 1, 68, CENTRES))
    for _ in range(4):
        fleet.exchange()
        clock.s += 0.25
    fleet.cut = set()
    for _ in range(int(cut_off_nodes.HOLD_S / 0.25) + 1):
        fleet.exchange(lost=[0, 1, 2])
        clock.s += 0.25
    assert [fleet.known(spoke) for spoke in fleet.spokes] == [set()] * 3


@pytest.mark.parametrize('nodes', [12, 68, 361])
def test_nothing_is_reported_while_no_node_is_cut_off(clock, nodes):
    """Status messages are sent all day."""
    fleet = HubFleet(nodes)
    for _ in range(8):
        fleet.exchange()
        clock.s += 0.25
    assert not fleet.bytes_to_spoke


@pytest.mark.parametrize('nodes', [68, 361])
def test_reports_of_a_cut_data_centre_are_small(clock, nodes):
    """A hub sends them to all nodes of its data centre."""
    fleet = HubFleet(nodes)
    fleet.cut = set(range(CENTRES + 1, nodes, CENTRES))
    for _ in range(40):
        fleet.exchange()
        clock.s += 0.25
    per_s = fleet.bytes_to_spoke / 10
    # A hundredth of the 20 KB/s that a node may cost, for each recipient.
    assert per_s < 200 * max(1, nodes / 68)


def test_news_of_others_has_a_node_check_its_own_links(clock):
    """A node that gets few requests would learn of its cut from a caller."""
    fleet = HubFleet(68)
    news = []
    spoke = fleet.spokes[0]
    spoke.cut_off.on_news = lambda: news.append(clock.s)
    for step in range(12):
        fleet.cut = {4} if step < 8 else {4, 7}
        fleet.exchange()
        clock.s += 0.25
    assert len(news) == 2


def test_callers_of_a_cut_data_centre_are_given_other_nodes(clock):
    """They would be given nodes only that reach no endpoint."""
    known = make_peers(0, 40)
    local = [
        one.address.vm
        for one in known.known.values()
        if one.address.data_centre == 'zone-1'
    ]
    assert len(front_selection.select_fronts(known, 'zone-1')) == len(local)
    for vm in local[3:]:
        known.cut_off.record(vm, is_cut_off=True)
    found = front_selection.select_fronts(known, 'zone-1')
    assert len(found) == 39


def test_a_node_that_takes_a_request_is_not_cut_off(clock):
    """What is known of it is outdated."""
    fleet = HubFleet(68)
    fleet.cut = {4}
    for _ in range(2):
        fleet.exchange()
        clock.s += 0.25
    spoke = fleet.spokes[0]
    spoke.cut_off.record_taken('node-4')
    assert not fleet.known(spoke)
