"""What a stopping node knows of the nodes that take requests after it."""

import time

import pytest

from redwingvalve.ingress import stop_admission
from redwingvalve.node import peers as peers_module
from redwingvalve.node import successors


def address(number):
    return peers_module.PeerAddress(
        f'vm-{number}', '127.0.0.1', 7340, f'127.0.0.1:{number}', 'zone-1', 1
    )


@pytest.fixture
def fleet():
    """Two other nodes, in touch and ready."""
    peers = peers_module.Peers(address(0), None)
    for number in (1, 2):
        peers.add(address(number))
        peer = peers.known[f'vm-{number}']
        peer.last_received_s = time.monotonic()
    return successors.FleetSuccessors(peers)


def leave(fleet, *numbers):
    for number in numbers:
        fleet.peers.known[f'vm-{number}'].is_leaving = True
    fleet.observe()


def stop(fleet, after_s=0):
    began_s = time.monotonic() + after_s
    fleet.stop = stop_admission.PlannedStop(began_s, began_s + 7.4, fleet)


def test_a_node_beside_a_ready_one_need_not_hold_out(fleet):
    leave(fleet, 1)
    stop(fleet)
    assert fleet.next_in_s() == 0
    assert not fleet.must_hold_out


def test_the_last_node_holds_out_until_another_one_is_back(fleet):
    """Guards against callers that find no node between two restarts."""
    leave(fleet, 1, 2)
    stop(fleet, after_s=1)
    assert fleet.must_hold_out
    expected_s = successors.MIN_STOP_DURATION_S + stop_admission.RESTART_S
    assert fleet.next_in_s() == pytest.approx(expected_s, abs=0.1)
    fleet.peers.known['vm-1'].is_leaving = False
    assert not fleet.must_hold_out


def test_a_node_that_others_outlast_does_not_hold_out(fleet):
    stop(fleet, after_s=-1)
    leave(fleet, 1, 2)
    assert not fleet.must_hold_out


def test_of_nodes_that_are_stopped_together_one_holds_out():
    """Guards against nodes that all wait for each other, so that none stays."""
    views = []
    for number in range(3):
        peers = peers_module.Peers(address(number), None)
        for other in {0, 1, 2} - {number}:
            peers.add(address(other))
            peers.known[f'vm-{other}'].last_received_s = time.monotonic()
        views.append(successors.FleetSuccessors(peers))
        stop(views[-1])
        leave(views[-1], *({0, 1, 2} - {number}))
    assert [view.must_hold_out for view in views] == [False, False, True]


def test_an_only_node_does_not_hold_out():
    only = successors.FleetSuccessors(peers_module.Peers(address(0), None))
    stop(only)
    assert not only.must_hold_out
    assert only.next_in_s() == pytest.approx(
        7.4 + stop_admission.RESTART_S, abs=0.1
    )


def test_callers_are_given_the_nodes_that_were_stopped_last(fleet, monkeypatch):
    """Guards against callers that stay at a node about to end."""
    stop(fleet)
    own_s = fleet.stop.began_s
    later_s = own_s + 2 * successors.LAST_WITHIN_S
    monkeypatch.setattr(successors.time, 'monotonic', lambda: later_s)
    fleet.peers.known['vm-2'].last_received_s = later_s
    fleet.peers.known['vm-1'].is_ready = False
    leave(fleet, 1, 2)
    assert fleet.leaving_fronts(is_local_usable=True) == ['127.0.0.1:2']
