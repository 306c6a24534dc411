"""Tests of the retention of audit entries."""

import anyio

from redwingvalve.administration import retention
from redwingvalve.core import clock
from redwingvalve.standins import memory_store

DAY_S = 86_400.0


def test_a_sweep_keeps_audits_of_the_last_month():
    async def scenario():
        store = memory_store.make_memory_object_api()
        for day in (0, 10, 40):
            await store.create('audits', f'{day:02d}', {'at_s': day * DAY_S})
        sweeper = retention.Sweeper(store, clock.ManualClock(41 * DAY_S))
        assert await sweeper.sweep() == 1
        audits = [stored.name for stored in store.list_now('audits').objects]
        assert audits == ['10', '40']
        store.set_outage(outage=True)
        assert await sweeper.sweep() == 0

    anyio.run(scenario)
