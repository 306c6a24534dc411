"""Assignment of models to VMs, choice of members, and limits on loads."""

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


def test_each_domain_is_assigned_one_model_by_share():
    found = planning.group_by_domain(fleet(6, 10))
    assigned = planning.assign_models(found, (LARGE, SMALL))
    by_domain = [
        {assigned[one.endpoint_id] for one in members}
        for members in found.values()
    ]
    assert all(len(models) == 1 for models in by_domain)
    assert sum(models == {'large'} for models in by_domain) == 3


def test_a_fleet_of_one_domain_serves_all_models():
    found = planning.group_by_domain(fleet(1, 10))
    assigned = planning.assign_models(found, (LARGE, SMALL))
    names = list(assigned.values())
    assert names.count('large') >= 4 and names.count('small') >= 2


@hypothesis.given(
    strategies.integers(1, 12),
    strategies.integers(1, 20),
    strategies.integers(1, 8),
    strategies.floats(0.1, 0.9),
)
def test_each_vm_is_assigned_one_model_at_most(domains, size, large, share):
    models = (model('large', large, share), model('small', 1, 1 - share))
    found = planning.group_by_domain(fleet(domains, size))
    assigned = planning.assign_models(found, models)
    assert set(assigned) <= {
        f'e{number:03}' for number in range(domains * size)
    }
    assert set(assigned.values()) <= {'large', 'small'}


def test_members_are_in_one_domain_and_warm_ones_come_first():
    free = [vm(1, 'd1'), vm(2, 'd1'), vm(3, 'd2'), vm(4, 'd2'), vm(5, 'd2')]
    warm = {'e004', 'e005'}
    picked = planning.pick_members(
        free, SMALL, lambda one: one.endpoint_id in warm
    )
    assert {one.endpoint_id for one in picked} == warm
    assert planning.pick_members(free, LARGE, lambda one: True) is None


def inventory(large, small, needed_vms=None):
    """Return VMs of the large model in domain d2, of the small one in d1."""
    held = [(vm(number, 'd1', ('small',)), 'small') for number in range(small)]
    held += [
        (vm(100 + number, 'd2', ('large',)), 'large') for number in range(large)
    ]
    return planning.ModelInventory(
        tuple(held), needed_vms or {'large': 0.5, 'small': 0.5}
    )


def test_an_empty_vm_loads_the_model_with_the_lowest_coverage():
    found = planning.model_to_load(
        vm(99, 'd2'), inventory(8, 30), (LARGE, SMALL)
    )
    assert found == 'large'


def test_an_empty_vm_loads_the_model_whose_slots_are_in_use():
    """Callers of the model with most requests find slots after losses.

    Twenty-six VMs of the large model serve 20 slots, twenty of the small one
    66: the small model runs out first, though it has more replicas.
    """
    model_demand = demand.ModelDemand()
    model_demand.record('large', 20, 0.0)
    model_demand.record('small', 66, 0.0)
    needed = model_demand.needed_vms((LARGE, SMALL), 9)
    found = planning.model_to_load(
        vm(99, 'd2'), inventory(26, 20, needed), (LARGE, SMALL)
    )
    assert found == 'small'


def test_an_empty_vm_completes_a_replica_that_lacks_one_vm():
    """One more VM gives callers of the large model nine more slots.

    Each of three domains holds seven VMs of it: one replica and three VMs that
    serve no requests. Counted by VMs the small model is scarcer, but its next
    replica takes two more.
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


def test_a_spare_of_a_well_covered_model_loads_the_scarcest_one():
    spares = [vm(100 + number, 'd2', ('large',)) for number in range(2)]
    needed = {'large': 9.0, 'small': 18.0}
    picked = planning.pick_spare_to_reload(
        spares, inventory(26, 20, needed), (LARGE, SMALL)
    )
    assert picked is not None and picked[1] == 'small'


@pytest.mark.parametrize(
    ('large', 'small', 'spare_count'),
    [
        # The small model is not short.
        (26, 25, 2),
        # The large model is as short.
        (10, 20, 2),
        # Its domain would be left without a spare.
        (26, 20, 1),
    ],
)
def test_no_spare_is_reloaded_without_need_or_surplus(
    large, small, spare_count
):
    spares = [vm(100 + one, 'd2', ('large',)) for one in range(spare_count)]
    needed = {'large': 9.0, 'small': 18.0}
    held = inventory(large, small, needed)
    assert planning.pick_spare_to_reload(spares, held, (LARGE, SMALL)) is None


def test_demand_keeps_the_peak_of_a_burst():
    model_demand = demand.ModelDemand()
    model_demand.record('small', 90, 0.0)
    model_demand.record('small', 30, 5.0)
    assert 50 < model_demand.needed_vms((SMALL,), 9)['small'] / 2 * 9 < 60
    model_demand.record('small', 30, 60.0)
    assert round(model_demand.needed_vms((SMALL,), 9)['small'] / 2 * 9) == 30


def test_declared_shares_count_before_traffic():
    model_demand = demand.ModelDemand()
    model_demand.record('small', 1, 0.0)
    assert model_demand.needed_vms((LARGE, SMALL), 9) == {
        'large': 0.5,
        'small': 0.5,
    }


def test_loads_keep_to_the_rate_limit():
    """The loads started within any five seconds keep to the store's rate."""
    limiter = planning.LoadLimiter(rate_per_s=5.0, max_concurrent=100)
    started_s = []
    now_s = 0.0
    rng = random.Random(1)
    while now_s < 30:
        if limiter.try_acquire(now_s, 16.0):
            started_s.append(now_s)
        now_s += rng.uniform(0, 0.05)
    for start_s in started_s:
        within = [at_s for at_s in started_s if start_s <= at_s < start_s + 5]
        assert len(within) <= 5 * 5 * 1.1 + 3
    assert len(started_s) > 90


def test_concurrent_loads_are_bounded():
    limiter = planning.LoadLimiter(rate_per_s=100.0, max_concurrent=7)
    assert not limiter.try_acquire(0.0, 16.0)
    taken = sum(
        limiter.try_acquire(1 + number / 100, 16.0) for number in range(50)
    )
    assert taken == 7
    assert limiter.try_acquire(20.0, 16.0)
