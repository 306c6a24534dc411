"""A controller that is frozen past its lease while it forms or heals."""

import json

import anyio
import pytest

from redwingvalve.demo import operator
from redwingvalve.platform_api import http_object_api
from redwingvalve.replicas import domain as domain_module
from redwingvalve.standins import vm_list
from tests.integration import fault_proxy, processes, test_whole_path

VMS = 9
GUARD_S = 150
LOOKS = 20
LINK_DELAY_S = 0.05
DECLARATION = """
operator: depot
deployments:
  - name: quotes
    model: quote-writer
    version: "1"
    replicas: 2
    vms_per_replica: 4
    load_time_s: 3.0
    endpoint_trust: {trust}
"""


class Fleet(test_whole_path.Fleet):
    """Two controllers and nine engines, each engine behind a proxy."""

    def __init__(self, children, trust):
        super().__init__(children)
        self.trust = trust
        self.store = http_object_api.make_http_object_api(self.store_url, 5.0)
        self.proxies = {}
        self.fencing_number = 0

    async def begin(self, group):
        for number in range(VMS):
            self._start_engine(number)
            name = f'vm-{number}'
            target = f'127.0.0.1:{self.engine_port(number)}'
            self.proxies[name] = fault_proxy.FaultProxy(target, group)
            self.proxies[name].faults.delay_s = LINK_DELAY_S
            await self.proxies[name].start()
        rows = [
            vm_list.make_vm_row(name, proxy.address, 'nave-a', 'd-0', 'mvd')
            for name, proxy in self.proxies.items()
        ]
        vms_file = f'{self.children.directory}/vms.json'
        async with await anyio.open_file(vms_file, 'w') as opened:
            await opened.write(json.dumps({'vms': rows}))
        self._standin('object-api', 0)
        self._standin('vm-list', 1, '--vms-file', vms_file)
        self._standin('weight-store', 2)
        self._daemon('control', 'control-2', 3)
        self._daemon('control', 'control-1', 7)

    def engine_port(self, number):
        # Neither entry runs here; the ninth engine takes a port of theirs.
        return [*self.ports[9:], self.ports[5]][number]

    def _start_engine(self, number):
        ignores = self.trust == 'ignores-fencing'
        self.children.start(
            f'vm-{number}',
            'redwingvalve.standins',
            'engine',
            '--port',
            str(self.engine_port(number)),
            '--vm',
            f'vm-{number}',
            '--load-time-s',
            '3',
            *(['--ignore-fencing'] if ignores else []),
        )

    async def declare(self):
        await test_whole_path.wait_for_platform(self)
        bearer = await operator.issue_first_token(self.store)
        acting = operator.DemoOperator(self.api, bearer)
        await acting.wait_until_reachable()
        await acting.wait_until_listed(VMS)
        text = DECLARATION.format(trust=self.trust)
        plan = await acting.plan(text, 'depot.yaml')
        await acting.confirm(plan['name'])

    async def look(self):
        """Read the domain and check what must hold at any time."""
        answer = await self.store.get(domain_module.KIND, 'd-0')
        if answer.is_error():
            return None
        domain = domain_module.from_stored(answer.ok)
        domain_module.require_valid(domain)
        assert domain.fencing_number >= self.fencing_number
        self.fencing_number = domain.fencing_number
        return domain

    async def until(self, holds):
        while True:
            domain = await self.look()
            if domain is not None and holds(domain):
                return domain
            await anyio.sleep(0.05)

    def holder(self, domain):
        names = ('control-1', 'control-2')
        return next(n for n in names if domain.lease.holder.startswith(n))

    async def outlive(self, domain):
        """Freeze the holder until another one has taken its lease."""
        frozen = self.children.children[self.holder(domain)]
        frozen.pause()
        before = domain.fencing_number
        await self.until(lambda now: now.fencing_number > before)
        frozen.resume()

    async def engines_obey(self):
        """Compare every engine of a serving replica with its replica."""
        domain = await self.look()
        for replica in domain.replicas:
            for member in replica.members:
                state = await test_whole_path.engine_state(
                    f'127.0.0.1:{self.engine_port(int(member[3:]))}'
                )
                assert (state['replica'], state['epoch']) == (
                    replica.name,
                    replica.epoch,
                ), member


def both_serve(domain):
    return [each.state for each in domain.replicas] == ['serving'] * 2


def forms(domain):
    return any(each.state == 'forming' for each in domain.replicas)


@pytest.mark.slow
@pytest.mark.parametrize('trust', ['refuses-old-orders', 'ignores-fencing'])
def test_a_frozen_controller_wakes_to_another_holder(trust):
    """Callers find two whole replicas in the end, and never a mixed one.

    The holder of the lease gets SIGSTOP while it forms replicas; its lease
    lapses, the other one takes over and goes on; SIGCONT wakes it with its old
    orders in hand. Then a VM is lost and the new holder is frozen likewise
    while it heals. Each engine must stay as the domain object says.
    """

    async def scenario(children):
        fleet = Fleet(children, trust)
        with anyio.fail_after(GUARD_S):
            async with anyio.create_task_group() as group:
                await fleet.begin(group)
                await fleet.declare()
                await fleet.outlive(await fleet.until(forms))
                served = await fleet.until(both_serve)
                lost = served.replicas[0].members[1]
                children.children[lost].kill()
                await fleet.outlive(await fleet.until(forms))
                await fleet.until(both_serve)
                for _ in range(LOOKS):
                    await fleet.engines_obey()
                    await anyio.sleep(0.1)
                group.cancel_scope.cancel()
        await fleet.store.aclose()

    with processes.make_processes() as children:
        anyio.run(scenario, children)
