"""Registration of voters in the store."""

import anyio

from redwingvalve.at_most_once import roster, voter_registration
from redwingvalve.standins import memory_store

HOUR_S = 3600.0


def test_registration_returns_the_voters_and_whether_it_is_the_first():
    """Names not refreshed for long are omitted, later deletable."""

    async def scenario():
        store = memory_store.make_memory_object_api()
        first = await voter_registration.register(store, 'e1', 0.0)
        second = await voter_registration.register(store, 'e2', HOUR_S)
        again = await voter_registration.register(store, 'e1', HOUR_S)
        assert await voter_registration.refresh(store, 'e1', HOUR_S)
        later_s = HOUR_S + roster.MAX_ABSENCE_S + 1
        assert await voter_registration.refresh(store, 'e2', later_s)
        late = await voter_registration.register(store, 'e3', later_s)
        kept = (await store.list(voter_registration.KIND)).ok.objects
        expired = voter_registration.find_expired(
            kept, HOUR_S + voter_registration.OBJECT_RETENTION_S + 1
        )
        store.set_outage(outage=True)
        assert not await voter_registration.refresh(store, 'e2', later_s)
        return (
            first,
            second,
            again,
            late,
            expired,
            await voter_registration.register(store, 'e4', later_s),
        )

    first, second, again, late, expired, away = anyio.run(scenario)
    assert (first.first, second.first, again.first) == (True, True, False)
    assert second.names == again.names == {'e1', 'e2'}
    assert late.names == {'e2', 'e3'}
    assert [stored.name for stored in expired] == ['e1']
    assert away == voter_registration.Registration(first=False)
