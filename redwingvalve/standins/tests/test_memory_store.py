"""The in-memory store follows the rules of the published object API."""

import anyio
import attrs

from redwingvalve.platform_api import object_api
from redwingvalve.standins import memory_store


def test_update_from_an_old_version_is_a_conflict():
    async def scenario():
        store = memory_store.make_memory_object_api()
        first = (await store.create('plans', 'a', {'n': 1})).ok
        await store.update(attrs.evolve(first, body={'n': 2}))
        late = await store.update(attrs.evolve(first, body={'n': 3}))
        assert isinstance(late.error, object_api.Conflict)
        assert (await store.get('plans', 'a')).ok.body == {'n': 2}

    anyio.run(scenario)


def test_write_takes_effect_when_its_response_is_dropped():
    async def scenario():
        store = memory_store.make_memory_object_api()
        store.faults.responses_to_drop = 1
        lost = await store.create('plans', 'a', {})
        assert lost.error.maybe_applied
        assert (await store.get('plans', 'a')).is_ok()

    anyio.run(scenario)


def test_watch_resumes_from_a_version_and_ends_in_an_outage():
    async def scenario():
        store = memory_store.make_memory_object_api()
        start = (await store.list('plans')).ok.version
        await store.create('plans', 'a', {})
        await store.create('nodes', 'other', {})
        seen = []
        async with anyio.create_task_group() as group:

            async def follow():
                async for event in store.watch('plans', start):
                    seen.append(event)

            group.start_soon(follow)
            await anyio.wait_all_tasks_blocked()
            await store.create('plans', 'b', {})
            await anyio.wait_all_tasks_blocked()
            store.set_outage(outage=True)
        assert [event.ok.stored.name for event in seen[:2]] == ['a', 'b']
        assert isinstance(seen[2].error, object_api.Unavailable)

    anyio.run(scenario)
