"""Starts nodes as separate processes, beside stand-ins of the platform.

The store and the endpoints are the project's stand-ins and run in the process
of the script. Each node is started with the command of the deploy file. Every
address is a loopback address: a node gets an address of its own, as all nodes
serve their metrics at the same port.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import tomllib
import traceback

from redwingvalve.http1 import server
from redwingvalve.platform.standins import endpoint as endpoint_standin
from redwingvalve.platform.standins import store as store_standin
from redwingvalve.standins import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'caller.example'
KEY = 'key-of-the-workshop'
MODEL = 'small'
ENGINE_SERVICE = 'engine-service'
PLAIN_SERVICE = 'plain-service'
ZONE = 'hall-a'
START_TIMEOUT_S = 20.0
METRICS_PORT = 9464
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# As on the sheets of the small deployments.
BOUNDS = {
    'drain_ms': 2000,
    'config_apply_ms': 2000,
    'grace_s': 8,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_extra': 103,
    'ttl_max_s': 5,
    'stall_ms': 6000,
    'stable_window_ms': 3000,
}


def route(name, kind, service, **more):
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 6000,
        'goal_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'anonymous': False,
        **more,
    }


def configuration(**more):
    model = {
        'name': MODEL,
        'size': 2,
        'share': 1.0,
        'pace': 1.0,
        'load_s': 1.0,
        'warm_s': 0.1,
    }
    engine = {
        'slots': 9,
        'models': [model],
        'step_ms': 7.8,
        'per_seq_ms': 0.1,
        'read_per_s': 45900.0,
        'stride': 5,
        'loads_per_s': 5,
        'loads_at_once': 7,
        'form_ms': 30,
    }
    plain = {'health_path': '/health', 'max_conns': 48}
    return {
        'version': 1,
        'routes': [
            route(
                'recap',
                'stream',
                ENGINE_SERVICE,
                resumable=True,
                sticky=True,
                gap_goal_ms=300,
            ),
            route('bib', 'non_idempotent', PLAIN_SERVICE),
            route('ping', 'idempotent', PLAIN_SERVICE),
        ],
        'services': [
            {'name': PLAIN_SERVICE, **plain},
            {'name': ENGINE_SERVICE, 'engine': engine, **plain},
        ],
        'limits': {
            'header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'workshop', 'api_keys': [KEY], 'priority': 0}],
        **more,
    }


class Record:
    """The lines of record.txt, each with the time since the start."""

    def __init__(self, path):
        self._file = path.open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    def note(self, text):
        elapsed_s = time.monotonic() - self._started_s
        line = f'{elapsed_s:8.3f} s  {text}'
        self._file.write(f'{line}\n')
        self._file.flush()
        print(line, flush=True)


class Answer:
    """What a client received; ending is 'whole' or why it isn't."""

    def __init__(self, status, headers, body, ending):
        self.status = status
        self.headers = headers
        self.body = body
        self.ending = ending


class Client:
    """A client of its own making, with one connection."""

    def __init__(self, address):
        self._address = address
        self._streams = None

    async def ask(self, path, *, headers=(), body=b'', timeout_s=8.0):
        """Return the answer to one request; a new connection if needed."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._ask(path, headers, body)
        except TimeoutError:
            self.close()
            return Answer(0, {}, b'', 'no answer')
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return Answer(0, {}, b'', type(error).__name__)

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def _ask(self, path, headers, body):
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        writer.write(render(path, headers, body))
        await writer.drain()
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        status = int(lines[0].split()[1])
        found = {
            name.lower(): text.strip()
            for name, _, text in (line.partition(':') for line in lines[1:])
            if name
        }
        content = await _read_body(reader, found)
        if found.get('connection') == 'close':
            self.close()
        return Answer(status, found, content, 'whole')


def render(path, headers, body=b''):
    lines = [f'POST {path} HTTP/1.1', f'Host: {HOST}', f'Api-Key: {KEY}']
    lines.extend(f'{name}: {text}' for name, text in headers)
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def _read_body(reader, headers):
    if 'chunked' not in headers.get('transfer-encoding', ''):
        return await reader.readexactly(int(headers.get('content-length', 0)))
    content = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        content += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return content


class Node:
    """One process, and where it listens."""

    def __init__(self, name, ip, settings, folder):
        self.name = name
        self.ip = ip
        self.front = _address(settings['listen']['front'])
        self.log = folder / f'{name}.log'
        self._settings = folder / f'{name}.json'
        self._settings.write_text(json.dumps(settings))
        self.process = None

    async def start(self):
        with (ROOT / 'deploy/system.toml').open('rb') as deploy:
            command = tomllib.load(deploy)['roles']['node']['run'].split()
        if command[0] == 'python3':
            command[0] = sys.executable
        environment = {
            **os.environ,
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'REDWINGVALVE_BOOT': str(self._settings),
        }
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            lines = status.read_text().splitlines()
        except OSError:
            return 0.0
        found = [line for line in lines if line.startswith('VmRSS:')]
        return int(found[0].split()[1]) / 1024 if found else 0.0


def _address(text):
    host, _, port = text.rpartition(':')
    return host, int(port)


class Fleet:
    """The stand-ins, the nodes, and what the endpoints ran."""

    def __init__(self, record, folder):
        self.record = record
        self.store = store_standin.FakeStore()
        self.endpoints = {}
        self.nodes = []
        self._folder = folder
        self._store_address = ''
        self._server = None

    async def start_store(self, version):
        loop = asyncio.get_running_loop()
        port = ports.free_ports(1)[0]
        self._server = await loop.create_server(
            lambda: server.ServerConnection(self.store), ports.HOST, port
        )
        self._store_address = f'{ports.HOST}:{port}'
        self.store.put('config', 'main', version)

    async def add_endpoint(self, name, service, domain=''):
        found = endpoint_standin.FakeEndpoint(
            self.store, name, service, domain, ZONE
        )
        await found.start()
        self.endpoints[name] = found

    async def add_node(self, name, memory_mb=300, descriptors=4200):
        ip = '127.{}.{}.{}'.format(*(random.randint(1, 250) for _ in range(3)))
        free = ports.free_ports(4)
        settings = {
            'node': name,
            'role': 'node',
            'machine_class': 'front',
            'serves': ['front', 'directory'],
            'ip': ip,
            'zone': ZONE,
            'region': 'tx-central',
            'zones': {ZONE: 'tx-central'},
            'listen': {
                'front': f'{ip}:{free[0]}',
                'ready': f'{ip}:{free[1]}',
                'directory': f'{ip}:{free[2]}',
            },
            'internal_ports': [free[3], free[3]],
            'bootstrap': True,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': memory_mb,
                'max_fds': descriptors,
                'link_mbps': 1000.0,
            },
            'heartbeat_ms': 1200,
            'bounds': BOUNDS,
            'platform': {'address': self._store_address},
        }
        node = Node(name, ip, settings, self._folder)
        self.nodes.append(node)
        await node.start()
        return node

    async def wait_until_serving(self, node, path='/ping/1', headers=()):
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            client = Client(node.front)
            asked = [
                ('X-Attempt-Id', f'start-{random.random()}'),
                ('X-Deadline-Ms', '2000'),
                *headers,
            ]
            answer = await client.ask(path, headers=asked, timeout_s=3)
            client.close()
            if answer.status == 200:
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f'{node.name} does not serve {path}')

    def stop(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)


def run(case, folder):
    """Run a case; it returns whether the rule held. Ends the process."""
    record = Record(folder / 'record.txt')
    status = NOT_RUN
    try:
        status = asyncio.run(_run(case, record))
    finally:
        if status == NOT_RUN:
            traceback.print_exc()
        record.note(f'exit status {status}')
        sys.exit(status)


async def _run(case, record):
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    with contextlib.ExitStack() as stack:
        temporary = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(record, pathlib.Path(temporary))
        stack.callback(fleet.stop)
        is_held = await case(fleet, has_trouble)
        for node in fleet.nodes:
            node.signal(signal.SIGKILL)
            await node.process.wait()
    return HELD if is_held else BROKEN
