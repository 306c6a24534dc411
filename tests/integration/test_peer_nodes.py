"""Peer nodes on the loopback: membership, news and configuration."""

import contextlib

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.membership import bounds, members, node
from redwingvalve.news import bus
from redwingvalve.standins import memory_store
from tests.integration import fault_proxy

BOUNDS = bounds.MembershipBounds(
    round_s=0.1,
    remote_interval_s=0.3,
    reconnect_interval_s=0.3,
    urgent_interval_s=0.02,
    suspicion_s=2.5,
    refused_suspicion_s=0.3,
    isolation_s=1.0,
)
CHANNEL = bus.Channel('load', bus.Scope.REGION, 30.0, 100)
ACCOUNT = {'name': 'a', 'credential_sha256': 'x', 'priority': 1}


def declared(content):
    """Return the object body that a confirmed plan writes."""
    return {'generation': 1, 'content': content}


GUARD_S = 20.0


class Fleet:
    """Nodes that share an event loop; each can be stopped abruptly."""

    def __init__(self, group):
        self.group = group
        self.store = memory_store.make_memory_object_api()
        self.nodes = {}
        self.scopes = {}
        self.contacts = ()

    async def start(
        self,
        name,
        region='r1',
        objects=True,
        incarnation=1,
        membership_bounds=BOUNDS,
    ):
        local = members.Member(
            name, incarnation, 'entry', '127.0.0.1', 0, 1, f'{region}-a', region
        )
        started = await node.start_peer_node(
            local,
            clock.make_system_clock(),
            self.contacts,
            self.store if objects else None,
            bounds=membership_bounds,
        )
        self.contacts += (f'127.0.0.1:{started.server.port}',)
        scope = anyio.CancelScope()

        async def run():
            with scope:
                await started.run()

        self.group.start_soon(run)
        self.nodes[name] = started
        self.scopes[name] = scope
        return started

    async def kill(self, name):
        self.scopes[name].cancel()
        killed = self.nodes.pop(name)
        await killed.server.aclose()
        killed.caller.close_idle()

    def states(self, name):
        return {
            each.members.local_member().name: {
                member.name: member.state.value
                for member in each.members.known()
            }.get(name)
            for each in self.nodes.values()
        }


@contextlib.asynccontextmanager
async def make_fleet():
    with anyio.fail_after(60):
        async with anyio.create_task_group() as group:
            fleet = Fleet(group)
            yield fleet
            group.cancel_scope.cancel()
        for each in fleet.nodes.values():
            await each.server.aclose()
            each.caller.close_idle()


async def wait_until(condition):
    with anyio.fail_after(GUARD_S):
        while not condition():
            await anyio.sleep(0.02)


def test_members_discover_each_other_and_distinguish_leaving_from_dead():
    """All members see one entry leave, then another one killed.

    Callers must not be sent to either. The killed entry sends no message; it is
    detected by probes that its host refuses.
    """

    async def scenario():
        async with make_fleet() as fleet:
            for name in ('e1', 'e2', 'e3', 'e4'):
                await fleet.start(name, 'r2' if name == 'e4' else 'r1')
            await wait_until(
                lambda: all(
                    len(each.members.alive()) == 4
                    for each in fleet.nodes.values()
                )
            )
            fleet.nodes['e2'].members.leave()
            await wait_until(
                lambda: set(fleet.states('e2').values()) == {'leaving'}
            )
            await fleet.kill('e3')
            await wait_until(
                lambda: set(fleet.states('e3').values()) == {'dead'}
            )
            await wait_until(
                lambda: set(fleet.states('e1').values()) == {'alive'}
            )

    anyio.run(scenario)


def test_configuration_is_in_force_and_survives_a_restart_in_an_outage():
    """A change reaches entries with and without access to the store.

    Then the store fails and an entry is replaced: it must serve with the
    configuration of its peers. The next change arrives once the store is back.
    """

    async def scenario():
        async with make_fleet() as fleet:
            await fleet.start('e1')
            await fleet.start('e2', objects=False)
            await fleet.start('e3', 'r2', objects=False)
            created = await fleet.store.create(
                'clientaccounts', 'a', declared(ACCOUNT)
            )
            version = int(created.ok.version)
            source = fleet.nodes['e1'].configuration

            async def wait_in_force_everywhere():
                with anyio.fail_after(GUARD_S):
                    answer = await source.in_force('clientaccounts', version)
                    while answer.entries < 3 or answer.missing:
                        await anyio.sleep(0.05)
                        answer = await source.in_force(
                            'clientaccounts', version
                        )

            await wait_in_force_everywhere()
            unknown = await source.in_force('clientaccounts', version + 1)
            assert unknown.missing == ('e1', 'e2', 'e3')
            fleet.store.set_outage(outage=True)
            await fleet.kill('e2')
            restarted = await fleet.start('e2', incarnation=2)
            await wait_until(restarted.configuration.ready)
            accounts = restarted.configuration.current().client_accounts
            assert [account.name for account in accounts] == ['a']
            fleet.store.set_outage(outage=False)
            changed = await fleet.store.create(
                'clientaccounts', 'b', declared({**ACCOUNT, 'name': 'b'})
            )
            version = int(changed.ok.version)
            await wait_in_force_everywhere()

    anyio.run(scenario)


def test_news_stays_in_its_region_and_is_retracted():
    """Regional news reaches only members of the region until retracted."""

    async def scenario():
        async with make_fleet() as fleet:
            first = await fleet.start('e1')
            second = await fleet.start('e2')
            third = await fleet.start('e3', 'r2')
            first.news.publish(CHANNEL, 'k', b'7')
            await wait_until(lambda: second.news.read(CHANNEL))
            item = second.news.read(CHANNEL)[0]
            assert (item.owner, item.body) == ('e1', b'7')
            first.news.publish(CHANNEL, 'k', b'')
            await wait_until(lambda: not second.news.read(CHANNEL))
            await wait_until(lambda: len(third.members.alive()) == 3)
            assert not third.news.read(CHANNEL)

    anyio.run(scenario)


def test_urgent_news_does_not_wait_for_the_next_exchange():
    """Entries must know of a poison request before it is retried at once.

    Periodic exchanges are practically disabled here; an urgent item must still
    be forwarded from entry to entry.
    """
    rare = attrs.evolve(BOUNDS, round_s=1000.0, remote_interval_s=1000.0)
    urgent = attrs.evolve(CHANNEL, name='urgent', urgent=True)

    async def scenario():
        async with make_fleet() as fleet:
            names = [f'e{number}' for number in range(7)]
            for name in names:
                started = await fleet.start(name, membership_bounds=rare)
                started.news.read(urgent)
            await wait_until(
                lambda: all(
                    len(each.members.alive()) == 7
                    for each in fleet.nodes.values()
                )
            )
            fleet.nodes['e0'].news.publish(urgent, 'k', b'1')
            await wait_until(
                lambda: all(
                    each.news.read(urgent) for each in fleet.nodes.values()
                )
            )

    anyio.run(scenario)


class Links:
    """A fault proxy for each direction between each pair of nodes."""

    def __init__(self, fleet, group):
        self.fleet = fleet
        self.group = group
        self.proxies = {}

    async def install_proxies(self):
        for source_name, one in self.fleet.nodes.items():
            routes = {}
            for target_name, other in self.fleet.nodes.items():
                port = other.server.port
                proxy = fault_proxy.FaultProxy(f'127.0.0.1:{port}', self.group)
                await proxy.start()
                routes['127.0.0.1', port] = parse_address(proxy.address)
                self.proxies[source_name, target_name] = proxy
            one.caller._connect = self._through(one.caller._connect, routes)
            # A direct connection in use now would otherwise return to the
            # pool and bypass the proxies; no connection is reused.
            one.caller._keep = close_instead
            one.caller.close_idle()
        await anyio.sleep(BOUNDS.probe_timeout_s)

    async def cut(self, source_name, target_name, **faults):
        proxy = self.proxies[source_name, target_name]
        proxy.faults = fault_proxy.LinkFaults(**faults)
        await proxy.reset_all()

    def _through(self, connect, routes):
        async def connect_through(address):
            return await connect(routes[address])

        return connect_through


def close_instead(address, connection):
    connection.writer.close()


def parse_address(address):
    host, _, port = address.rpartition(':')
    return host, int(port)


def test_one_way_partitions_kill_nobody_and_isolated_entry_reports_itself():
    """e1 can't reach e2; nobody reaches e3, which still reaches the others.

    Neither may be declared dead. Then e3 is partitioned in both directions: the
    others declare it dead, and it reports itself as isolated and declares
    nobody dead. Once the links are healed, all see each other alive.
    """

    async def scenario():
        async with make_fleet() as fleet:
            for name in ('e1', 'e2', 'e3', 'e4'):
                await fleet.start(name, objects=False)
            await wait_until(
                lambda: all(
                    len(each.members.alive()) == 4
                    for each in fleet.nodes.values()
                )
            )
            links = Links(fleet, fleet.group)
            await links.install_proxies()
            others = ('e1', 'e2', 'e4')
            await links.cut('e1', 'e2', black_hole=True)
            for name in others:
                await links.cut(name, 'e3', cut_responses=True)
            for _ in range(40):
                await anyio.sleep(0.1)
                assert 'dead' not in fleet.states('e2').values()
                assert 'dead' not in fleet.states('e3').values()
            for name in others:
                await links.cut(name, 'e3', black_hole=True)
                await links.cut('e3', name, cut_requests=True)
            isolated_members = fleet.nodes['e3'].members
            await wait_until(isolated_members.isolated)
            await wait_until(
                lambda: list(fleet.states('e3').values()).count('dead') == 3
            )
            assert all(
                member.state is not members.MemberState.DEAD
                for member in isolated_members.known()
            )
            for proxy in links.proxies.values():
                proxy.heal()
                await proxy.reset_all()
            await wait_until(
                lambda: (
                    set(fleet.states('e3').values()) == {'alive'}
                    and not isolated_members.isolated()
                )
            )

    anyio.run(scenario)
