"""All nodes together keep to the retry budget, whatever happens to them."""

import anyio
import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.node.tests import retry_load
from redwingvalve.platform.tests import fleet_harness

NODES = tuple(f'node-{number}' for number in range(6))
# A window passes before the disturbances begin.
CALM_S = retry_load.WINDOW_S + 1


def run_load(disturbances, duration_s=CALM_S + 5, **more):
    """Return the load after it ran; disturbances take the load as well."""
    loads = []

    async def test(fleet):
        load = retry_load.RetryLoad(fleet, **more)
        loads.append(load)

        async def start(group):
            for name in NODES:
                await load.start_node(name, group)

        bound = [
            (at_s, lambda group, act=act: act(load, group))
            for at_s, act in disturbances
        ]
        await load.run([(0, start), *bound], duration_s)

    fleet_harness.run(
        test,
        nodes=0,
        engines=24 if more.get('is_stream') else 0,
        plain=0 if more.get('is_stream') else 18,
        version=retry_load.configuration,
    )
    return loads[0]


async def replace_all(load, group):
    await load.replace(group, *NODES)


async def replace_all_without_store(load, group):
    """No process can register or list the others for a second."""
    faults = load.fleet.store.faults
    faults.is_unresponsive = True
    await load.replace(group, *NODES)
    await anyio.sleep(1)
    faults.is_unresponsive = False


def replace_one(name):
    async def replace(load, group):
        await load.replace(group, name)

    return replace


async def silence_peers(load, group):
    """Cut the nodes off from one another; all else still reaches them."""
    for node in load.fleet.nodes:
        node.peers.datagram_received = lambda packed, address: None


@pytest.mark.parametrize('is_stream', [False, True])
def test_new_processes_of_all_nodes_keep_to_the_retry_budget(is_stream):
    """All nodes are replaced three times within one window."""
    load = run_load(
        [(CALM_S + gap_s, replace_all) for gap_s in (0, 1.2, 2.4)],
        is_stream=is_stream,
        requests_per_s=40.0,
    )
    assert load.worst_excess() <= 0


def test_nodes_cut_off_from_one_another_keep_to_the_retry_budget():
    """No node counts as alive at any other."""
    load = run_load([(CALM_S, silence_peers)])
    assert load.worst_excess() <= 0


def test_a_steady_fleet_may_spend_most_of_its_retry_budget():
    load = run_load([], duration_s=2.5 * retry_load.WINDOW_S)
    assert load.worst_excess() <= 0
    extra = retry_load.BOUNDS['budget_extra']
    assert load.most_repeats() >= 0.6 * extra


@hypothesis.given(
    seed=strategies.integers(0, 1000),
    is_stream=strategies.booleans(),
    requests_per_s=strategies.sampled_from([15.0, 25.0, 40.0]),
    gaps_s=strategies.lists(
        strategies.floats(0.3, 2.0), min_size=2, max_size=6
    ),
    acts=strategies.lists(
        strategies.sampled_from(
            [
                replace_all,
                replace_all_without_store,
                silence_peers,
                *map(replace_one, NODES),
            ]
        ),
        min_size=6,
        max_size=6,
    ),
)
# Shrinking plays minutes of load without a clearer example.
@hypothesis.settings(max_examples=2, phases=[hypothesis.Phase.generate])
def test_drawn_disturbances_keep_to_the_retry_budget(
    seed, is_stream, requests_per_s, gaps_s, acts
):
    """Nodes restart and lose touch with one another in series."""
    at_s = CALM_S
    disturbances = []
    for gap_s, act in zip(gaps_s, acts, strict=False):
        at_s += gap_s
        disturbances.append((at_s, act))
    load = run_load(
        disturbances,
        duration_s=at_s + 3,
        seed=seed,
        is_stream=is_stream,
        requests_per_s=requests_per_s,
    )
    assert load.worst_excess() <= 0
