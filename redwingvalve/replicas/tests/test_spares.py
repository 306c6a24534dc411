"""Spares and shares follow the operator's prices and failure rates."""

import itertools

import attrs
from hypothesis import given
from hypothesis import strategies as st

from redwingvalve.declaration import reader, schema
from redwingvalve.replicas import shares, spares

RATES = spares.FailureRates()


def advise(file_name, replicas=12):
    declared = reader.read_file(file_name).ok.content
    need = spares.DeploymentDemand(declared.deployments[0], replicas)
    return spares.advise((need,), RATES)


def test_only_the_declaration_with_a_high_downtime_price_gets_spares():
    assert advise('examples/lonestar.yaml').spares > 0
    assert advise('examples/tapiceria.yaml').spares == 0


@given(st.floats(0.01, 100), st.floats(0.001, 10), st.integers(1, 16))
def test_the_advice_is_the_lowest_price_and_grows_with_downtime(
    downtime, stranded, replicas
):
    def need(price):
        prices = schema.Prices(price, stranded)
        declared = schema.ModelDeployment('m', 'm', '1', 4, 4, prices=prices)
        return (spares.DeploymentDemand(declared, replicas),)

    advice = spares.advise(need(downtime), RATES)
    for count in range(4 * replicas):
        price = spares.price_per_minute(need(downtime), RATES, count)
        assert advice.price_per_minute <= price + 1e-9
    assert spares.advise(need(10 * downtime), RATES).spares >= advice.spares


def capacities(*vms):
    return tuple(
        shares.DomainCapacity(f'd{index}', 'nave-a', count)
        for index, count in enumerate(vms)
    )


@given(
    st.lists(st.integers(0, 30), min_size=1, max_size=6),
    st.lists(st.integers(0, 30), min_size=6, max_size=6),
    st.integers(0, 12),
    st.integers(0, 12),
)
def test_shares_fit_keep_floors_and_stay_where_they_are(
    before, after, replicas, floor
):
    declared = schema.ModelDeployment(
        'm', 'm', '1', replicas, 3, floor_replicas=min(floor, replicas)
    )
    first = shares.allocate(
        1, (declared,), capacities(*before), shares.Allocation()
    )
    again = shares.allocate(2, (declared,), capacities(*before), first)
    assert again.shares == first.shares
    assert first.total('m') == min(replicas, sum(v // 3 for v in before))
    placed = first.total('m')
    floors = sum(share.floor_replicas for share in first.shares)
    assert floors == min(declared.floor_replicas, placed)
    moved = shares.reallocate(
        (declared,), capacities(*after[: len(before)]), first
    )
    assert moved.total('m') == max(
        placed, min(replicas, sum(v // 3 for v in after[: len(before)]))
    )


def test_the_deployment_with_the_highest_price_is_placed_first():
    for cheap, expensive in itertools.permutations(('a', 'b')):
        declared = tuple(
            schema.ModelDeployment(
                name, 'm', '1', 2, 3, prices=schema.Prices(price, 0.1)
            )
            for name, price in ((cheap, 1.0), (expensive, 2.0))
        )
        made = shares.allocate(1, declared, capacities(7), shares.Allocation())
        assert (made.total(expensive), made.total(cheap)) == (2, 0)


def pool(file_name, **failures):
    declared = reader.read_file(file_name).ok.content
    needs = (spares.DeploymentDemand(declared.deployments[0], 10),)
    rates = attrs.evolve(declared.failures, **failures)
    return spares.advise_pool((needs,) * 6, rates)


def test_one_spare_group_is_cheaper_than_a_spare_in_each_domain():
    advice = pool('examples/lonestar.yaml')
    assert sorted(advice.spares) == [0, 0, 0, 0, 0, 4]
    assert sum(pool('examples/tapiceria.yaml').spares) == 0
    declared = reader.read_file('examples/lonestar.yaml').ok.content
    needs = ((spares.DeploymentDemand(declared.deployments[0], 10),),) * 6
    each = spares.pool_price_per_minute(needs, declared.failures, (1,) * 6)
    assert advice.price_per_minute < each < advice.price_without_per_minute


def test_advice_follows_the_declared_failure_rates():
    """Racks that fail every day and take a day to repair make a second spare
    group pay. VMs that never fail make no spare pay."""
    often = pool(
        'examples/lonestar.yaml',
        rack_failures_per_vm_day=1 / 240,
        rack_repair_time_s=86400.0,
    )
    assert sum(often.spares) >= 8
    never = pool(
        'examples/lonestar.yaml',
        vm_failures_per_vm_day=0.0,
        vm_restarts_per_vm_day=0.0,
        rack_failures_per_vm_day=0.0,
    )
    assert sum(never.spares) == 0
