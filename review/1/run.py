"""Replicas spoil a few answers: letters in chunks of one byte, no event.

Rule CONFIG: of the requests that are unanswered at their route's `timeout_ms`,
more than half have no answer half a second later, as the process hangs.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lookups
import rig
import streams

ZONES = ['nave-a', 'nave-b']
TRAFFIC_S = 50
SOUND_S = 8
# Of the replicas, and of the answers of these.
SPOILING_SHARE = 0.5
SPOILED_SHARE = 0.02
SPOILED_BYTES = 150_000
CHUNKS = b'1\r\nx\r\n' * 4096


class Spoiling(streams.Engine):
    """An engine that spoils some of its answers."""

    spoils = False

    async def run(self, message, reader, writer):
        is_open = self.group is not None and self.group['state'] == 'open'
        if not (self.spoils and is_open and random.random() < SPOILED_SHARE):
            return await super().run(message, reader, writer)
        attempt = message.get('x-attempt-id')
        self.record.add(f'replica {self.id} spoils {attempt}')
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {text}' for name, text in self.sealed(message)]
        lines += ['Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        for _ in range(SPOILED_BYTES * 6 // len(CHUNKS)):
            if reader.at_eof() or writer.is_closing():
                break
            writer.write(CHUNKS)
            await writer.drain()
            await asyncio.sleep(0)
        return False


class Fleet(lookups.Fleet):
    """Its engines may spoil answers."""

    def make_engine(self, zone, domain):
        return Spoiling(self.store, self.record, streams.SERVICE, zone, domain)

    def spoil(self):
        """Let a share of the engines spoil answers from now on."""
        engines = [one for one in self.replicas if isinstance(one, Spoiling)]
        count = int(SPOILING_SHARE * len(engines))
        for replica in random.sample(engines, count):
            replica.spoils = True


async def spoil_answers(fleet):
    """Send the application's requests; spoil answers of the engines."""
    lookups = asyncio.create_task(fleet.send_lookups(TRAFFIC_S))
    await asyncio.sleep(SOUND_S)
    if rig.has_trouble():
        fleet.spoil()
    await lookups


if __name__ == '__main__':
    fleet = Fleet(rig.Record(FOLDER), ZONES)
    rig.play(lambda: streams.play(fleet, TRAFFIC_S, spoil_answers))
