"""Probes of endpoints, and how missing responses are interpreted."""

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
    """Answers after 2 ms; the first unanswered_asks responses are lost."""

    unanswered_asks: int = 0
    dead: tuple[str, ...] = ()
    running: int = 0
    max_running: int = 0
    asks: int = 0

    async def report(self, endpoint):
        self.asks += 1
        is_unanswered = self.asks <= self.unanswered_asks
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        await anyio.sleep(0.002)
        self.running -= 1
        if is_unanswered or endpoint.endpoint_id in self.dead:
            return None
        return endpoint_orders.Report(1, endpoint.membership, ())

    async def await_report(self, endpoint, timeout_s):
        return await self.report(endpoint)


async def probe_all_replicas(client):
    """Return how many replicas of a whole fleet are found healthy."""
    prober = endpoint_prober.EndpointProber(client)
    found = []

    async def probe(number):
        found.append(await prober.are_healthy(replica(number)))

    async with anyio.create_task_group() as group:
        for number in range(REPLICAS):
            group.start_soon(probe, number)
    return sum(found)


def test_a_node_with_a_congested_link_does_not_consider_the_fleet_lost():
    """Callers keep their replicas while the lease holder's link is congested.

    After an outage it probes all members of sixty replicas; the first hundred
    responses are lost on its own congested link. All endpoints are healthy.
    """
    client = Client(unanswered_asks=100)
    assert anyio.run(probe_all_replicas, client) >= REPLICAS - MEMBERS


def test_the_number_of_concurrent_probes_is_limited():
    client = Client()
    assert anyio.run(probe_all_replicas, client) == REPLICAS
    assert client.max_running <= endpoint_prober.MAX_CONCURRENT_PROBES


def test_an_unanswered_probe_is_not_repeated_on_a_healthy_node():
    """A lost replica is repaired without delay: one silent member is lost."""
    client = Client(dead=('e1-1',))

    async def probe():
        prober = endpoint_prober.EndpointProber(client)
        return await prober.are_healthy(replica(1))

    assert not anyio.run(probe)
    assert client.asks == MEMBERS


def test_a_late_probe_shows_that_the_process_was_paused():
    now_s = [100.0]
    path = endpoint_prober.LocalHealth(lambda: now_s[0])
    path.record(99.9, is_answered=False)
    assert not path.is_degraded()
    path.record(99.5, is_answered=False)
    assert path.is_degraded()
    now_s[0] += endpoint_prober.DEGRADED_WINDOW_S + 0.1
    assert not path.is_degraded()


def test_a_few_dead_endpoints_show_no_problem_of_the_node():
    """Their probes are repeated, and their replicas would wait for the end."""
    now_s = [100.0]
    path = endpoint_prober.LocalHealth(lambda: now_s[0])
    for number in range(24):
        now_s[0] += 0.03
        path.record(now_s[0], False, endpoint_id=f'e{number % 3}')
        assert not path.is_degraded()
    for number in range(10):
        path.record(now_s[0], False, endpoint_id=f'other{number}')
    assert path.is_degraded()


def test_a_slow_node_does_not_consider_a_live_head_dead():
    """No VM is in two replicas when the lease holder runs slowly.

    A head is cut off from the store; its entry expires, and it goes on serving.
    The holder probes it, but is so slow that the timeouts pass before it reads
    the responses. If the head were considered dead, it would still be open
    while its members join another replica.
    """
    head = replica(1)[0]

    @attrs.define(eq=False)
    class SlowClient(Client):
        async def report(self, endpoint):
            answered = await super().report(endpoint)
            if answered is None:
                # As if the whole process were paused.
                await anyio.sleep(endpoint_orders.REPORT_TIMEOUT_S + 0.15)
            return answered

        async def await_report(self, endpoint, timeout_s):
            answered = await Client.report(self, endpoint)
            if answered is None:
                await anyio.sleep(timeout_s + 0.15)
            return answered

    async def ask(client):
        prober = endpoint_prober.EndpointProber(client)
        return await prober.ask_until_certain(head, clock.boot_s() + 10)

    found = anyio.run(ask, SlowClient(unanswered_asks=3))
    assert found is not None and found.membership == head.membership


def test_a_head_that_is_silent_for_a_second_is_not_dead():
    """Its entry has lapsed, since it is cut off from the store as well."""
    head = replica(1)[0]

    @attrs.define(eq=False)
    class SilentClient(Client):
        until_s: float = 0

        async def report(self, endpoint):
            await anyio.sleep(endpoint_orders.REPORT_TIMEOUT_S)
            if clock.boot_s() < self.until_s:
                return None
            return await super().report(endpoint)

        async def await_report(self, endpoint, timeout_s):
            await anyio.sleep(max(0, self.until_s - clock.boot_s()))
            return await super().report(endpoint)

    async def ask():
        prober = endpoint_prober.EndpointProber(
            SilentClient(until_s=clock.boot_s() + 1)
        )
        return await prober.ask_until_certain(head, clock.boot_s() + 10)

    assert anyio.run(ask) is not None


def test_only_hosts_that_take_connections_get_time_to_answer():
    """The replica of a host without power is repaired without delay."""

    @attrs.define(eq=False)
    class DarkClient(Client):
        async def accepts_connections(self, endpoint):
            return False

        async def await_report(self, endpoint, timeout_s):
            raise AssertionError(endpoint.endpoint_id)

    async def probe():
        prober = endpoint_prober.EndpointProber(DarkClient(dead=('e1-1',)))
        reports = await prober.ask_all(replica(1))
        await prober.ask_all_silent(reports, replica(1))
        return reports

    assert anyio.run(probe)['e1-1'] is None


def test_a_head_is_dead_only_after_repeated_unanswered_probes():
    async def ask(client):
        prober = endpoint_prober.EndpointProber(client)
        head = replica(1)[0]
        return await prober.ask_until_certain(head, clock.boot_s() + 10)

    assert anyio.run(ask, Client(unanswered_asks=1)) is not None
    dead = Client(dead=('e1-0',))
    assert anyio.run(ask, dead) is None
    assert dead.asks == endpoint_prober.PROBES_TO_CONFIRM_DEATH
