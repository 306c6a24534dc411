"""A small fleet whose clients ask for streams, for the cases of rule LOST."""

import asyncio
import contextlib
import random

import rig

MODEL = 'daka510000'
SERVICE = 'lm-taller'
DOMAIN_SIZE = 8
RATE_PER_S = 20
CLIENTS = 240
# One client in so many keeps what the directory said three times as long.
PATIENT_CLIENT = 25
DEADLINE_MS = 8000
# The longest of: two seconds, four objectives, eight times the pause.
PATIENCE_S = 2.4
EVENT_S = 0.05
MAX_EVENTS = 87
# Requests sent this soon after a SIGTERM may be cut at the end of the grace.
LATE_SEND_S = 3.0


class Engine(rig.Replica):
    """A replica that answers with a stream of events."""

    async def run(self, message, reader, writer):
        attempt = message.get('x-attempt-id')
        if self.group is None or self.group['state'] != 'open':
            writer.write(rig.render('HTTP/1.1 503 x', [('X-Not-Run', '1')]))
            return True
        last = int(message.get('last-event-id', 0))
        run = {'id': attempt, 'began_s': rig.now_s(), 'is_cut': False}
        self.runs.append(run)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {text}' for name, text in self.sealed(message)]
        lines += ['Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        for number in range(last + 1, int(message.get('x-events')) + 1):
            await asyncio.sleep(EVENT_S)
            if reader.at_eof() or writer.is_closing():
                run['is_cut'] = True
                break
            event = b'id: %d\ndata: token\n\n' % number
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        else:
            writer.write(b'0\r\n\r\n')
        ending = 'cut' if run['is_cut'] else 'whole'
        self.record.add(f'replica {self.id} ran {attempt}: {ending}')
        return not run['is_cut']


class Fleet:
    """Store, replicas and machines, and the clients' attempts."""

    def __init__(self, record, zones, replicas=16):
        self.record = record
        self.zones = zones
        self._replica_count = replicas
        self.attempts = []
        self.replicas = []
        self.store = rig.Store()
        self.store_port = rig.free_ports(1)[0]
        self.machines = rig.Machines(
            record, f'127.0.0.1:{self.store_port}', zones
        )
        self.tasks = []

    async def start(self):
        """Start everything; raises TimeoutError."""
        await self.store.listen('127.0.0.1', self.store_port)
        self.store.put('config', 'main', self.configuration())
        for number, port in enumerate(rig.free_ports(self._replica_count)):
            await self.start_replica(number, port)
        for number in range(len(self.zones)):
            await self.machines.start(number)
        for number in range(len(self.zones)):
            await self.machines.wait_until_ready(number)
        async with asyncio.timeout(20):
            while len(self.open_heads()) < self._replica_count // 2 - 1:
                await asyncio.sleep(0.1)
        await asyncio.sleep(1)

    def configuration(self):
        """Return what the operator has configured."""
        stream = rig.route(
            'r-2yhvz3p',
            '/lohu930/',
            'stream',
            SERVICE,
            DEADLINE_MS,
            max_attempts=2,
            sticky=True,
            resumable=True,
            gap_goal_ms=300,
        )
        engine = rig.engine_service(SERVICE, MODEL, 2)
        return rig.configuration([stream], [engine])

    async def start_replica(self, number, port):
        """Start one replica."""
        domain = f'domain-{number // DOMAIN_SIZE}'
        zone = self.zones[number % len(self.zones)]
        replica = Engine(self.store, self.record, SERVICE, zone, domain)
        await replica.start('127.0.0.1', port)
        self.replicas.append(replica)
        self.tasks.append(asyncio.create_task(replica.beat()))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await self.machines.stop()

    async def send_traffic(self, duration_s):
        """Send requests at a steady rate, each by a client that is free."""
        free = [
            rig.Client(
                self.machines,
                self.zones[number % len(self.zones)],
                is_patient=number % PATIENT_CLIENT == 0,
            )
            for number in range(CLIENTS)
        ]
        until_s = rig.now_s() + duration_s

        async def use(client):
            await self._call(client)
            free.append(client)

        async with asyncio.TaskGroup() as group:
            while rig.now_s() < until_s:
                if free:
                    client = free.pop(random.randrange(len(free)))
                    group.create_task(use(client))
                await asyncio.sleep(random.expovariate(RATE_PER_S))

    def judge(self):
        """Record the requests that were lost; return the exit status."""
        lost = self._find_lost()
        for attempt, stopped_s in lost:
            self.record.add(
                f'LOST {attempt.id}: SIGTERM {stopped_s:.3f}, sent'
                f' {attempt.sent_s - stopped_s:+.3f}, {attempt.ending}'
                f' {attempt.ended_s - stopped_s:+.3f}'
            )
        whole = sum(
            one.ending == 'whole' and one.status == 200 for one in self.attempts
        )
        summary = f'{len(self.attempts)} attempts, {whole} whole'
        summary = f'{summary}, {len(lost)} lost'
        self.record.add(summary)
        print(summary)
        if not whole:
            return 2
        return 1 if lost else 0

    def open_heads(self):
        """Return the heads that serve."""
        return [
            one.id
            for one in self.replicas
            if one.group is not None and one.group['state'] == 'open'
        ]

    async def _call(self, client):
        """Send one request, and once more if it fails, as clients do."""
        events = int(random.lognormvariate(3.2, 0.8))
        events = min(MAX_EVENTS, max(1, events))
        deadline_s = rig.now_s() + DEADLINE_MS / 1000
        for _ in range(2):
            left_s = deadline_s - rig.now_s()
            if left_s < 0.1:
                return
            attempt = rig.Attempt('stream')
            attempt.events = events
            self.attempts.append(attempt)
            headers = [
                ('X-Model', MODEL),
                ('X-Token-Counts', f'900,{events * 5}'),
                ('X-Prompt-Prefix', f'5c1e07a2:40,{attempt.id[:8]}:860'),
                # Tells the stand-in how long this answer is.
                ('X-Events', str(events)),
            ]
            text = rig.request(
                'POST',
                '/lohu930/2f',
                attempt.id,
                int(left_s * 1000),
                headers,
                b'prompt',
            )
            await client.ask(attempt, text, left_s, PATIENCE_S)
            self.record.add(
                f'client {attempt.id} to {attempt.node} at'
                f' {attempt.sent_s:.3f}: {attempt.status} {attempt.ending}'
            )
            if attempt.ending == 'whole' and attempt.status == 200:
                return
            promised_s = float(attempt.headers.get('retry-after', 0))
            await asyncio.sleep(min(promised_s, left_s / 3))

    def _find_lost(self):
        """Return the attempts that break the rule, and their SIGTERM."""
        ran = {run['id'] for one in self.replicas for run in one.runs}
        numbers = {
            self.machines.front(number): number
            for number in range(len(self.zones))
        }
        lost = []
        for attempt in self.attempts:
            if attempt.ending not in {'closed', 'reset'}:
                continue
            if attempt.id not in ran:
                continue
            number = numbers[attempt.node]
            for stopped_s in self.machines.terminated_s.get(number, ()):
                if _is_lost(attempt, stopped_s):
                    lost.append((attempt, stopped_s))
        return lost


def _is_lost(attempt, stopped_s):
    if not stopped_s < attempt.ended_s < stopped_s + rig.GRACE_S + 1:
        return False
    was_sent_in_time = attempt.sent_s <= stopped_s + LATE_SEND_S
    last_sixth_s = stopped_s + rig.GRACE_S * 5 / 6
    return not (was_sent_in_time and attempt.ended_s > last_sixth_s)


async def play(fleet, traffic_s, trouble):
    """Run a fleet under traffic and the trouble; return the exit status."""
    try:
        await fleet.start()
        traffic = asyncio.create_task(fleet.send_traffic(traffic_s))
        await trouble(fleet)
        await traffic
    except TimeoutError:
        fleet.record.add('the fleet did not start')
        return 2
    finally:
        with contextlib.suppress(ProcessLookupError):
            await fleet.stop()
    return fleet.judge()
