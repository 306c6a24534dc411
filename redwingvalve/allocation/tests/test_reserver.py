"""Simulates nodes that reserve slots while owners and datagrams are lost."""

import anyio
import looptime
import pytest

from redwingvalve.ingress.tests import load_simulation

MODERATE_LOAD = [load_simulation.LoadPhase(0.6, 0.0, 4.0)]
HIGH_LOAD = [load_simulation.LoadPhase(0.8, 0.0, 6.0)]
THREE_DATA_CENTRES = load_simulation.Deployment(
    nodes=12, heads=9, data_centres=3
)


class LossySimulation(load_simulation.Simulation):
    """A tenth of all datagrams is lost."""

    datagram_loss = 0.1


class OwnerKillingSimulation(load_simulation.Simulation):
    """A node that owns pools is killed and restarted every second."""

    async def inject_faults(self):
        while True:
            await anyio.sleep(1.0)
            owners = [
                node
                for node in self.nodes
                if node.is_up and node.allocator.is_busy
            ]
            killed = self.rng.choice(owners)
            killed.is_up = False
            await anyio.sleep(0.7)
            killed.start()


def simulate(simulation_type, deployment, phases):
    return anyio.run(
        simulation_type(deployment, phases, 1).run,
        backend_options={'loop_factory': looptime.new_event_loop},
    )


def test_no_endpoint_is_filled_beyond_its_slots():
    """Requests must not queue at endpoints, where they would be late."""
    simulation = load_simulation.Simulation(THREE_DATA_CENTRES, HIGH_LOAD, 1)
    anyio.run(
        simulation.run,
        backend_options={'loop_factory': looptime.new_event_loop},
    )
    assert sum(head.queued for head in simulation.heads.values()) == 0


@pytest.mark.parametrize(
    'simulation_type', [LossySimulation, OwnerKillingSimulation]
)
def test_callers_are_served_in_time_despite_lost_datagrams_and_kills(
    simulation_type,
):
    """At a moderate load 95 % are in time, and at most 1 % are turned away."""
    results = simulate(simulation_type, THREE_DATA_CENTRES, MODERATE_LOAD)
    assert results.share(results.on_time, 0.0, 4.0) >= 0.95
    assert results.share(results.lost, 0.0, 4.0) <= 0.01


@pytest.mark.parametrize('nodes', [6, 24, 60])
def test_messages_per_request_do_not_grow_with_the_fleet(nodes):
    """A request takes an ask, a reply, a release and a share of reports."""
    deployment = load_simulation.Deployment(
        nodes=nodes, heads=9, data_centres=3
    )
    results = simulate(load_simulation.Simulation, deployment, MODERATE_LOAD)
    assert results.messages / len(results.arrivals) <= 6


class ReorderingSimulation(load_simulation.Simulation):
    """Each datagram takes up to five times the shortest delay."""

    def datagram_delay_s(self):
        return load_simulation.DATAGRAM_DELAY_S * self.rng.uniform(1, 5)


def test_a_refusal_that_overtakes_an_older_reply_wins():
    """A caller must be refused at once and not after its wait.

    The reply that says that the request waits arrives after the one that
    refuses it.
    """
    overload = [load_simulation.LoadPhase(3.0, 0.0, 3.0)]
    results = simulate(ReorderingSimulation, THREE_DATA_CENTRES, overload)
    held = sorted(results.held_s)
    assert held[len(held) * 8 // 10] < 0.05
