"""Whole peer nodes on the loopback: membership, news and configuration."""

import contextlib

import anyio

from redwingvalve.core import clock
from redwingvalve.membership import bounds, members, node
from redwingvalve.news import board
from redwingvalve.standins import memory_store

BOUNDS = bounds.MembershipBounds(
    round_s=0.1,
    foreign_interval_s=0.3,
    reconnect_interval_s=0.3,
    eager_interval_s=0.02,
    suspicion_s=1.0,
    refused_suspicion_s=0.3,
    isolation_s=1.0,
)
CHANNEL = board.Channel('load', board.Reach.REGION, 30.0, 100)
ACCOUNT = {'name': 'a', 'credential_sha256': 'x', 'priority': 1}


def declared(content):
    """Return the body that a confirmed plan writes."""
    return {'generation': 1, 'content': content}


GUARD_S = 20.0


class Fleet:
    """Nodes that share a loop; each can be stopped like a killed process."""

    def __init__(self, group):
        self.group = group
        self.store = memory_store.make_memory_object_api()
        self.nodes = {}
        self.scopes = {}
        self.contacts = ()

    async def start(self, name, region='r1', objects=True, incarnation=1):
        me = members.Member(
            name, incarnation, 'entry', '127.0.0.1', 0, 1, f'{region}-a', region
        )
        started = await node.start_peer_node(
            me,
            clock.make_system_clock(),
            self.contacts,
            self.store if objects else None,
            bounds=BOUNDS,
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
        await self.nodes.pop(name).server.aclose()

    def states(self, name):
        return {
            each.members.myself().name: {
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


async def until(condition):
    with anyio.fail_after(GUARD_S):
        while not condition():
            await anyio.sleep(0.02)


def test_members_find_each_other_and_tell_leaving_from_death():
    """An entry that leaves is shown as leaving by all, then one is killed.

    Callers must not be sent to either; the killed one is found by probes that
    its host refuses, without any message of its own.
    """

    async def scenario():
        async with make_fleet() as fleet:
            for name in ('e1', 'e2', 'e3', 'e4'):
                await fleet.start(name, 'r2' if name == 'e4' else 'r1')
            await until(
                lambda: all(
                    len(each.members.alive()) == 4
                    for each in fleet.nodes.values()
                )
            )
            fleet.nodes['e2'].members.leave()
            await until(lambda: set(fleet.states('e2').values()) == {'leaving'})
            await fleet.kill('e3')
            await until(lambda: set(fleet.states('e3').values()) == {'dead'})
            assert set(fleet.states('e1').values()) == {'alive'}

    anyio.run(scenario)


def test_configuration_is_in_force_and_survives_a_restart_in_an_outage():
    """A change reaches entries that see the store and entries that don't.

    Then the store goes away and an entry is replaced: it must serve by what
    its peers know, and the next change comes through when the store is back.
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

            async def everywhere():
                with anyio.fail_after(GUARD_S):
                    answer = await source.in_force('clientaccounts', version)
                    while answer.entries < 3 or answer.missing:
                        await anyio.sleep(0.05)
                        answer = await source.in_force(
                            'clientaccounts', version
                        )

            await everywhere()
            unknown = await source.in_force('clientaccounts', version + 1)
            assert unknown.missing == ('e1', 'e2', 'e3')
            fleet.store.set_outage(outage=True)
            await fleet.kill('e2')
            reborn = await fleet.start('e2', incarnation=2)
            await until(reborn.configuration.ready)
            accounts = reborn.configuration.current().client_accounts
            assert [account.name for account in accounts] == ['a']
            fleet.store.set_outage(outage=False)
            changed = await fleet.store.create(
                'clientaccounts', 'b', declared({**ACCOUNT, 'name': 'b'})
            )
            version = int(changed.ok.version)
            await everywhere()

    anyio.run(scenario)


def test_news_stays_in_its_region_and_is_retracted():
    """News of a region reaches its members only; the owner takes it back."""

    async def scenario():
        async with make_fleet() as fleet:
            first = await fleet.start('e1')
            second = await fleet.start('e2')
            third = await fleet.start('e3', 'r2')
            first.news.publish(CHANNEL, 'k', b'7')
            await until(lambda: second.news.read(CHANNEL))
            item = second.news.read(CHANNEL)[0]
            assert (item.owner, item.body) == ('e1', b'7')
            first.news.publish(CHANNEL, 'k', b'')
            await until(lambda: not second.news.read(CHANNEL))
            await until(lambda: len(third.members.alive()) == 3)
            assert not third.news.read(CHANNEL)

    anyio.run(scenario)
