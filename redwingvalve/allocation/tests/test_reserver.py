"""A node finds places whatever becomes of those that grant them."""

import anyio
import looptime
import pytest

from redwingvalve.ingress.tests import load_simulation

CALM = [load_simulation.LoadPhase(0.6, 0.0, 4.0)]
BUSY = [load_simulation.LoadPhase(0.8, 0.0, 6.0)]
THREE = load_simulation.Deployment(nodes=12, heads=9, data_centres=3)


class LossyPlay(load_simulation.Simulation):
    """A tenth of all datagrams is lost."""

    datagram_loss = 0.1


class KillingPlay(load_simulation.Simulation):
    """A node that grants places dies every second, and starts again."""

    async def inject_faults(self):
        while True:
            await anyio.sleep(1.0)
            granters = [
                node
                for node in self.nodes
                if node.is_up and node.allocator.is_busy
            ]
            killed = self.rng.choice(granters)
            killed.is_up = False
            await anyio.sleep(0.7)
            killed.start()


def play(make_play, deployment, waves):
    return anyio.run(
        make_play(deployment, waves, 1).run,
        backend_options={'loop_factory': looptime.new_event_loop},
    )


def test_no_endpoint_is_filled_beyond_its_places():
    """Requests don't queue at endpoints, where they would be late."""
    made = load_simulation.Simulation(THREE, BUSY, 1)
    anyio.run(
        made.run, backend_options={'loop_factory': looptime.new_event_loop}
    )
    assert sum(head.queued for head in made.heads.values()) == 0


@pytest.mark.parametrize('make_play', [LossyPlay, KillingPlay])
def test_callers_are_served_in_time_beside_lost_datagrams_and_kills(make_play):
    """At a calm load nearly all are in time, and nobody is turned away."""
    got = play(make_play, THREE, CALM)
    assert got.share(got.on_time, 0.0, 4.0) >= 0.95
    assert got.share(got.lost, 0.0, 4.0) <= 0.01


@pytest.mark.parametrize('nodes', [6, 24, 60])
def test_messages_a_request_do_not_grow_with_the_fleet(nodes):
    """An ask, its reply and a release, and a report now and then."""
    deployment = load_simulation.Deployment(
        nodes=nodes, heads=9, data_centres=3
    )
    got = play(load_simulation.Simulation, deployment, CALM)
    assert got.messages / len(got.arrivals) <= 6


class ReorderingPlay(load_simulation.Simulation):
    """Each datagram takes up to five times as long as the fastest."""

    def datagram_delay_s(self):
        return load_simulation.DATAGRAM_DELAY_S * self.rng.uniform(1, 5)


def test_a_refusal_that_overtakes_an_older_reply_is_heeded():
    """A caller is told at once that it is refused, and not after the wait.

    The reply that the request waits comes after the one that refuses it.
    """
    overload = [load_simulation.LoadPhase(3.0, 0.0, 3.0)]
    got = play(ReorderingPlay, THREE, overload)
    held = sorted(got.held_s)
    assert held[len(held) * 8 // 10] < 0.05
