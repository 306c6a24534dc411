"""End-to-end tests with every role as a separate process on the loopback."""

import hashlib
import json

import anyio
import httpx
import pytest

from redwingvalve.demo import completion_client, operator
from redwingvalve.platform_api import http_object_api
from redwingvalve.standins import ports, vm_list
from tests.integration import processes

DECLARATION = """
operator: depot
deployments:
  - name: quotes
    model: quote-writer
    version: "1"
    replicas: 2
    vms_per_replica: 4
    load_time_s: 1.0
client_accounts:
  - name: depot
    credential_sha256: {digest}
    priority: 5
    deployments: [quotes]
""".format(digest=hashlib.sha256(b'secret').hexdigest())
VMS = 8
MAX_TOKENS = 60


class Fleet:
    """Stand-ins, two entries and a controller, addressed by port."""

    def __init__(self, children):
        self.children = children
        self.ports = ports.free_ports(9 + VMS)
        self.store_url = self.url(0)
        self.entries = (self.address(3), self.address(5))
        self.api = self.address(7)

    def address(self, index):
        return f'127.0.0.1:{self.ports[index]}'

    def url(self, index):
        return f'http://{self.address(index)}'

    def start(self):
        engine_ports = self.ports[9:]
        rows = [
            vm_list.make_vm_row(
                f'vm-{n}', f'127.0.0.1:{port}', 'nave-a', f'd-{n // 4}', 'mvd'
            )
            for n, port in enumerate(engine_ports)
        ]
        vms_file = f'{self.children.directory}/vms.json'
        with open(vms_file, 'w', encoding='utf-8') as opened:
            json.dump({'vms': rows}, opened)
        self._standin('object-api', 0)
        self._standin('vm-list', 1, '--vms-file', vms_file)
        self._standin('weight-store', 2)
        for number, port in enumerate(engine_ports):
            self.children.start(
                f'vm-{number}',
                'redwingvalve.standins',
                'engine',
                '--port',
                str(port),
                '--vm',
                f'vm-{number}',
                '--step-s',
                '0.05',
            )
        self._daemon('entry', 'entry-1', 3)
        self._daemon('entry', 'entry-2', 5)
        self._daemon('control', 'control-1', 7)

    def _standin(self, kind, index, *more):
        port = str(self.ports[index])
        self.children.start(
            kind, 'redwingvalve.standins', kind, '--port', port, *more
        )

    def settings(self, name, index):
        """Return the settings of a daemon."""
        return {
            'node': {'name': name, 'data_centre': 'nave-a', 'region': 'mvd'},
            'listen': {
                'http_port': self.ports[index],
                'peer_port': self.ports[index + 1],
            },
            'platform': {
                'object_api_url': self.store_url,
                'vm_list_url': self.url(1),
                'weight_store_url': self.url(2),
            },
            'peers': {'contacts': [self.address(4)]},
            'requests': {'discovery_keep_s': 1.0},
        }

    def _daemon(self, role, name, index):
        settings = self.children.write_yaml(name, self.settings(name, index))
        self.children.start(name, 'redwingvalve', role, settings)


async def wait_for_platform(fleet):
    async with httpx.AsyncClient() as client:
        kind = f'{http_object_api.GROUP_PATH}/tokens'
        await processes.wait_responding(client, f'{fleet.store_url}{kind}')
        await processes.wait_responding(client, f'http://{fleet.api}/healthz')


async def engine_state(address):
    async with httpx.AsyncClient() as client:
        return (await client.get(f'http://{address}/state')).json()


async def confirm_plan(fleet):
    await wait_for_platform(fleet)
    store = http_object_api.make_http_object_api(fleet.store_url, 5.0)
    bearer = await operator.issue_first_token(store)
    await store.aclose()
    demo_operator = operator.DemoOperator(fleet.api, bearer)
    await demo_operator.wait_until_reachable()
    await demo_operator.wait_until_listed(VMS)
    plan = await demo_operator.plan(DECLARATION, 'depot.yaml')
    await demo_operator.confirm(plan['name'])
    await demo_operator.wait_until_serving('quotes', 2)


async def wait_until_stream_complete(client):
    with anyio.fail_after(30):
        while True:
            streamed = await client.stream_chat('quotes', 'x', 3)
            if streamed.whole:
                return
            await anyio.sleep(0.1)


@pytest.mark.slow
def test_stream_completes_while_its_entry_stops_gracefully():
    """The caller gets all 60 tokens and the end although its entry is stopped.

    The stream has started when its entry receives SIGTERM; the entry is no
    longer announced to callers, finishes the stream and exits with status 0.
    """

    async def scenario(children):
        fleet = Fleet(children)
        fleet.start()
        await confirm_plan(fleet)
        leaving = completion_client.DemoClient((fleet.entries[0],), 'secret')
        leaving.entry_address = lambda: _always(fleet.entries[0])
        staying = completion_client.DemoClient((fleet.entries[1],), 'secret')
        await wait_until_stream_complete(leaving)
        await wait_until_stream_complete(staying)
        received = []

        async def stream():
            received.append(
                await leaving.stream_chat('quotes', 'a long one', MAX_TOKENS)
            )

        async with anyio.create_task_group() as group:
            group.start_soon(stream)
            await anyio.sleep(0.5)
            children.children['entry-1'].stop()
            with anyio.fail_after(30):
                while await staying.entry_address() != fleet.entries[1]:
                    await anyio.sleep(0.05)
        assert received[0].whole
        assert received[0].chunks == MAX_TOKENS
        assert received[0].entry == fleet.entries[0]
        stopped = children.children['entry-1']
        assert await stopped.wait() == 0, stopped.read_log()
        again = await staying.stream_chat('quotes', 'another', 3)
        assert again.whole

    async def _always(address):
        return address

    with processes.make_processes() as children:
        anyio.run(scenario, children)
