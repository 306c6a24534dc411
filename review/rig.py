"""Stand-ins for the review's scripts: store, replicas, clients, platform.

They follow the users' pages and use nothing of the project but its program,
which is started with the command of the deploy file. All addresses are
loopback addresses; each machine has one of its own, with the same ports.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
PREFIX = '/redwingvalve/objects/'
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
GRACE_S = 8.0
RESTART_DELAY_S = 0.5
COULD_NOT_RUN = 2
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': GRACE_S,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'stretch_max_ms': 5000,
    'strict_revoke': False,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_extra': 105,
    'recover_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'stall_ms': 6000,
    'require_fence': False,
    'ceiling_window_s': 5,
    'ceiling_factor': 1.1,
    'ttl_max_s': 5,
}
STARTED_S = time.monotonic()


def now_s():
    """Return the seconds since the script has started."""
    return time.monotonic() - STARTED_S


class Record:
    """Writes what happens to record.txt beside the script."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')

    def add(self, text):
        self._file.write(f'{now_s():8.3f} {text}\n')
        self._file.flush()


class Ended(Exception):
    """The connection ended; the argument says how: 'closed' or 'reset'."""


class Message:
    """A request or an answer that has been read."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers
        self.body = b''

    def get(self, name, default=''):
        return self.headers.get(name, default)


async def _guard(reading):
    try:
        return await reading
    except asyncio.IncompleteReadError as error:
        raise Ended('closed') from error
    except OSError as error:
        raise Ended('reset') from error


async def read_head(reader):
    """Return the next head on a connection; raises Ended."""
    raw = await _guard(reader.readuntil(b'\r\n\r\n'))
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers.setdefault(name.strip().lower(), text.strip())
    return Message(lines[0], headers)


async def read_body(message, reader, on_chunk=None):
    """Read the body of a message; on_chunk is called with each part."""

    def add(chunk):
        message.body += chunk
        if on_chunk is not None and chunk:
            on_chunk(chunk)

    if message.get('transfer-encoding') == 'chunked':
        while True:
            line = await _guard(reader.readuntil(b'\r\n'))
            size = int(line.split(b';')[0], 16)
            data = await _guard(reader.readexactly(size + 2))
            add(data[:-2])
            if not size:
                return
    add(await _guard(reader.readexactly(int(message.get('content-length', 0)))))


def render(start, headers, body=b''):
    """Return a message as bytes, with a length."""
    lines = [start, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Server:
    """An HTTP server; subclasses answer one request at a time."""

    def __init__(self):
        self.writers = set()
        self._server = None

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self):
        if self._server is not None:
            self._server.close()

    async def answer(self, message, reader, writer):
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(Ended, OSError):
            while True:
                message = await read_head(reader)
                await read_body(message, reader)
                if not await self.answer(message, reader, writer):
                    break
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


class Store(Server):
    """The platform's store, in memory."""

    def __init__(self):
        super().__init__()
        self.objects = {}
        self.revision = 100
        # Bytes that stand in pages in place of these texts.
        self._raw = {}
        self._events = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object, as operators and replicas do."""
        self.revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': self.revision,
                'finalizers': [],
                'deletion_pending': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._publish(kind, stored, False)
        return stored

    def put_raw(self, kind, name, spec):
        """Write an object whose spec is these bytes, as they are."""
        marker = f'raw-{len(self._raw)}'
        self._raw[json.dumps(marker).encode()] = spec
        self.put(kind, name, marker)

    def remove(self, kind, name):
        """Remove an object if it exists."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._publish(kind, stored, True)

    async def answer(self, message, reader, writer):
        method, target, _ = message.start.split(' ')
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        kind, _, name = path.removeprefix(PREFIX).partition('/')
        kind, name = urllib.parse.unquote(kind), urllib.parse.unquote(name)
        if method != 'GET':
            body = json.loads(message.body) if message.body else {}
            status, found = self._write(method, kind, name, body)
        elif 'watch' in query:
            status, found = await self._watch(kind, query)
        elif name:
            found = self.objects.get(kind, {}).get(name)
            status = 200 if found else 404
        else:
            status, found = 200, self._list(kind)
        text = json.dumps(found or {}).encode()
        for marker, spec in self._raw.items():
            text = text.replace(marker, spec)
        json_type = [('Content-Type', 'application/json')]
        writer.write(render(f'HTTP/1.1 {status} x', json_type, text))
        return True

    def _list(self, kind):
        items = list(self.objects.get(kind, {}).values())
        return {
            'items': items,
            'has_more': False,
            'store_revision': self.revision,
        }

    def _write(self, method, kind, name, body):
        metadata = body.get('metadata') or {}
        name = name or metadata.get('name')
        stored = self.objects.get(kind, {}).get(name)
        if method == 'POST':
            if stored:
                return 409, stored
            return 201, self.put(kind, name, body['spec'])
        if stored is None:
            return 404, {}
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, {}
        current = stored['metadata']['revision']
        if metadata.get('revision', current) != current:
            return 409, stored
        return 200, self.put(kind, name, body['spec'])

    async def _watch(self, kind, query):
        since = int(query['watch'])
        until_s = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            found = [
                event
                for revision, of_kind, event in self._events
                if of_kind == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                page = {'events': found, 'store_revision': self.revision}
                return 200, page
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _publish(self, kind, stored, deleted):
        event = {'object': stored, 'deleted': deleted}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()


class Replica(Server):
    """A replica: its entry, its orders, its report, and its requests."""

    def __init__(self, store, record, service, zone, domain='', slots=9):
        super().__init__()
        self.id = f'i-{random.getrandbits(32):08x}'
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.domain = domain
        self.slots = slots
        self.address = ''
        self.state = 'ready'
        self.group = None
        self.staged = []
        self.running = 0
        # Of each run: attempt id, start, end or None, how it ended.
        self.runs = []
        self._sequence = 0
        self._epoch = 0
        self._born_ms = int(time.time() * 1000)

    async def start(self, host, port):
        await self.listen(host, port)
        self.address = f'{host}:{port}'
        self.write_entry()

    def entry(self):
        found = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'born': self._born_ms,
            'seq': self._sequence,
        }
        if self.domain:
            found |= {
                'stage': 'both',
                'models': [],
                'domain': self.domain,
                'staged': self.staged,
                'group': self.group,
            }
        return found

    def write_entry(self):
        self._sequence += 1
        self.store.put('servers', self.id, self.entry())

    async def beat(self):
        """Write the entry at each heartbeat, as replicas do."""
        while True:
            await asyncio.sleep(1.2)
            self.write_entry()

    async def answer(self, message, reader, writer):
        expected = message.get('x-expect-instance', self.id)
        path = message.start.split(' ')[1]
        if expected != self.id:
            instance = [('X-Instance-Id', self.id)]
            writer.write(render('HTTP/1.1 421 x', instance))
        elif path == '/redwingvalve/report':
            report = {'busy': False, 'queue_depth': 0, 'in_flight': 0}
            self._send_json(writer, 200, self.entry() | report)
        elif path == '/redwingvalve/order':
            status = self._obey(json.loads(message.body))
            self._send_json(writer, status, {})
        elif path == '/health':
            status = 200 if self.state == 'ready' else 503
            instance = [('X-Instance-Id', self.id)]
            writer.write(render(f'HTTP/1.1 {status} x', instance))
        else:
            return await self.run(message, reader, writer)
        return True

    async def run(self, message, reader, writer):
        """Answer a client's request; return whether to keep the connection."""
        raise NotImplementedError

    def sealed(self, message):
        """Return the headers of an answer."""
        return [
            ('X-Attempt-Id', message.get('x-attempt-id')),
            ('X-Server-Seal', f'3e1b.{self.id}'),
        ]

    def _send_json(self, writer, status, document):
        body = json.dumps(document).encode()
        json_type = [('Content-Type', 'application/json')]
        writer.write(render(f'HTTP/1.1 {status} x', json_type, body))

    def _obey(self, order):
        operation = order['operation']
        self._sequence += 1
        if operation == 'stage':
            self.staged = [order['model']]
            self.write_entry()
            return 202
        if operation == 'join':
            return self._join(order)
        key = (order['group'], order['epoch'])
        if not self.group or (self.group['name'], self.group['epoch']) != key:
            return 409
        if operation == 'open':
            if self.group['state'] != 'ready':
                return 409
            self._later(0.3, 'open')
        elif operation == 'close':
            self.group = {**self.group, 'state': 'ready'}
        elif operation == 'leave':
            self.group = None
        self.write_entry()
        return 202

    def _join(self, order):
        if order['epoch'] < self._epoch:
            return 412
        self._epoch = order['epoch']
        self.group = {
            'name': order['group'],
            'epoch': order['epoch'],
            'rank': order['members'].index(self.id),
            'state': 'joining',
        }
        self.staged = [order['model']]
        self.write_entry()
        self._later(0.2, 'ready')
        return 202

    def _later(self, delay_s, state):
        group = self.group

        def change():
            if self.group is group:
                self.group = {**group, 'state': state}
                self.write_entry()

        asyncio.get_running_loop().call_later(delay_s, change)


def free_ports(count):
    """Return ports that are free on loopback."""
    with contextlib.ExitStack() as held:
        found = []
        while len(found) < count:
            port = random.randint(20_000, 32_000)
            trial = held.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                trial.bind(('127.0.0.1', port))
                found.append(port)
        return found


class Machines:
    """The system's machines, and the platform that runs their processes."""

    def __init__(self, record, store_address, zones):
        self.record = record
        self.zones = zones
        self.ports = free_ports(6)
        self.net = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
        self.terminated_s = {}
        self._store_address = store_address
        self._folder = pathlib.Path(tempfile.mkdtemp())
        self._processes = {}
        self._tasks = []
        self._is_over = False
        deploy = (REPOSITORY / 'deploy' / 'system.toml').read_text()
        run = tomllib.loads(deploy)['roles']['node']['run'].split()
        self._command = [sys.executable, *run[1:]]

    def ip(self, number):
        return f'{self.net}.{number + 1}'

    def front(self, number):
        return f'{self.ip(number)}:{self.ports[0]}'

    def directory(self, number):
        return self.ip(number), self.ports[2]

    async def start(self, number):
        """Start the process of a machine, and again whenever it ends."""
        self._tasks.append(asyncio.create_task(self._keep(number)))

    async def terminate(self, number):
        """Send SIGTERM, and SIGKILL after the grace."""
        process = self._processes[number]
        self.terminated_s.setdefault(number, []).append(now_s())
        self.record.add(f'node {number}: SIGTERM')
        process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), GRACE_S)
        if process.returncode is None:
            self.record.add(f'node {number}: SIGKILL')
            process.kill()

    def signal(self, number, what):
        self.record.add(f'node {number}: {signal.Signals(what).name}')
        self._processes[number].send_signal(what)

    async def is_ready(self, number):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip(number), self.ports[1]
            )
            writer.write(b'GET /redwingvalve/ready HTTP/1.1\r\nHost: a\r\n\r\n')
            head = await read_head(reader)
            writer.close()
        except (OSError, Ended):
            return False
        return head.start.split()[1] == '200'

    async def wait_until_ready(self, number, timeout_s=20):
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready(number):
                await asyncio.sleep(0.05)

    async def stop(self):
        self._is_over = True
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()

    async def _keep(self, number):
        while not self._is_over:
            log = (self._folder / f'node-{number}.log').open('ab')
            process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=REPOSITORY,
                env=self._environment(number),
                stdout=log,
                stderr=log,
            )
            self._processes[number] = process
            self.record.add(f'node {number}: started')
            status = await process.wait()
            self.record.add(f'node {number}: ended with {status}')
            await asyncio.sleep(RESTART_DELAY_S)

    def _environment(self, number):
        path = self._folder / f'settings-{number}.json'
        path.write_text(json.dumps(self._settings(number)))
        return {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'REDWINGVALVE_BOOT': str(path),
        }

    def _settings(self, number):
        ip = self.ip(number)
        names = ('front', 'ready', 'directory', 'control')
        return {
            'node': f'front-{self.zones[number]}-{number}',
            'role': 'node',
            'machine_class': 'front',
            'serves': ['front', 'directory'],
            'ip': ip,
            'zone': self.zones[number],
            'region': 'montevideo',
            'zones': dict.fromkeys(self.zones, 'montevideo'),
            'listen': {
                name: f'{ip}:{port}'
                for name, port in zip(names, self.ports, strict=False)
            },
            'internal_ports': [self.ports[4], self.ports[4]],
            'seeds': [],
            'bootstrap': True,
            'counts_as_loss': False,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4200,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeat_ms': 1200,
            'contracts': ['base', 'drain', 'config', 'retry', 'recover'],
            'fault_tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': self._store_address,
                'form': 'objects',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
        }


class Attempt:
    """One attempt of a client, and how it ended."""

    def __init__(self, kind):
        self.id = f'{random.getrandbits(64):016x}'
        self.kind = kind
        self.node = None
        self.sent_s = 0.0
        self.ended_s = 0.0
        self.status = 0
        self.headers = {}
        self.body = b''
        # 'whole', 'closed', 'reset', 'no connection' or 'given up'.
        self.ending = ''
        # Of the whole answer.
        self.events = 0


class Client:
    """A client that keeps one connection and what the directory told it."""

    def __init__(self, machines, zone, is_patient=False):
        self._machines = machines
        self._zone = zone
        self._patience = 3 if is_patient else 1
        self._addresses = []
        self._until_s = 0.0
        self._connection = None
        self._connected_to = ''

    async def ask(self, attempt, request, wait_s, gap_s):
        """Send one attempt; gap_s is the longest silence it bears."""
        await self._look_up()
        if self._connected_to not in self._addresses:
            self._disconnect()
        try:
            await self._connect()
        except (OSError, TimeoutError, IndexError):
            attempt.ending = 'no connection'
            attempt.ended_s = now_s()
            return attempt
        reader, writer = self._connection
        attempt.node = self._connected_to
        attempt.sent_s = now_s()
        writer.write(request)
        try:
            async with asyncio.timeout(wait_s):
                await self._read(attempt, reader, gap_s)
            attempt.ending = 'whole'
        except Ended as error:
            attempt.ending = str(error)
        except TimeoutError:
            attempt.ending = 'given up'
        attempt.ended_s = now_s()
        closes = attempt.headers.get('connection', '').lower() == 'close'
        if attempt.ending != 'whole' or closes:
            self._disconnect()
        return attempt

    def fail(self, address):
        """Use an address no more until the directory names it again."""
        self._addresses = [one for one in self._addresses if one != address]

    async def _read(self, attempt, reader, gap_s):
        head = await asyncio.wait_for(read_head(reader), gap_s)
        attempt.status = int(head.start.split()[1])
        attempt.headers = head.headers
        latest_s = time.monotonic()

        def receive(chunk):
            nonlocal latest_s
            latest_s = time.monotonic()
            attempt.body += chunk

        reading = asyncio.ensure_future(read_body(head, reader, receive))
        try:
            while not reading.done():
                left_s = latest_s + gap_s - time.monotonic()
                if left_s <= 0:
                    raise TimeoutError
                await asyncio.wait((reading,), timeout=left_s)
            await reading
        finally:
            reading.cancel()

    async def _look_up(self):
        if now_s() < self._until_s:
            return
        numbers = sorted(
            range(len(self._machines.zones)),
            key=lambda one: self._machines.zones[one] != self._zone,
        )
        for number in numbers[:3]:
            with contextlib.suppress(OSError, Ended, TimeoutError, ValueError):
                async with asyncio.timeout(1):
                    found = await self._ask_directory(number)
                if found.get('addresses'):
                    ttl_s = min(found['ttl_s'], BOUNDS['ttl_max_s'])
                    self._addresses = list(found['addresses'])
                    self._until_s = now_s() + self._patience * ttl_s
                    return

    async def _ask_directory(self, number):
        reader, writer = await asyncio.open_connection(
            *self._machines.directory(number)
        )
        try:
            query = f'name={HOST}&region=montevideo&zone={self._zone}'
            start = f'GET /redwingvalve/resolve?{query} HTTP/1.1'
            writer.write(f'{start}\r\nHost: directory\r\n\r\n'.encode())
            answer = await read_head(reader)
            await read_body(answer, reader)
        finally:
            writer.close()
        return json.loads(answer.body) if ' 200 ' in answer.start else {}

    async def _connect(self):
        if self._connection is not None:
            reader, writer = self._connection
            if not (reader.at_eof() or writer.is_closing()):
                return
            self._disconnect()
        address = random.choice(self._addresses)
        host, _, port = address.partition(':')
        try:
            self._connection = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1
            )
        except (OSError, TimeoutError):
            self.fail(address)
            raise
        self._connected_to = address

    def _disconnect(self):
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None
        self._connected_to = ''


def request(method, path, attempt_id, deadline_ms, headers=(), body=b''):
    """Return a client's request as bytes."""
    return render(
        f'{method} {path} HTTP/1.1',
        [
            ('Host', HOST),
            ('X-Attempt-Id', attempt_id),
            ('X-Deadline-Ms', str(deadline_ms)),
            ('Api-Key', KEY),
            *headers,
        ],
        body,
    )


def route(name, prefix, kind, service, timeout_ms, **more):
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout_ms': timeout_ms,
        'goal_ms': 400,
        'priority': 1,
        'max_attempts': 1,
        'anonymous': False,
        'sticky': False,
        'resumable': False,
        **more,
    }


def configuration(routes, services):
    """Return a configuration as the operator writes it."""
    return {
        'version': 7,
        'routes': routes,
        'services': services,
        'limits': {
            'header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


def plain_service(name):
    """Return a service without an engine."""
    return {'name': name, 'health_path': '/health', 'max_conns': 100}


def engine_service(name, model, size):
    """Return a service with one model, as in the smallest site file."""
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 428,
        'engine': {
            'slots': 9,
            'kv_capacity_tokens': 984705,
            'stride': 5,
            'models': [
                {
                    'name': model,
                    'size': size,
                    'share': 1.0,
                    'pace': 1.0,
                    'load_s': 12.0,
                    'warm_s': 1.1,
                }
            ],
            'step_ms': 7.8,
            'per_seq_ms': 0.179,
            'read_per_s': 45900.0,
            'loads_per_s': 5.0,
            'loads_at_once': 7,
            'usual': {'prompt': 979, 'answer': 154},
            'history_limit': 1,
            'far_x': 4.0,
            'form_ms': 300.0,
        },
    }


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


async def _run(main):
    """Run a script; SIGTERM ends it and what it has started."""
    task = asyncio.ensure_future(main())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    await asyncio.wait((task,))
    if task.cancelled():
        return COULD_NOT_RUN
    if task.exception() is not None:
        traceback.print_exception(task.exception())
        return COULD_NOT_RUN
    return task.result()


def play(main):
    """Run a script and exit with its status."""
    status = asyncio.run(_run(main))
    sys.stdout.flush()
    os._exit(status)
