"""Cuts from all endpoints that all preferred nodes of a data centre share."""

import random
import time

import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.node.tests import (
    endpoint_cuts,
    split_fleet,
    test_cut_off_nodes,
)
from redwingvalve.platform.tests import fleet_harness

AT_CUT_NODES = test_cut_off_nodes.AT_CUT_NODES
AT_OTHERS = 0.99
NOTICE_S = test_cut_off_nodes.NOTICE_S
PLAIN = test_cut_off_nodes.PLAIN
ONCE = test_cut_off_nodes.ONCE
STREAM = test_cut_off_nodes.STREAM
HANG = endpoint_cuts.CutMode.HANG
RESET = endpoint_cuts.CutMode.RESET
KEEP = endpoint_cuts.CutMode.KEEP
KEEP_HANG = endpoint_cuts.CutMode.KEEP_HANG


def run_cut(path, mode, cut, **more):
    """Cut nodes off; the others' callers must hardly notice."""
    test_cut_off_nodes.run_cut(path, mode, cut, others_bound=AT_OTHERS, **more)


def run_cut_of_sixty(path, mode, cut, data_centres):
    """Cut nodes of a fleet of sixty off, which run in a few processes."""

    async def test(fleet):
        load = endpoint_cuts.CutLoad(fleet, path, links=fleet.links)
        await fleet.wait_until_started()
        await test_cut_off_nodes.check_cut(load, mode, cut, AT_OTHERS)

    is_stream = path == STREAM
    split_fleet.run(
        test,
        nodes=60,
        engines=24 if is_stream else 0,
        plain=0 if is_stream else 12,
        data_centres=data_centres,
    )


def data_centre(nodes, data_centres, number=1):
    """Return the indices of the nodes of one data centre."""
    return frozenset(range(number, nodes, data_centres))


def drawn(nodes, count, seed=0):
    """Return the indices of nodes drawn from all data centres."""
    return frozenset(random.Random(seed).sample(range(nodes), count))


@pytest.mark.parametrize('mode', [HANG, RESET, KEEP, KEEP_HANG])
@pytest.mark.parametrize('path', [PLAIN, ONCE, STREAM])
def test_callers_of_a_data_centre_that_is_cut_off_are_served(path, mode):
    """All nodes that a cut-off node prefers are cut off as well."""
    run_cut(path, mode, data_centre(16, 2), nodes=16, data_centres=2)


@pytest.mark.parametrize('mode', [HANG, RESET])
def test_few_requests_suffice_to_find_the_other_data_centres(mode):
    """Less than one request a second comes to each node."""
    run_cut(
        PLAIN,
        mode,
        data_centre(24, 2),
        nodes=24,
        data_centres=2,
        requests_per_s=20,
    )


@pytest.mark.parametrize('mode', [HANG, KEEP])
def test_the_last_two_nodes_in_touch_serve_for_three_data_centres(mode):
    """Tries at a few nodes don't tell that no node reaches an endpoint."""
    run_cut(PLAIN, mode, drawn(24, 22), nodes=24, data_centres=3)


@pytest.mark.parametrize('mode', [HANG, RESET])
@pytest.mark.parametrize('data_centres', [2, 3])
def test_a_data_centre_of_a_fleet_of_sixty_nodes_is_served_while_cut_off(
    mode, data_centres
):
    """Half or a third of the nodes is cut off."""
    cut = data_centre(60, data_centres)
    run_cut_of_sixty(PLAIN, mode, cut, data_centres)


def test_the_last_of_sixty_nodes_serves_for_all():
    """All nodes of three data centres but one are cut off."""
    run_cut_of_sixty(STREAM, RESET, drawn(60, 59), 3)


@pytest.mark.parametrize('mode', [HANG, RESET])
@pytest.mark.parametrize('path', [PLAIN, ONCE])
def test_a_data_centre_that_has_lost_one_service_is_served(path, mode):
    """Its nodes reach the endpoints of another service."""

    async def test(fleet):
        load = endpoint_cuts.CutLoad(fleet, path, links=fleet.links)
        await fleet.wait_until_started()
        await load.send_for(1)
        indices = data_centre(16, 2)
        plain = frozenset(one for one in fleet.endpoints if one.startswith('p'))
        load.cut(indices, mode, plain)
        cut_s = time.monotonic()
        await load.send_for(NOTICE_S + 2)
        to_s = time.monotonic()
        at_cut = load.served_share(indices, cut_s + NOTICE_S, to_s)
        assert at_cut >= AT_CUT_NODES, at_cut

    split_fleet.run(test, nodes=16, engines=24, plain=12, data_centres=2)


@pytest.mark.parametrize('mode', [HANG, RESET])
def test_cuts_in_series_leave_callers_served(mode):
    """What is known of the nodes changes every few seconds."""

    async def test(fleet):
        load = endpoint_cuts.CutLoad(fleet, PLAIN)
        await endpoint_cuts.wait_until_started(fleet)
        await load.send_for(1)
        shares = []
        for number in (1, 0, 1, 1):
            indices = data_centre(16, 2, number)
            load.cut(indices, mode)
            cut_s = time.monotonic()
            await load.send_for(NOTICE_S + 1.5)
            to_s = time.monotonic()
            others = set(range(16)) - indices
            at_cut = load.served_share(indices, cut_s + NOTICE_S, to_s)
            shares.append((at_cut, load.served_share(others, cut_s, to_s)))
            load.restore()
            await load.send_for(0.5)
        assert min(one for one, _ in shares) >= AT_CUT_NODES, shares
        assert min(one for _, one in shares) >= AT_OTHERS, shares

    fleet_harness.run(test, nodes=16, engines=0, plain=12, data_centres=2)


@pytest.mark.parametrize('mode', [HANG, RESET, KEEP_HANG])
def test_callers_of_a_large_fleet_are_refused_soon_if_all_is_cut_off(mode):
    """Nobody is asked whom all know to be cut off."""

    async def test(fleet):
        load = endpoint_cuts.CutLoad(fleet, PLAIN)
        await endpoint_cuts.wait_until_started(fleet)
        await load.send_for(1)
        load.cut(range(16), mode)
        await load.send_for(NOTICE_S)
        took_s = []
        for index in range(16):
            asked_s = time.monotonic()
            response = await fleet.caller(index).ask(PLAIN)
            if response.status == 503:
                took_s.append(time.monotonic() - asked_s)
        assert max(took_s) < test_cut_off_nodes.REFUSED_S
        # Connections that live on may still serve some.
        assert len(took_s) == 16 or mode is KEEP_HANG

    fleet_harness.run(test, nodes=16, engines=0, plain=12, data_centres=2)


@hypothesis.given(
    seed=strategies.integers(0, 1000),
    nodes=strategies.integers(6, 24),
    data_centres=strategies.integers(1, 3),
    left=strategies.integers(1, 3),
    path=strategies.sampled_from([PLAIN, ONCE, STREAM]),
    mode=strategies.sampled_from(endpoint_cuts.CutMode),
)
# Shrinking plays minutes of load without a clearer example.
@hypothesis.settings(max_examples=2, phases=[hypothesis.Phase.generate])
def test_drawn_fleets_are_served_by_the_last_nodes_in_touch(
    seed, nodes, data_centres, left, path, mode
):
    """Size and form of the fleet, kind of requests and of the cut are drawn."""
    run_cut(
        path,
        mode,
        drawn(nodes, nodes - left, seed),
        nodes=nodes,
        seed=seed,
        data_centres=data_centres,
    )
