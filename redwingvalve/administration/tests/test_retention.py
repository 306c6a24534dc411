"""Old plans and audit entries leave the store, what matters stays."""

import anyio

from redwingvalve.administration import retention
from redwingvalve.core import clock
from redwingvalve.plans import objects
from redwingvalve.replicas import codec
from redwingvalve.standins import memory_store

DAY_S = 86_400.0


def test_a_sweep_keeps_the_plan_in_force_and_a_month_of_audits(monkeypatch):
    monkeypatch.setattr(retention, 'PLANS_KEPT', 2)

    async def scenario():
        store = memory_store.make_memory_object_api()
        for number in range(5):
            await store.create('plans', f'plan-{number}', {})
        for day in (0, 10, 40):
            await store.create('audits', f'{day:02d}', {'at_s': day * DAY_S})
        confirmed = objects.Confirmed(generation=1, plan='plan-0')
        await store.create('declarations', 'current', codec.to_body(confirmed))
        sweeper = retention.Sweeper(store, clock.ManualClock(41 * DAY_S))
        assert await sweeper.sweep() == 3
        plans = [stored.name for stored in store.list_now('plans').objects]
        assert plans == ['plan-0', 'plan-3', 'plan-4']
        audits = [stored.name for stored in store.list_now('audits').objects]
        assert audits == ['10', '40']
        store.set_outage(outage=True)
        assert await sweeper.sweep() == 0

    anyio.run(scenario)
