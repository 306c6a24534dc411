"""Operators take a VM or an entry out while callers are served."""

import anyio
import httpx

from redwingvalve.demo import completion_client, operator, platform, walkthrough
from redwingvalve.process import control, entry


async def until(question):
    with anyio.fail_after(60):
        while not await question():
            await anyio.sleep(0.05)


def test_a_drained_vm_and_a_drained_entry_get_no_new_work():
    """The caller goes on being answered; the drained ones get nothing new.

    A VM of a serving replica is drained: the replica is formed again on other
    VMs without it. Then an entry is drained: it is no longer named to callers,
    and still answers those who kept its address.
    """

    async def scenario():
        async with platform.run_platform({'d-1': 5, 'd-2': 4}) as small:
            fleet = walkthrough.make_fleet_settings(small)
            bearer = await operator.issue_first_token(small.store)
            stop = anyio.Event()
            async with anyio.create_task_group() as group:
                for settings in fleet.entries:
                    group.start_soon(entry.run_entry, settings, stop)
                group.start_soon(control.run_control, fleet.control, stop)
                await check(
                    fleet,
                    operator.DemoOperator(
                        walkthrough.http_address(fleet.control), bearer
                    ),
                    small,
                )
                stop.set()

    async def check(fleet, acting, small):
        await acting.wait_until_reachable()
        await acting.wait_until_listed(9)
        text = walkthrough.DECLARATION.read_text().replace(
            walkthrough.SERVICE_ADDRESS, small.service_address
        )
        plan = await acting.plan(text, 'demo.yaml')
        await acting.confirm(plan['name'])
        await acting.wait_until_serving('quotes', 2)
        rows = (await acting.replicas())['replicas']
        drained = next(
            row['members'][1] for row in rows if row['fabric_domain'] == 'd-1'
        )
        await acting.drain('vm', drained)

        async def vm_is_out():
            found = (await acting.replicas())['replicas']
            serving = [row for row in found if row['state'] == 'serving']
            members = {name for row in found for name in row['members']}
            return len(serving) == 2 and drained not in members

        await until(vm_is_out)
        entries = tuple(
            walkthrough.http_address(each) for each in fleet.entries
        )
        calling = completion_client.DemoClient(entries, walkthrough.CREDENTIAL)
        await acting.drain('entry', 'entry-1')

        async def entry_is_not_named():
            async with httpx.AsyncClient() as client:
                url = f'http://{entries[1]}/v1/entries'
                named = (await client.get(url)).json()['entries']
            return {each['address'] for each in named} == {entries[1]}

        await until(entry_is_not_named)
        calling.entry_address = lambda: first(entries)
        kept = await calling.stream_chat('quotes', walkthrough.PROMPT, 5)
        assert (kept.whole, kept.entry) == (True, entries[0])

    async def first(entries):
        return entries[0]

    anyio.run(scenario)


def test_a_vm_that_leaves_while_the_store_is_silent_gets_no_new_work():
    """Callers go on being answered, none of them by the leaving VM's replica.

    The store goes away, then the platform's list shows a VM as leaving. The
    drain cannot be written down; controllers tell the entries by news.
    """

    async def scenario():
        async with platform.run_platform({'d-1': 4, 'd-2': 4}) as small:
            fleet = walkthrough.make_fleet_settings(small)
            bearer = await operator.issue_first_token(small.store)
            stop = anyio.Event()
            async with anyio.create_task_group() as group:
                for settings in fleet.entries:
                    group.start_soon(entry.run_entry, settings, stop)
                group.start_soon(control.run_control, fleet.control, stop)
                await serve(fleet, small, bearer)
                await lose_store_and_vm(fleet, small)
                stop.set()

    async def serve(fleet, small, bearer):
        acting = operator.DemoOperator(
            walkthrough.http_address(fleet.control), bearer
        )
        await acting.wait_until_reachable()
        await acting.wait_until_listed(8)
        text = walkthrough.DECLARATION.read_text().replace(
            walkthrough.SERVICE_ADDRESS, small.service_address
        )
        await acting.confirm((await acting.plan(text, 'demo.yaml'))['name'])
        await acting.wait_until_serving('quotes', 2)

    async def lose_store_and_vm(fleet, small):
        entries = tuple(
            walkthrough.http_address(each) for each in fleet.entries
        )
        calling = completion_client.DemoClient(entries, walkthrough.CREDENTIAL)

        async def used():
            """Return the domains whose heads ran one of twelve streams."""
            before = runs(small)
            whole = 0
            for number in range(12):
                got = await calling.stream_chat('quotes', f'{number}', 2)
                whole += got.whole
            ran = {
                name
                for name, count in runs(small).items()
                if count > before[name]
            }
            return {name[:3] for name in ran}, whole

        async def both_are_used():
            return await used() == ({'d-1', 'd-2'}, 12)

        async def only_one_is_used():
            return await used() == ({'d-2'}, 12)

        await until(both_are_used)
        small.store.set_outage(outage=True)
        small.vms.set_state('d-1-vm-2', 'leaving')
        await until(only_one_is_used)
        assert await only_one_is_used()

    def runs(small):
        return {
            name: len(engine.ledger.entries)
            for name, engine in small.engines.engines.items()
        }

    anyio.run(scenario)
