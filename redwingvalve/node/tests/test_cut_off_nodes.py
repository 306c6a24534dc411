"""Nodes that lose all endpoints serve their callers, and harm no others."""

import random
import time

import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.http1 import pool
from redwingvalve.node import peers
from redwingvalve.node.tests import endpoint_cuts
from redwingvalve.platform.tests import fleet_harness

NODES = 6
PLAIN = '/card/1'
ONCE = '/quote/1'
STREAM = '/draft/1'
HANG = endpoint_cuts.CutMode.HANG
RESET = endpoint_cuts.CutMode.RESET
KEEP = endpoint_cuts.CutMode.KEEP
KEEP_HANG = endpoint_cuts.CutMode.KEEP_HANG
# Nodes have this time to find out that they are cut off.
NOTICE_S = 3.0
MEASURED_S = 2.0
CALM_S = 1.0
# Shares of the first tries to be served.
AT_CUT_NODES = 0.9
AT_OTHERS = 0.95
HOLDER, OWNER = endpoint_cuts.HOLDER, endpoint_cuts.OWNER
# Less than it takes to find out that a connect hangs.
REFUSED_S = pool.CONNECT_TIMEOUT_S


async def check_cut(load, mode, cut, others_bound):
    """Cut nodes off and restore them; check who is served meanwhile.

    cut is the number of nodes, drawn at random, their indices, HOLDER, OWNER,
    or a data centre, of which one node is left.
    """
    await load.send_for(CALM_S)
    indices = load.choose(cut)
    others = set(range(len(load.fleet.nodes))) - indices
    load.cut(indices, mode)
    cut_s = time.monotonic()
    await load.send_for(NOTICE_S + MEASURED_S)
    from_s, to_s = cut_s + NOTICE_S, cut_s + NOTICE_S + MEASURED_S
    at_cut = load.served_share(indices, from_s, to_s)
    at_others = load.served_share(others, cut_s, to_s) if others else 1
    assert (at_cut >= AT_CUT_NODES, at_others >= others_bound) == (
        True,
        True,
    ), (at_cut, at_others)
    load.restore()
    restored_s = time.monotonic()
    await load.send_for(NOTICE_S)
    assert load.served_share(indices, restored_s, to_s + 60) >= AT_CUT_NODES
    if load.path == ONCE:
        assert load.most_runs() == 1


def run_cut(
    path,
    mode,
    cut,
    *,
    nodes=NODES,
    seed=0,
    requests_per_s=30,
    others_bound=AT_OTHERS,
    **shape,
):
    """Check a cut of a fleet whose nodes run on one loop."""

    async def test(fleet):
        load = endpoint_cuts.CutLoad(
            fleet, path, requests_per_s, random.Random(seed)
        )
        await fleet.wait_until(lambda: fleet_harness.lease_holders(fleet))
        await endpoint_cuts.wait_until_started(fleet)
        await check_cut(load, mode, cut, others_bound)

    is_stream = path == STREAM
    fleet_harness.run(
        test,
        nodes=nodes,
        engines=24 if is_stream else 0,
        plain=0 if is_stream else 12,
        **shape,
    )


@pytest.mark.parametrize('mode', [HANG, RESET, KEEP])
@pytest.mark.parametrize('path', [PLAIN, ONCE, STREAM])
def test_callers_of_cut_off_nodes_are_served(path, mode):
    """Half of the nodes lose all endpoints at once."""
    run_cut(path, mode, 3)


@pytest.mark.parametrize('mode', [HANG, RESET])
def test_a_cut_off_lease_holder_takes_no_replica_out_of_service(mode):
    """Only the holder of the lease is cut off."""
    run_cut(STREAM, mode, HOLDER)


@pytest.mark.parametrize('path', [PLAIN, STREAM])
def test_a_cut_off_owner_still_grants_places(path):
    """Only the node that is asked first for places is cut off."""
    run_cut(path, HANG, OWNER)


def test_a_data_centre_that_is_nearly_cut_off_is_served(monkeypatch):
    """All nodes of a data centre but one are cut off."""
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)
    run_cut(STREAM, RESET, 'zone-2', nodes=8, data_centres=2)


def test_callers_are_served_while_connects_hang_and_open_connections_work():
    """Answers on open connections say nothing about new ones."""
    run_cut(ONCE, KEEP_HANG, 3)


@pytest.mark.parametrize('path', [PLAIN, STREAM])
def test_the_last_node_in_touch_serves_for_all(path):
    """All nodes but one are cut off."""
    run_cut(path, RESET, NODES - 1)


@pytest.mark.parametrize('mode', [HANG, RESET])
def test_cut_off_nodes_of_a_large_fleet_are_served(monkeypatch, mode):
    """With hubs, nodes know of one another by way of hubs."""
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)
    run_cut(STREAM, mode, 4, nodes=9)


@pytest.mark.parametrize('mode', [HANG, RESET])
def test_callers_are_refused_soon_if_all_nodes_are_cut_off(mode):
    """No node can serve them; they may return once the links are back."""

    async def test(fleet):
        load = endpoint_cuts.CutLoad(fleet, PLAIN)
        load.cut(range(3), mode)
        await load.send_for(1.5)
        asked_s = time.monotonic()
        response = await fleet.caller().ask(PLAIN)
        took_s = time.monotonic() - asked_s
        assert (response.status, took_s < REFUSED_S) == (503, True), took_s
        assert b'retry-after' in response.headers
        load.restore()
        await load.send_for(NOTICE_S)
        restored_s = time.monotonic()
        await load.send_for(1)
        assert load.served_share(range(3), restored_s, restored_s + 9) == 1

    fleet_harness.run(test, nodes=3, engines=0, plain=6)


@hypothesis.given(
    seed=strategies.integers(0, 1000),
    path=strategies.sampled_from([PLAIN, ONCE, STREAM]),
    mode=strategies.sampled_from(endpoint_cuts.CutMode),
    cut=strategies.integers(1, NODES - 1),
)
# Shrinking plays minutes of load without a clearer example.
@hypothesis.settings(max_examples=2, phases=[hypothesis.Phase.generate])
def test_drawn_cuts_leave_callers_served(seed, path, mode, cut):
    """Number of nodes, kind of requests and form of the cut are drawn."""
    run_cut(path, mode, cut, seed=seed)
