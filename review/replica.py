"""A replica in a process of its own, so that a script can end it.

Its answers are streams without a length that end with their connections.
Arguments: its address, the store's, service, zone and fabric domain.
"""

import asyncio
import json
import sys

import rig
import streams


class RemoteStore:
    """Writes entries to the store of the script, in order."""

    def __init__(self, host, port):
        self._address = host, port
        self._queue = asyncio.Queue()
        self._is_created = False

    def put(self, kind, name, spec):
        """Have an object written soon."""
        document = {'metadata': {'name': name}, 'spec': spec}
        self._queue.put_nowait((kind, document))

    async def run(self):
        """Write what is queued."""
        reader, writer = await asyncio.open_connection(*self._address)
        while True:
            kind, document = await self._queue.get()
            name = document['metadata']['name']
            start = f'PUT {rig.PREFIX}{kind}/{name} HTTP/1.1'
            if not self._is_created:
                start = f'POST {rig.PREFIX}{kind} HTTP/1.1'
            self._is_created = True
            body = json.dumps(document).encode()
            writer.write(rig.render(start, [('Host', 'store')], body))
            await rig.read_body(await rig.read_head(reader), reader)


class Output:
    """Hands what happens to the script, which records it."""

    def add(self, text):
        print(text, flush=True)


class OpenEnded(streams.Engine):
    """Its answers end with their connections."""

    async def run(self, message, reader, writer):
        if self.group is None or self.group['state'] != 'open':
            writer.write(rig.render('HTTP/1.1 503 x', [('X-Not-Run', '1')]))
            return True
        attempt = message.get('x-attempt-id')
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {text}' for name, text in self.sealed(message)]
        lines += ['Connection: close', '', '']
        writer.write('\r\n'.join(lines).encode())
        last = int(message.get('last-event-id', 0))
        self.record.add(f'{self.id} runs {attempt} after event {last}')
        for number in range(last + 1, int(message.get('x-events')) + 1):
            await asyncio.sleep(streams.EVENT_S)
            if reader.at_eof() or writer.is_closing():
                self.record.add(f'{self.id} ran {attempt}: cut')
                return False
            writer.write(b'id: %d\ndata: token\n\n' % number)
        self.record.add(f'{self.id} ran {attempt}: whole')
        return False


async def read_commands(replica):
    """Drain when the script says so."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while await reader.readline():
        replica.state = 'draining'
        replica.write_entry()


async def main(host, port, store_host, store_port, service, zone, domain):
    store = RemoteStore(store_host, int(store_port))
    replica = OpenEnded(store, Output(), service, zone, domain)
    await replica.start(host, int(port))
    Output().add(f'id {replica.id}')
    await asyncio.gather(store.run(), replica.beat(), read_commands(replica))


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
