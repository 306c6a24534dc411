"""Operator commands against running daemons."""

import contextlib
import functools
import io
import json

import anyio

from redwingvalve.cli import main
from redwingvalve.core import clock, environment, exit_status
from redwingvalve.demo import platform, walkthrough
from redwingvalve.process import control, entry

Status = exit_status.ExitStatus


class Shell:
    """Runs commands in a worker thread, so that the event loop stays free."""

    def __init__(self, variables):
        self.variables = variables

    async def run(self, *arguments):
        surroundings = environment.Environment(
            stdout=io.StringIO(),
            stderr=io.StringIO(),
            stdin=io.StringIO(),
            variables=self.variables,
            clock=clock.make_system_clock(),
        )
        status = await anyio.to_thread.run_sync(
            functools.partial(main.main, arguments, surroundings)
        )
        return (
            status,
            surroundings.stdout.getvalue(),
            surroundings.stderr.getvalue(),
        )

    async def json(self, *arguments):
        status, printed, problem = await self.run(
            *arguments, '--output', 'json'
        )
        assert status == Status.SUCCESS, problem
        return json.loads(printed)


@contextlib.asynccontextmanager
async def running_fleet():
    async with platform.run_platform({'d-1': 5}) as test_platform:
        fleet = walkthrough.make_fleet_settings(test_platform)
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(entry.run_entry, fleet.entries[0], stop)
            group.start_soon(control.run_control, fleet.control, stop)
            yield test_platform, fleet
            stop.set()


async def wait_until(condition):
    with anyio.fail_after(60):
        while True:
            with contextlib.suppress(AssertionError):
                if await condition():
                    return
            await anyio.sleep(0.2)


def test_operator_commands(tmp_path):
    declaration = tmp_path / 'wanted.yaml'
    invalid_declaration = tmp_path / 'spoilt.yaml'
    invalid_declaration.write_text('operator: x\nreplicas: 3\n')

    async def scenario():
        async with running_fleet() as (test_platform, fleet):
            text = walkthrough.DECLARATION.read_text()
            text = text.replace(
                walkthrough.SERVICE_ADDRESS, test_platform.service_address
            )
            declaration.write_text(
                text.replace('replicas: 2', 'replicas: 1', 1)
            )
            shell = Shell(
                {
                    'REDWINGVALVE_API': 'http://'
                    + walkthrough.http_address(fleet.control)
                }
            )
            await bootstrap(shell, test_platform)
            await plan_and_confirm(shell)
            await check_listings(shell)
            await check_refusals(shell)

    async def bootstrap(shell, test_platform):
        command = (
            'token-bootstrap',
            '--object-api',
            test_platform.object_api_url,
        )
        who = ('--name', 'ana', '--team', 'depot')
        status, bearer, _ = await shell.run(*command, *who)
        assert status == Status.SUCCESS
        status, _, problem = await shell.run(*command, *who)
        assert (status, 'tokens already' in problem) == (Status.REFUSED, True)
        shell.variables['REDWINGVALVE_TOKEN'] = bearer.strip()

        async def all_vms_listed():
            domains = (await shell.json('status'))['domains']
            return sum(row['vms'] for row in domains) == 5

        await wait_until(all_vms_listed)

    async def plan_and_confirm(shell):
        status, _, problem = await shell.run('plan', str(invalid_declaration))
        assert status == Status.FINDINGS
        assert (
            f"{invalid_declaration}:2:1 (replicas): unknown field 'replicas'"
            in problem
        )
        status, printed, _ = await shell.run('plan', str(declaration))
        assert 'nothing happens until: redwingvalve confirm plan-' in printed
        discarded = printed.split()[1]
        assert (await shell.run('discard', discarded))[0] == Status.SUCCESS
        status, _, problem = await shell.run('confirm', discarded)
        assert status == Status.REFUSED
        assert 'was discarded by ana' in problem
        name = (await shell.json('plan', str(declaration)))['name']
        assert (await shell.run('confirm', name))[0] == Status.SUCCESS

        async def serving():
            rows = (await shell.json('status'))['deployments']
            return rows[0]['serving'] == 1

        await wait_until(serving)

    async def check_listings(shell):
        replica = (await shell.json('replicas'))['replicas'][0]
        assert len(replica['members']) == 4
        entries = (await shell.json('entries'))['entries']
        assert {row['name'] for row in entries} == {'entry-1', 'control-1'}
        domain = await shell.json('describe', 'fabricdomains', 'd-1')
        assert domain['body']['name'] == 'd-1'
        events = (await shell.json('events'))['events']
        assert 'serving' in {row['message'] for row in events}
        audits = (await shell.json('audits'))['audits']
        assert [audits[0][key] for key in ('who', 'action', 'result')] == [
            'ana',
            'confirm',
            'done',
        ]
        for command in ('status', 'replicas', 'entries', 'events', 'plans'):
            status, printed, _ = await shell.run(command)
            assert status == Status.SUCCESS
            assert printed

    async def check_refusals(shell):
        made = await shell.json('token-create', '--name', 'vera', '--team', 'x')
        listed = (await shell.json('tokens'))['tokens']
        assert {row['name'] for row in listed} == {'ana', 'vera'}
        viewer = Shell(
            {**shell.variables, 'REDWINGVALVE_TOKEN': made['bearer']}
        )

        async def token_is_known():
            return (await viewer.run('status'))[0] == Status.SUCCESS

        await wait_until(token_is_known)
        status, _, problem = await viewer.run('drain', 'vm', 'd-1-vm-0')
        assert status == Status.REFUSED
        assert "lacks the right 'drain'" in problem
        status, _, problem = await shell.run('drain', 'vm', 'no-such-vm')
        assert status == Status.REFUSED
        assert "no vm is named 'no-such-vm'" in problem
        unreachable = Shell({'REDWINGVALVE_API': 'http://127.0.0.1:9'})
        assert (await unreachable.run('status'))[0] == Status.UNREACHABLE

    anyio.run(scenario)
