"""Callers that don't behave, and what they cost a process."""

import contextlib
import itertools
import pathlib
import socket

import anyio
import anyio.lowlevel
import attrs

from redwingvalve.http1 import messages
from redwingvalve.platform.tests import fleet_harness

# How long a crowd has to send what it can.
SENDING_S = 10
RECEIVE_BUFFER_BYTES = 4096
# What a slow reader takes at once, and how often.
SLOW_READ_BYTES = 512
SLOW_READ_S = 0.2
_ATTEMPTS = itertools.count(1)


def make_head(path, *headers, key=fleet_harness.API_KEY, host=True):
    """Return the head of a POST request with an attempt id of its own."""
    sent = [
        (b'Host', fleet_harness.HOST.encode()),
        (b'X-Attempt-Id', b'crowd-%d' % next(_ATTEMPTS)),
        (b'X-Deadline-Ms', b'60000'),
        *headers,
    ]
    if key:
        sent.append((b'Api-Key', key.encode()))
    return messages.render_head(b'POST %b HTTP/1.1' % path.encode(), sent)


def length(size):
    return b'Content-Length', b'%d' % size


CHUNKED = (b'Transfer-Encoding', b'chunked')


def chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


@attrs.define(eq=False)
class Crowd:
    """Connections that send, read nothing and stay open."""

    address: tuple
    sockets: list = attrs.field(factory=list)

    async def send(self, parts_of_each):
        """Send the parts of each member over a connection of its own.

        Returns once all parts were sent, or couldn't be.
        """
        with anyio.move_on_after(SENDING_S):
            async with anyio.create_task_group() as group:
                for parts in parts_of_each:
                    group.start_soon(self._send_one, parts)

    async def read_slowly(self):
        """Read a few KB a second of each connection until cancelled."""
        while True:
            for one in self.sockets:
                with contextlib.suppress(OSError):
                    one.recv(SLOW_READ_BYTES)
            await anyio.sleep(SLOW_READ_S)

    def close(self):
        for one in self.sockets:
            one.close()
        self.sockets.clear()

    async def _send_one(self, parts):
        one = socket.socket()
        one.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        one.setblocking(False)
        self.sockets.append(one)
        loop = fleet_harness.asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_connect(one, self.address)
            for part in parts:
                await loop.sock_sendall(one, part)
                await anyio.lowlevel.checkpoint()


@attrs.define(eq=False)
class Watch:
    """The most that a process has used since the watch began."""

    pid: int
    descriptors: int = 0

    @property
    def memory_mb(self):
        """Return the peak of the resident memory, in MB."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        line = next(
            one for one in status.splitlines() if one.startswith('VmHWM')
        )
        return int(line.split()[1]) / 1024

    async def run(self):
        """Count descriptors until cancelled."""
        folder = pathlib.Path(f'/proc/{self.pid}/fd')
        while True:
            with contextlib.suppress(OSError):
                count = len(list(folder.iterdir()))
                self.descriptors = max(self.descriptors, count)
            await anyio.sleep(0.02)
