"""Which VMs load and form what."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.fleet import demand, endpoints, planning
from redwingvalve.ingress import routes


def model(name, size, share=0.5):
    return routes.Model(name, size, share, 1.0, 16.0, 1.6)


def vm(number, domain, staged=()):
    return endpoints.Endpoint(
        f'e{number:03}', 1, 's', 'h', 1, 'dc', 9, False, domain, staged
    )


def fleet(domains, size):
    return [
        vm(number, f'd{number // size}') for number in range(domains * size)
    ]


LARGE, SMALL = model('large', 4), model('small', 2)


def test_each_domain_is_dealt_one_model_by_share():
    found = planning.group_by_domain(fleet(6, 10))
    dealt = planning.assign_models(found, (LARGE, SMALL))
    by_domain = [
        {dealt[one.endpoint_id] for one in members}
        for members in found.values()
    ]
    assert all(len(models) == 1 for models in by_domain)
    assert sum(models == {'large'} for models in by_domain) == 3


def test_a_fleet_of_one_domain_serves_all_models():
    found = planning.group_by_domain(fleet(1, 10))
    dealt = planning.assign_models(found, (LARGE, SMALL))
    names = list(dealt.values())
    assert names.count('large') >= 4 and names.count('small') >= 2


@hypothesis.given(
    strategies.integers(1, 12),
    strategies.integers(1, 20),
    strategies.integers(1, 8),
    strategies.floats(0.1, 0.9),
)
def test_dealing_gives_each_vm_one_model_at_most(domains, size, large, share):
    models = (model('large', large, share), model('small', 1, 1 - share))
    found = planning.group_by_domain(fleet(domains, size))
    dealt = planning.assign_models(found, models)
    assert set(dealt) <= {f'e{number:03}' for number in range(domains * size)}
    assert set(dealt.values()) <= {'large', 'small'}


def test_members_lie_in_one_domain_and_the_warm_ones_first():
    free = [vm(1, 'd1'), vm(2, 'd1'), vm(3, 'd2'), vm(4, 'd2'), vm(5, 'd2')]
    warm = {'e004', 'e005'}
    picked = planning.pick_members(
        free, SMALL, lambda one: one.endpoint_id in warm
    )
    assert {one.endpoint_id for one in picked} == warm
    assert planning.pick_members(free, LARGE, lambda one: True) is None


def stock(large, small, needed_vms=None):
    """VMs of the large model in domain d2, of the small one in d1."""
    held = [(vm(number, 'd1', ('small',)), 'small') for number in range(small)]
    held += [
        (vm(100 + number, 'd2', ('large',)), 'large') for number in range(large)
    ]
    return planning.ModelInventory(
        tuple(held), needed_vms or {'large': 0.5, 'small': 0.5}
    )


def test_a_newcomer_loads_what_the_fleet_lacks_most():
    found = planning.model_to_load(vm(99, 'd2'), stock(8, 30), (LARGE, SMALL))
    assert found == 'large'


def test_a_newcomer_goes_where_the_places_are_in_use():
    """Callers of the model with most requests find places after losses.

    Twenty-six VMs of the large model serve 20 places, twenty of the small one
    66: the small model runs out first, though it has more replicas.
    """
    uses = demand.ModelDemand()
    uses.record('large', 20, 0.0)
    uses.record('small', 66, 0.0)
    needed = uses.needed_vms((LARGE, SMALL), 9)
    found = planning.model_to_load(
        vm(99, 'd2'), stock(26, 20, needed), (LARGE, SMALL)
    )
    assert found == 'small'


def test_a_newcomer_completes_a_replica_where_few_vms_lack():
    """Callers of the large model get nine places for one VM.

    Three domains hold six VMs of it each: one replica and two that serve
    nobody. Counted by VMs the small model is the poorer one, and its next
    replica takes two.
    """
    held = [
        (vm(10 * domain + number, f'd{domain}', ('large',)), 'large')
        for domain in range(3)
        for number in range(7)
    ]
    held += [(vm(100 + one, 'd4', ('small',)), 'small') for one in range(16)]
    found = planning.ModelInventory(tuple(held), {'large': 9.8, 'small': 16.0})
    chosen = planning.model_to_load(vm(99, 'd1'), found, (LARGE, SMALL))
    assert chosen == 'large'


def test_a_spare_of_a_rich_model_loads_a_poor_one():
    spares = [vm(100 + number, 'd2', ('large',)) for number in range(2)]
    needed = {'large': 9.0, 'small': 18.0}
    moved = planning.pick_spare_to_reload(
        spares, stock(26, 20, needed), (LARGE, SMALL)
    )
    assert moved is not None and moved[1] == 'small'


@pytest.mark.parametrize(
    ('large', 'small', 'spare_count'),
    [
        # The small model is not short.
        (26, 25, 2),
        # The large one is as short.
        (10, 20, 2),
        # Its domain would be left without a spare.
        (26, 20, 1),
    ],
)
def test_no_spare_moves_without_need_or_surplus(large, small, spare_count):
    spares = [vm(100 + one, 'd2', ('large',)) for one in range(spare_count)]
    needed = {'large': 9.0, 'small': 18.0}
    held = stock(large, small, needed)
    assert planning.pick_spare_to_reload(spares, held, (LARGE, SMALL)) is None


def test_demand_keeps_the_peak_of_a_wave():
    uses = demand.ModelDemand()
    uses.record('small', 90, 0.0)
    uses.record('small', 30, 5.0)
    assert 50 < uses.needed_vms((SMALL,), 9)['small'] / 2 * 9 < 60
    uses.record('small', 30, 60.0)
    assert round(uses.needed_vms((SMALL,), 9)['small'] / 2 * 9) == 30


def test_before_traffic_shares_count():
    uses = demand.ModelDemand()
    uses.record('small', 1, 0.0)
    assert uses.needed_vms((LARGE, SMALL), 9) == {'large': 0.5, 'small': 0.5}


def test_loads_keep_to_the_stores_rate():
    """No more begin in any five seconds than the store allows, and so many
    at once."""
    budget = planning.LoadLimiter(rate_per_s=5.0, max_concurrent=100)
    begun = []
    now_s = 0.0
    chance = random.Random(1)
    while now_s < 30:
        if budget.try_acquire(now_s, 16.0):
            begun.append(now_s)
        now_s += chance.uniform(0, 0.05)
    for start_s in begun:
        within = [at_s for at_s in begun if start_s <= at_s < start_s + 5]
        assert len(within) <= 5 * 5 * 1.1 + 3
    assert len(begun) > 90


def test_loads_at_once_are_bounded():
    budget = planning.LoadLimiter(rate_per_s=100.0, max_concurrent=7)
    assert not budget.try_acquire(0.0, 16.0)
    taken = sum(
        budget.try_acquire(1 + number / 100, 16.0) for number in range(50)
    )
    assert taken == 7
    assert budget.try_acquire(20.0, 16.0)
