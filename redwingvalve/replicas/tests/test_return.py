"""The store comes back for many controllers; a newer program wrote a domain."""

import anyio
import attrs

from redwingvalve.replicas import codec
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas.tests import fixtures

CONTROLLERS = 40


def test_controllers_return_spread_out_after_an_outage():
    """The store is away for an hour and comes back. Forty controllers that all
    asked in one moment would meet its limit and be refused again together;
    with jitter no half second sees more than a third of them, and within the
    longest backoff all have asked."""

    async def scenario():
        bench = fixtures.Bench()
        await bench.begin()
        owners = [
            bench.controller(f'owner-{number}') for number in range(CONTROLLERS)
        ]
        await bench.run(5, *owners)
        bench.store.set_outage(outage=True)
        await bench.run(3600, *owners)
        bench.store.set_outage(outage=False)
        asked = []
        for _ in range(20):
            before = bench.store.calls.reads
            await bench.run(0.5, *owners)
            asked.append(bench.store.calls.reads - before)
        assert max(asked) <= CONTROLLERS / 3
        assert sum(asked) >= CONTROLLERS

    anyio.run(scenario)


def test_a_domain_of_a_newer_program_is_read_but_never_written():
    """Both versions run during an upgrade. The older program would drop the
    fields that it does not know, so it leaves the lease to the newer one."""

    async def scenario():
        bench = fixtures.Bench()
        (one,) = await bench.begin('one')
        stored = (await bench.store.get(domain_module.KIND, 'd')).ok
        newer = {
            **stored.body,
            'schema_version': domain_module.SCHEMA_VERSION + 1,
            'not_known_yet': {'kept': True},
        }
        await bench.store.update(attrs.evolve(stored, body=newer))
        await bench.run(60, one)
        found = (await bench.store.get(domain_module.KIND, 'd')).ok
        assert found.body == newer
        assert codec.from_body(newer, domain_module.FabricDomain).name == 'd'
        assert not one.status().holds_lease

    anyio.run(scenario)
