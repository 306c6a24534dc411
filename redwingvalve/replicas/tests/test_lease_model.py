"""All interleavings of two controllers and one domain, to a stated depth.

Two processes make their calls (reads, writes, orders) in every possible order,
with the time of a whole lease term passing at any point. DEPTH choices after
the first holder has formed a replica; REDWINGVALVE_MODEL_DEPTH goes deeper.
"""

import asyncio
import itertools
import os

import pytest

from redwingvalve.core import invariants
from redwingvalve.declaration import schema
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import lease, view
from redwingvalve.replicas.tests import fixtures, gated

DEPTH = int(os.environ.get('REDWINGVALVE_MODEL_DEPTH', '6'))
ONE, TWO, LAPSE, MOMENT, VM_LOST = 'one', 'two', 'lapse', 'moment', 'vm-lost'
CHOICES = (ONE, TWO, LAPSE, MOMENT, VM_LOST)


class Model:
    """Replays one schedule; the first process holds the lease already."""

    def __init__(self, runner, trust, disabled=()):
        declared = fixtures.deployment(endpoint_trust=trust, vms_per_replica=2)
        self.runner = runner
        self.bench = fixtures.Bench(
            3, (view.DesiredShare(declared, 1),), disabled=disabled
        )
        ignores = trust == schema.EndpointTrust.IGNORES_FENCING
        for engine in self.bench.fleet.engines.values():
            engine.checks_fencing = not ignores
        body = domain_module.to_body(domain_module.FabricDomain('d', 'nave-a'))
        runner.run(self.bench.store.create(domain_module.KIND, 'd', body))
        self.processes = {
            name: gated.Process(name, self.bench, runner) for name in (ONE, TWO)
        }
        for choice in (ONE, ONE, ONE, TWO):
            self.choose(choice)

    def choose(self, choice):
        if choice in self.processes:
            self.processes[choice].gate.let_go()
            gated.settle(self.runner)
        elif choice == VM_LOST:
            self.bench.fleet.engine('vm-1').alive = False
        else:
            moment = choice == MOMENT
            self.bench.clock.advance(1.0 if moment else lease.TERM_S * 1.02)
        for process in self.processes.values():
            process.check()
        gated.check_engines(self.bench.fleet)

    def end(self):
        for process in self.processes.values():
            process.task.cancel()
        gated.settle(self.runner)


def walk(schedules, trust, disabled=()):
    """Replay all schedules; return how many were sound."""
    count = 0
    with asyncio.Runner() as runner:
        for schedule in schedules:
            model = Model(runner, trust, disabled)
            try:
                for choice in schedule:
                    model.choose(choice)
            finally:
                model.end()
            count += 1
    return count


@pytest.mark.parametrize('trust', list(schema.EndpointTrust))
def test_no_interleaving_breaks_an_invariant(trust):
    schedules = itertools.product((ONE, TWO, LAPSE), repeat=DEPTH)
    assert walk(schedules, trust) == 3**DEPTH


@pytest.mark.parametrize(
    'safeguard',
    [
        invariants.Safeguard.DOMAIN_CONDITIONAL_WRITE,
        invariants.Safeguard.LEASE_CHECKED_BEFORE_ORDER,
    ],
)
def test_without_a_safeguard_some_interleaving_is_a_breach(safeguard):
    """Process one is paused with a write or an order in its hands while its
    lease lapses and two takes over. With the safeguard off, one of the
    schedules lets it go on, and the program itself reports the breach."""
    schedules = [
        (ONE,) * calls_before
        + (TWO,) * 3
        + (LAPSE,)
        + (TWO,) * taken
        + (ONE,) * 4
        + (TWO,) * 6
        for calls_before, taken in itertools.product(range(8), range(8))
    ]
    trust = schema.EndpointTrust.IGNORES_FENCING
    assert walk(schedules, trust) == len(schedules)
    with pytest.raises(invariants.InvariantBreachError):
        walk(schedules, trust, (safeguard,))
