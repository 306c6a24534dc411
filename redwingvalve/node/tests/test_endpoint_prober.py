"""Questions to endpoints, and what answers that are missing may mean."""

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints
from redwingvalve.node import endpoint_prober
from redwingvalve.node.tests import members
from redwingvalve.platform import endpoint_orders

REPLICAS = 60
MEMBERS = 2


def replica(number):
    return tuple(
        members.make_member(
            f'e{number}-{rank}', number, rank, endpoints.MemberState.OPEN
        )
        for rank in range(MEMBERS)
    )


@attrs.define(eq=False)
class Client:
    """Answers after a moment; at first nothing gets through."""

    choked_asks: int = 0
    dead: tuple[str, ...] = ()
    running: int = 0
    most: int = 0
    asks: int = 0

    async def report(self, endpoint):
        self.asks += 1
        is_choked = self.asks <= self.choked_asks
        self.running += 1
        self.most = max(self.most, self.running)
        await anyio.sleep(0.002)
        self.running -= 1
        if is_choked or endpoint.endpoint_id in self.dead:
            return None
        return endpoint_orders.Report(1, endpoint.membership, ())


async def inspect_all(client):
    """Return how many replicas of a whole fleet are taken for whole."""
    prober = endpoint_prober.EndpointProber(client)
    found = []

    async def inspect(number):
        found.append(await prober.are_healthy(replica(number)))

    async with anyio.create_task_group() as group:
        for number in range(REPLICAS):
            group.start_soon(inspect, number)
    return sum(found)


def test_a_choked_node_does_not_take_the_fleet_for_lost():
    """Callers keep their replicas while the holder of the lease is held up.

    After an outage it asks all members of sixty replicas; the first hundred
    answers are lost on its own full link. All endpoints are sound.
    """
    client = Client(choked_asks=100)
    assert anyio.run(inspect_all, client) >= REPLICAS - MEMBERS


def test_few_are_asked_at_once():
    client = Client()
    assert anyio.run(inspect_all, client) == REPLICAS
    assert client.most <= endpoint_prober.ASKED_AT_ONCE


def test_a_lost_member_is_not_asked_twice():
    """A lost replica is mended without a pause: one silent member is lost."""
    client = Client(dead=('e1-1',))

    async def inspect():
        prober = endpoint_prober.EndpointProber(client)
        return await prober.are_healthy(replica(1))

    assert not anyio.run(inspect)
    assert client.asks == MEMBERS


def test_a_process_that_was_held_up_doubts_its_questions():
    now_s = [100.0]
    path = endpoint_prober.OwnPath(lambda: now_s[0])
    path.note(99.9, is_answered=False)
    assert not path.is_doubtful()
    path.note(99.5, is_answered=False)
    assert path.is_doubtful()
    now_s[0] += endpoint_prober.DOUBT_WINDOW_S + 0.1
    assert not path.is_doubtful()


def test_a_slow_node_does_not_take_a_living_head_for_dead():
    """No VM is in two replicas when the holder of the lease runs slowly.

    A head is cut off from the store, and its entry lapses; it serves on. The
    holder asks it, and is so slow that its timeouts pass before it reads the
    answers. Taken for dead, the head would be open while its members join
    another replica.
    """
    head = replica(1)[0]

    @attrs.define(eq=False)
    class SlowClient(Client):
        async def report(self, endpoint):
            answered = await super().report(endpoint)
            if answered is None:
                # Held up with the whole process.
                await anyio.sleep(endpoint_orders.REPORT_TIMEOUT_S + 0.15)
            return answered

    async def ask(client):
        prober = endpoint_prober.EndpointProber(client)
        return await prober.ask_surely(head, clock.boot_s() + 10)

    found = anyio.run(ask, SlowClient(choked_asks=3))
    assert found is not None and found.membership == head.membership


def test_one_lost_answer_does_not_prove_a_head_dead():
    async def ask(client):
        prober = endpoint_prober.EndpointProber(client)
        head = replica(1)[0]
        return await prober.ask_surely(head, clock.boot_s() + 10)

    assert anyio.run(ask, Client(choked_asks=1)) is not None
    dead = Client(dead=('e1-0',))
    assert anyio.run(ask, dead) is None
    assert dead.asks == endpoint_prober.SURE_QUESTIONS
