"""Recovery of the store, and a domain written by a newer version."""

import anyio
import attrs

from redwingvalve.replicas import codec
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas.tests import fixtures

CONTROLLERS = 40


def test_controllers_retry_spread_out_after_an_outage():
    """The store returns after an outage of an hour. If forty controllers all
    retried at once, its rate limit would refuse them, and they would retry
    together again. With jitter at most a third of them retry within any half
    second, and all have retried within the maximum backoff."""

    async def scenario():
        harness = fixtures.Harness()
        await harness.start()
        owners = [
            harness.controller(f'owner-{number}')
            for number in range(CONTROLLERS)
        ]
        await harness.run(5, *owners)
        harness.store.set_outage(outage=True)
        await harness.run(3600, *owners)
        harness.store.set_outage(outage=False)
        asked = []
        for _ in range(20):
            before = harness.store.calls.reads
            await harness.run(0.5, *owners)
            asked.append(harness.store.calls.reads - before)
        assert max(asked) <= CONTROLLERS / 3
        assert sum(asked) >= CONTROLLERS

    anyio.run(scenario)


def test_a_domain_of_a_newer_version_is_read_but_never_written():
    """Both versions run during an upgrade. The older one would drop the fields
    that it does not know, so it does not acquire the lease."""

    async def scenario():
        harness = fixtures.Harness()
        (one,) = await harness.start('one')
        stored = (await harness.store.get(domain_module.KIND, 'd')).ok
        newer = {
            **stored.body,
            'schema_version': domain_module.SCHEMA_VERSION + 1,
            'not_known_yet': {'kept': True},
        }
        await harness.store.update(attrs.evolve(stored, body=newer))
        await harness.run(60, one)
        found = (await harness.store.get(domain_module.KIND, 'd')).ok
        assert found.body == newer
        assert codec.from_body(newer, domain_module.FabricDomain).name == 'd'
        assert not one.status().holds_lease

    anyio.run(scenario)
