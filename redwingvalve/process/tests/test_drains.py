"""Draining a VM or an entry while callers are served."""

import anyio
import httpx

from redwingvalve.demo import completion_client, operator, platform, walkthrough
from redwingvalve.process import control, entry


async def wait_until(condition):
    with anyio.fail_after(60):
        while not await condition():
            await anyio.sleep(0.05)


def test_a_drained_vm_and_a_drained_entry_get_no_new_work():
    """Callers are still answered; a drained VM and entry get no new work.

    A VM of a serving replica is drained: the replica is formed again on other
    VMs, without it. Then an entry is drained: discovery no longer names it to
    callers, but it still answers those who kept its address.
    """

    async def scenario():
        async with platform.run_platform({'d-1': 5, 'd-2': 4}) as fake_platform:
            fleet = walkthrough.make_fleet_settings(fake_platform)
            bearer = await operator.issue_first_token(fake_platform.store)
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
                    fake_platform,
                )
                stop.set()

    async def check(fleet, demo_operator, fake_platform):
        await demo_operator.wait_until_reachable()
        await demo_operator.wait_until_listed(9)
        text = walkthrough.DECLARATION.read_text().replace(
            walkthrough.SERVICE_ADDRESS, fake_platform.service_address
        )
        plan = await demo_operator.plan(text, 'demo.yaml')
        await demo_operator.confirm(plan['name'])
        await demo_operator.wait_until_serving('quotes', 2)
        rows = (await demo_operator.replicas())['replicas']
        drained = next(
            row['members'][1] for row in rows if row['fabric_domain'] == 'd-1'
        )
        await demo_operator.drain('vm', drained)

        async def vm_is_out_of_use():
            replicas = (await demo_operator.replicas())['replicas']
            serving = [row for row in replicas if row['state'] == 'serving']
            members = {name for row in replicas for name in row['members']}
            return len(serving) == 2 and drained not in members

        await wait_until(vm_is_out_of_use)
        entries = tuple(
            walkthrough.http_address(entry_settings)
            for entry_settings in fleet.entries
        )
        demo_client = completion_client.DemoClient(
            entries, walkthrough.CREDENTIAL
        )
        await demo_operator.drain('entry', 'entry-1')

        async def entry_is_not_named():
            async with httpx.AsyncClient() as client:
                url = f'http://{entries[1]}/v1/entries'
                listed = (await client.get(url)).json()['entries']
            return {row['address'] for row in listed} == {entries[1]}

        await wait_until(entry_is_not_named)
        demo_client.entry_address = lambda: first(entries)
        answer = await demo_client.stream_chat('quotes', walkthrough.PROMPT, 5)
        assert (answer.whole, answer.entry) == (True, entries[0])

    async def first(entries):
        return entries[0]

    anyio.run(scenario)


def test_a_vm_that_leaves_while_the_store_is_silent_gets_no_new_work():
    """Callers are still answered, none of them by the leaving VM's replica.

    The store becomes unavailable, then the platform's list shows a VM as
    leaving. The drain cannot be stored; controllers publish it as news.
    """

    async def scenario():
        async with platform.run_platform({'d-1': 4, 'd-2': 4}) as fake_platform:
            fleet = walkthrough.make_fleet_settings(fake_platform)
            bearer = await operator.issue_first_token(fake_platform.store)
            stop = anyio.Event()
            async with anyio.create_task_group() as group:
                for settings in fleet.entries:
                    group.start_soon(entry.run_entry, settings, stop)
                group.start_soon(control.run_control, fleet.control, stop)
                await serve(fleet, fake_platform, bearer)
                await stop_store_and_mark_vm_leaving(fleet, fake_platform)
                stop.set()

    async def serve(fleet, fake_platform, bearer):
        demo_operator = operator.DemoOperator(
            walkthrough.http_address(fleet.control), bearer
        )
        await demo_operator.wait_until_reachable()
        await demo_operator.wait_until_listed(8)
        text = walkthrough.DECLARATION.read_text().replace(
            walkthrough.SERVICE_ADDRESS, fake_platform.service_address
        )
        await demo_operator.confirm(
            (await demo_operator.plan(text, 'demo.yaml'))['name']
        )
        await demo_operator.wait_until_serving('quotes', 2)

    async def stop_store_and_mark_vm_leaving(fleet, fake_platform):
        entries = tuple(
            walkthrough.http_address(entry_settings)
            for entry_settings in fleet.entries
        )
        demo_client = completion_client.DemoClient(
            entries, walkthrough.CREDENTIAL
        )

        async def run_streams():
            """Run 12 streams; return the domains used and the whole answers."""
            runs_before = count_runs(fake_platform)
            whole = 0
            for number in range(12):
                answer = await demo_client.stream_chat('quotes', f'{number}', 2)
                whole += answer.whole
            busy_heads = {
                name
                for name, count in count_runs(fake_platform).items()
                if count > runs_before[name]
            }
            return {name[:3] for name in busy_heads}, whole

        async def both_domains_are_used():
            return await run_streams() == ({'d-1', 'd-2'}, 12)

        async def only_one_domain_is_used():
            return await run_streams() == ({'d-2'}, 12)

        await wait_until(both_domains_are_used)
        fake_platform.store.set_outage(outage=True)
        fake_platform.vms.set_state('d-1-vm-2', 'leaving')
        await wait_until(only_one_domain_is_used)
        assert await only_one_domain_is_used()

    def count_runs(fake_platform):
        return {
            name: len(engine.ledger.entries)
            for name, engine in fake_platform.engines.engines.items()
        }

    anyio.run(scenario)
