"""Controllers paused beyond their lease while they form or repair replicas."""

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
ENGINE_CHECKS = 20
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
    """Two controllers and nine engines, each engine behind a fault proxy."""

    def __init__(self, children, trust):
        super().__init__(children)
        self.trust = trust
        self.store = http_object_api.make_http_object_api(self.store_url, 5.0)
        self.proxies = {}
        self.fencing_number = 0

    async def start_with_proxies(self, group):
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
        # No entries run here; the ninth engine uses a port reserved for them.
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
        demo_operator = operator.DemoOperator(self.api, bearer)
        await demo_operator.wait_until_reachable()
        await demo_operator.wait_until_listed(VMS)
        text = DECLARATION.format(trust=self.trust)
        plan = await demo_operator.plan(text, 'depot.yaml')
        await demo_operator.confirm(plan['name'])

    async def read_domain(self):
        """Read the domain and check its invariants."""
        answer = await self.store.get(domain_module.KIND, 'd-0')
        if answer.is_error():
            return None
        domain = domain_module.from_stored(answer.ok)
        domain_module.require_valid(domain)
        assert domain.fencing_number >= self.fencing_number
        self.fencing_number = domain.fencing_number
        return domain

    async def wait_for(self, condition):
        while True:
            domain = await self.read_domain()
            if domain is not None and condition(domain):
                return domain
            await anyio.sleep(0.05)

    def holder(self, domain):
        names = ('control-1', 'control-2')
        return next(n for n in names if domain.lease.holder.startswith(n))

    async def pause_until_lease_taken(self, domain):
        """Pause the lease holder until another controller takes the lease."""
        frozen = self.children.children[self.holder(domain)]
        frozen.pause()
        before = domain.fencing_number
        await self.wait_for(lambda now: now.fencing_number > before)
        frozen.resume()

    async def check_engines(self):
        """Compare the state of every engine with the replica it belongs to."""
        domain = await self.read_domain()
        for replica in domain.replicas:
            for member in replica.members:
                state = await test_whole_path.engine_state(
                    f'127.0.0.1:{self.engine_port(int(member[3:]))}'
                )
                assert (state['replica'], state['epoch']) == (
                    replica.name,
                    replica.epoch,
                ), member


def both_replicas_serving(domain):
    return [each.state for each in domain.replicas] == ['serving'] * 2


def has_forming_replica(domain):
    return any(each.state == 'forming' for each in domain.replicas)


@pytest.mark.slow
@pytest.mark.parametrize('trust', ['refuses-old-orders', 'ignores-fencing'])
def test_paused_controller_resumes_after_its_lease_was_taken(trust):
    """Two complete replicas serve in the end, and none ever has mixed members.

    The lease holder gets SIGSTOP while it forms replicas; its lease expires and
    the other controller takes over; after SIGCONT the first one still has its
    outdated orders to send. Then a VM is lost, and the new holder is paused in
    the same way during the repair. Each engine must match the domain object.
    """

    async def scenario(children):
        fleet = Fleet(children, trust)
        with anyio.fail_after(GUARD_S):
            async with anyio.create_task_group() as group:
                await fleet.start_with_proxies(group)
                await fleet.declare()
                await fleet.pause_until_lease_taken(
                    await fleet.wait_for(has_forming_replica)
                )
                served = await fleet.wait_for(both_replicas_serving)
                lost = served.replicas[0].members[1]
                children.children[lost].kill()
                await fleet.pause_until_lease_taken(
                    await fleet.wait_for(has_forming_replica)
                )
                await fleet.wait_for(both_replicas_serving)
                for _ in range(ENGINE_CHECKS):
                    await fleet.check_engines()
                    await anyio.sleep(0.1)
                group.cancel_scope.cancel()
        await fleet.store.aclose()

    with processes.make_processes() as children:
        anyio.run(scenario, children)
