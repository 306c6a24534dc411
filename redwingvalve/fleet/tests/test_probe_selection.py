"""Which nodes are asked to probe an endpoint for another node."""

import collections
import random

import attrs
import pytest

from redwingvalve.fleet import probe_selection

OWN = 'zone-0'


def make_candidates(data_centres, nodes, leaving=()):
    return [
        probe_selection.Candidate(
            f'n{number}', f'zone-{number % data_centres}', number in leaving
        )
        for number in range(nodes)
    ]


def select(candidates, seed=0):
    rng = random.Random(seed)
    return probe_selection.select_nodes(candidates, OWN, rng)


def test_all_nodes_of_a_small_fleet_are_asked():
    candidates = make_candidates(3, 6)
    assert set(select(candidates)) == set(candidates)


def test_nobody_is_asked_by_the_only_node():
    assert not select([])


@pytest.mark.parametrize('nodes', [67, 360])
def test_the_nodes_asked_in_a_large_fleet_are_few(nodes):
    """The holder's link isn't loaded by a dark data centre."""
    asked = select(make_candidates(5, nodes))
    assert len(set(asked)) == len(asked) == probe_selection.MAX_ASKED


@pytest.mark.parametrize('seed', range(5))
def test_the_nodes_asked_lie_in_all_data_centres(seed):
    """A fault of one data centre's links doesn't decide the outcome."""
    asked = select(make_candidates(5, 360), seed)
    counts = collections.Counter(one.data_centre for one in asked)
    assert len(counts) == 5
    assert counts[OWN] >= probe_selection.MAX_FIRST_OF_OWN_DATA_CENTRE


def test_different_nodes_are_asked_each_time():
    """No few nodes get the probes of all others."""
    candidates = make_candidates(5, 360)
    asked = {one for seed in range(20) for one in select(candidates, seed)}
    assert len(asked) > 100


def test_leaving_nodes_are_asked_only_if_others_are_too_few():
    candidates = make_candidates(2, 12, leaving=range(6))
    asked = select(candidates)
    assert len(asked) == probe_selection.MAX_ASKED
    assert {one for one in candidates if not one.is_leaving} <= set(asked)
    assert not any(
        one.is_leaving
        for one in select(candidates + make_candidates(2, 24)[12:])
    )


@pytest.mark.parametrize('seed', range(5))
def test_nodes_that_are_cut_off_are_not_asked_while_others_are_left(seed):
    """A whole data centre of them can't tell that an endpoint is dead."""
    candidates = [
        attrs.evolve(one, is_cut_off=one.data_centre == OWN)
        for one in make_candidates(3, 60)
    ]
    assert not any(one.is_cut_off for one in select(candidates, seed))
