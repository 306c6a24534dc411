"""Checks all interleavings of two controllers of one domain up to a depth.

Two processes make their calls (reads, writes, orders) in every possible order,
and a whole lease term may pass between any two calls. Each schedule makes DEPTH
choices after the first holder has formed a replica. REDWINGVALVE_MODEL_DEPTH
sets a greater depth.
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
ONE, TWO, TERM_PASSES, ONE_SECOND, VM_LOST = (
    'one',
    'two',
    'term-passes',
    'one-second',
    'vm-lost',
)
CHOICES = (ONE, TWO, TERM_PASSES, ONE_SECOND, VM_LOST)


class Model:
    """Runs one schedule; the first process already holds the lease."""

    def __init__(self, runner, trust, disabled=()):
        declared = fixtures.deployment(endpoint_trust=trust, vms_per_replica=2)
        self.runner = runner
        self.harness = fixtures.Harness(
            3, (view.DesiredShare(declared, 1),), disabled=disabled
        )
        ignores = trust == schema.EndpointTrust.IGNORES_FENCING
        for engine in self.harness.fleet.engines.values():
            engine.checks_fencing = not ignores
        body = domain_module.to_body(domain_module.FabricDomain('d', 'nave-a'))
        runner.run(self.harness.store.create(domain_module.KIND, 'd', body))
        self.processes = {
            name: gated.Process(name, self.harness, runner)
            for name in (ONE, TWO)
        }
        for choice in (ONE, ONE, ONE, TWO):
            self.choose(choice)

    def choose(self, choice):
        if choice in self.processes:
            self.processes[choice].gate.release_next()
            gated.run_until_blocked(self.runner)
        elif choice == VM_LOST:
            self.harness.fleet.engine('vm-1').alive = False
        else:
            one_second = choice == ONE_SECOND
            self.harness.clock.advance(
                1.0 if one_second else lease.TERM_S * 1.02
            )
        for process in self.processes.values():
            process.check()
        gated.check_engines(self.harness.fleet)

    def end(self):
        for process in self.processes.values():
            process.task.cancel()
        gated.run_until_blocked(self.runner)


def replay(schedules, trust, disabled=()):
    """Run all schedules; return how many passed."""
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
    schedules = itertools.product((ONE, TWO, TERM_PASSES), repeat=DEPTH)
    assert replay(schedules, trust) == 3**DEPTH


@pytest.mark.parametrize(
    'safeguard',
    [
        invariants.Safeguard.DOMAIN_CONDITIONAL_WRITE,
        invariants.Safeguard.LEASE_CHECKED_BEFORE_ORDER,
    ],
)
def test_without_a_safeguard_some_interleaving_is_a_breach(safeguard):
    """Process one is paused before a write or an order while its lease expires
    and two acquires it. With the safeguard disabled, one of the schedules lets
    process one continue, and the program itself reports the breach."""
    schedules = [
        (ONE,) * calls_before
        + (TWO,) * 3
        + (TERM_PASSES,)
        + (TWO,) * taken
        + (ONE,) * 4
        + (TWO,) * 6
        for calls_before, taken in itertools.product(range(8), range(8))
    ]
    trust = schema.EndpointTrust.IGNORES_FENCING
    assert replay(schedules, trust) == len(schedules)
    with pytest.raises(invariants.InvariantBreachError):
        replay(schedules, trust, (safeguard,))
