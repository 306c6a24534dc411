"""Which nodes are asked to take over the requests of cut-off nodes."""

import collections
import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.fleet import forwarding_selection

HERE = 'zone-0'


def make_candidates(nodes, data_centres, cut=()):
    """Return all nodes but the first, which forwards."""
    return [
        forwarding_selection.Candidate(
            f'n{number}', f'zone-{number % data_centres}', number in cut
        )
        for number in range(1, nodes)
    ]


def nobody_busy(vm):
    return 0


def search(candidates, seed=0, max_asked=16, under_way=nobody_busy):
    selection = forwarding_selection.ForwardingSelection(
        HERE, random.Random(seed), max_asked, under_way
    )
    asked = []
    while (vm := selection.next_node(candidates)) is not None:
        asked.append(next(one for one in candidates if one.vm == vm))
    return asked


@hypothesis.given(
    nodes=strategies.integers(6, 361),
    data_centres=strategies.integers(1, 5),
    in_touch=strategies.integers(1, 5),
    seed=strategies.integers(0, 1000),
)
def test_nodes_in_touch_are_found_at_once(nodes, data_centres, in_touch, seed):
    """One or a few are left, in any data centre."""
    left = set(random.Random(seed).sample(range(1, nodes), in_touch))
    candidates = make_candidates(
        nodes, data_centres, set(range(nodes)).difference(left)
    )
    assert not search(candidates, seed)[0].is_cut_off


@pytest.mark.parametrize('seed', range(5))
def test_few_nodes_are_asked_if_all_say_that_they_are_cut_off(seed):
    """Callers are refused at once."""
    candidates = make_candidates(361, 3, range(361))
    asked = search(candidates, seed)
    assert len(asked) == forwarding_selection.MAX_DOUBTED


@pytest.mark.parametrize('seed', range(5))
def test_a_node_that_does_not_seem_ready_is_asked_before_none_is_left(seed):
    """Its neighbours have missed that it became ready."""
    others = make_candidates(60, 3, range(60))
    unready = attrs.evolve(others[11], is_cut_off=False, is_ready=False)
    others[11] = unready
    assert search(others, seed)[0] == unready


@pytest.mark.parametrize('seed', range(5))
def test_a_ready_node_is_asked_before_one_that_does_not_seem_ready(seed):
    """A node that starts declines, which takes the caller's time."""
    others = make_candidates(12, 3, range(12))
    others[0] = attrs.evolve(others[0], is_cut_off=False, is_ready=False)
    others[5] = attrs.evolve(others[5], is_cut_off=False)
    assert search(others, seed)[0] == others[5]


@pytest.mark.parametrize('seed', range(20))
def test_a_search_without_news_leaves_the_data_centre(seed):
    """All neighbours share a cut that nobody has told of yet."""
    asked = search(make_candidates(60, 3), seed)
    assert asked[0].data_centre == HERE
    assert {one.data_centre for one in asked[:3]} == {
        'zone-0',
        'zone-1',
        'zone-2',
    }


def test_no_node_is_asked_twice_for_one_request():
    asked = search(make_candidates(10, 2), max_asked=100)
    assert len(set(asked)) == len(asked) == 9


def loads(nodes, data_centres, cut, requests=20_000):
    """Return how often each node gets a request, if all cut ones forward."""
    rng = random.Random(1)
    counts = collections.Counter()
    cut_nodes = sorted(cut)
    everyone = [
        forwarding_selection.Candidate(
            f'n{number}', f'zone-{number % data_centres}', number in cut
        )
        for number in range(nodes)
    ]
    for _ in range(requests):
        number = rng.choice(cut_nodes)
        selection = forwarding_selection.ForwardingSelection(
            everyone[number].data_centre, rng, 16, nobody_busy
        )
        others = everyone[:number] + everyone[number + 1 :]
        counts[selection.next_node(others)] += 1
    return counts


@pytest.mark.parametrize('left', [1, 2, 5])
@pytest.mark.parametrize(('nodes', 'data_centres'), [(18, 2), (60, 3)])
def test_the_last_node_of_a_data_centre_is_not_flooded(
    nodes, data_centres, left
):
    """All its neighbours prefer it."""
    there = range(0, nodes, data_centres)
    counts = loads(nodes, data_centres, set(there[left:]), 4000)
    cut_off = len(there) - left
    # Twice the requests of one node, or of an even spread, whichever is more.
    fair = 4000 * max(1 / cut_off, 1 / (nodes - cut_off))
    assert max(counts.values()) < 2 * fair


def test_requests_stay_in_the_data_centre_if_neighbours_have_room():
    """A hop across data centres costs time and money."""
    counts = loads(60, 3, set(range(0, 30, 3)), 2000)
    assert all(int(vm[1:]) % 3 == 0 for vm in counts)


def test_a_node_that_is_slow_gets_fewer_requests():
    """Requests pile up there."""
    candidates = [
        forwarding_selection.Candidate('busy', HERE),
        forwarding_selection.Candidate('idle', HERE),
    ]
    under_way = {'busy': 9, 'idle': 1}
    assert search(candidates, under_way=under_way.get)[0].vm == 'idle'
