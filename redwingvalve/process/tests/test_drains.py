"""Operators take a VM or an entry out while callers are served."""

import anyio
import httpx

from redwingvalve.demo import caller, operator, platform, story
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
            fleet = story.make_fleet(small)
            bearer = await operator.issue_first_token(small.store)
            stop = anyio.Event()
            async with anyio.create_task_group() as group:
                for settings in fleet.entries:
                    group.start_soon(entry.run_entry, settings, stop)
                group.start_soon(control.run_control, fleet.control, stop)
                await check(
                    fleet,
                    operator.DemoOperator(
                        story.http_address(fleet.control), bearer
                    ),
                    small,
                )
                stop.set()

    async def check(fleet, acting, small):
        await acting.wait_until_reachable()
        await acting.wait_until_listed(9)
        text = story.DECLARATION.read_text().replace(
            story.UNSET_ADDRESS, small.service_address
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
        entries = tuple(story.http_address(each) for each in fleet.entries)
        calling = caller.DemoCaller(entries, story.CREDENTIAL)
        await acting.drain('entry', 'entry-1')

        async def entry_is_not_named():
            async with httpx.AsyncClient() as client:
                url = f'http://{entries[1]}/v1/entries'
                named = (await client.get(url)).json()['entries']
            return {each['address'] for each in named} == {entries[1]}

        await until(entry_is_not_named)
        calling.entry_address = lambda: first(entries)
        kept = await calling.stream_chat('quotes', story.PROMPT, 5)
        assert (kept.whole, kept.entry) == (True, entries[0])

    async def first(entries):
        return entries[0]

    anyio.run(scenario)
