"""Joining over the network when contacts or the directory don't answer."""

import random

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.membership import bounds, members, node, peers, table
from redwingvalve.standins import ports

BOUNDS = attrs.evolve(
    bounds.DEFAULT_BOUNDS, reconnect_interval_s=0.2, settle_s=0.2
)


def make_member(name, port):
    return members.Member(name, 1, 'entry', '127.0.0.1', port, 2, 'a', 'r1')


def test_contacts_that_are_gone_do_not_keep_a_process_from_one_that_lives():
    """Each contact is asked once before any is asked again.

    A process and the rest of the fleet would stay unknown to each other for as
    long as chance picks the dead ones.
    """
    contacts = tuple(('127.0.0.1', port) for port in range(100, 110))
    for seed in range(10):
        selector = peers.PeerSelector(
            table.make_member_table(make_member('a', 1), 0.0),
            contacts,
            random.Random(seed),
        )
        asked = [selector.unknown_contact() for _ in contacts]
        assert sorted(asked) == list(contacts)


async def start(name, port, contacts=()):
    return await node.start_peer_node(
        make_member(name, port),
        clock.make_system_clock(),
        contacts,
        bounds=BOUNDS,
    )


def test_a_process_whose_contact_is_down_at_first_joins_later():
    """It isn't informed before, so it takes over no name by mistake."""

    async def main():
        port, contact_port = ports.free_ports(2)
        joining = await start('b', port, (f'127.0.0.1:{contact_port}',))
        async with anyio.create_task_group() as group:
            group.start_soon(joining.run)
            await anyio.sleep(0.5)
            assert not joining.members.table.own.is_informed
            first = await start('a', contact_port)
            group.start_soon(first.run)
            with anyio.fail_after(5):
                while not joining.members.table.own.is_informed:
                    await anyio.sleep(0.05)
            assert {one.name for one in first.members.known()} == {'a', 'b'}
            group.cancel_scope.cancel()
        await joining.aclose()
        await first.aclose()

    anyio.run(main)


def test_a_process_that_could_not_read_the_directory_is_not_the_first():
    """It has no contacts yet, but others may run, one with its name too."""

    async def main():
        process = await start('a', ports.free_ports(1)[0])
        await process.members.join(may_be_first=False)
        assert not process.members.table.own.is_informed
        await process.members.join()
        assert process.members.table.own.is_informed
        await process.aclose()

    anyio.run(main)
