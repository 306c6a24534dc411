"""A fleet of streams.py with an application service beside the models.

Its requests, which must not be repeated, are judged by rule CONFIG: "Of the
requests that are still unanswered at their route's `timeout_ms`, more than half
have no answer half a second later", and eight or more.
"""

import asyncio
import random

import rig
import streams

SERVICE = 'banco-app'
PLAIN_REPLICAS = 3
PLAIN_PER_S = 12
WORK_S = 0.09
TIMEOUT_MS = 1500
DEADLINE_MS = 3000
CALLERS = 60
MAX_UNANSWERED = 8


class Plain(rig.Replica):
    """A replica of the application service; it is always sound."""

    async def run(self, message, reader, writer):
        await asyncio.sleep(WORK_S)
        self.runs.append({'id': message.get('x-attempt-id')})
        writer.write(
            rig.render('HTTP/1.1 200 OK', self.sealed(message), b'x' * 800)
        )
        return True


class Fleet(streams.Fleet):
    """With an application service, whose requests are judged."""

    def __init__(self, record, zones):
        super().__init__(record, zones)
        self.lookups = []

    def configuration(self):
        found = super().configuration()
        found['services'].append(rig.plain_service(SERVICE))
        found['routes'].append(
            rig.route(
                'r-fi6y7z5',
                '/puxa403/',
                'non_idempotent',
                SERVICE,
                TIMEOUT_MS,
                priority=2,
            )
        )
        return found

    def make_engine(self, zone, domain):
        """Return a replica of the models."""
        return streams.Engine(
            self.store, self.record, streams.SERVICE, zone, domain
        )

    async def start_replica(self, number, port):
        domain = f'domain-{number // streams.DOMAIN_SIZE}'
        zone = self.zones[number % len(self.zones)]
        await self._add(self.make_engine(zone, domain), port)
        if number < PLAIN_REPLICAS:
            plain = Plain(self.store, self.record, SERVICE, zone, slots=6)
            await self._add(plain, rig.free_ports(1)[0])

    async def send_lookups(self, duration_s):
        """Send requests that must not be repeated, each by a free client."""
        free = [
            rig.Client(self.machines, self.zones[number % len(self.zones)])
            for number in range(CALLERS)
        ]
        until_s = rig.now_s() + duration_s

        async def use(client):
            await self._look_up(client)
            free.append(client)

        async with asyncio.TaskGroup() as group:
            while rig.now_s() < until_s:
                if free:
                    client = free.pop(random.randrange(len(free)))
                    group.create_task(use(client))
                await asyncio.sleep(random.expovariate(PLAIN_PER_S))

    def judge(self):
        """Record the requests that got no final answer in time."""
        connected = [one for one in self.lookups if one.sent_s]
        overdue = [
            one
            for one in connected
            if one.ended_s - one.sent_s >= TIMEOUT_MS / 1000
        ]
        unanswered = [
            one
            for one in overdue
            if one.ended_s - one.sent_s > TIMEOUT_MS / 1000 + 0.5
        ]
        for one in unanswered:
            self.record.add(
                f'UNANSWERED {one.id} at {one.node}: sent {one.sent_s:.3f},'
                f' {one.status} {one.ending} {one.ended_s:.3f}'
            )
        answered = sum(one.status == 200 for one in connected)
        summary = (
            f'{len(connected)} lookups, {answered} answered,'
            f' {len(overdue)} unanswered after {TIMEOUT_MS} ms,'
            f' {len(unanswered)} of these half a second later'
        )
        self.record.add(summary)
        print(summary)
        if not answered:
            return 2
        is_broken = (
            len(unanswered) >= MAX_UNANSWERED
            and len(unanswered) > len(overdue) / 2
        )
        return 1 if is_broken else 0

    async def _add(self, replica, port):
        await replica.start('127.0.0.1', port)
        self.replicas.append(replica)
        self.tasks.append(asyncio.create_task(replica.beat()))

    async def _look_up(self, client):
        attempt = rig.Attempt('lookup')
        self.lookups.append(attempt)
        text = rig.request(
            'POST', '/puxa403/2f', attempt.id, DEADLINE_MS, body=b'part'
        )
        wait_s = DEADLINE_MS / 1000
        await client.ask(attempt, text, wait_s, wait_s)
        self.record.add(
            f'lookup {attempt.id} to {attempt.node} at {attempt.sent_s:.3f}:'
            f' {attempt.status} {attempt.ending}'
        )
