"""The replica bench counts what it says, and the aims hold in small."""

import anyio

from redwingvalve.bench import replicas, replicas_fleet


def rows(scenario, *strategies):
    async def scenario_rows():
        found = replicas.run_rows(('lonestar',), (scenario,), 1, strategies)
        return [row async for row in found]

    return anyio.run(scenario_rows)


def test_a_spare_bounds_the_downtime_by_the_load():
    (row,) = rows('one VM lost', replicas_fleet.Strategy('advised'))
    assert row.downtime_s <= 1.2 * 60


def test_a_quiet_domain_costs_one_write_for_each_renewal():
    rate = anyio.run(replicas.measure_writes, 1)
    assert 10 <= rate.writes_per_minute <= 13


def test_pooled_spares_halve_a_lost_rack():
    """One set for six domains: half of a lost rack is whole again after a
    load, where one spare a domain saves nothing."""
    pooled, each = rows(
        'rack lost',
        replicas_fleet.Strategy('advised'),
        replicas_fleet.Strategy('one spare a domain', 1),
    )
    assert pooled.spares < each.spares
    assert pooled.downtime_s < 0.6 * each.downtime_s
    assert pooled.decided_after_s <= 3
