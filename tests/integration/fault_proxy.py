"""A TCP proxy that injects network faults into connections.

Only for tests. Each proxy forwards to one address. Faults are set through
attributes or by a schedule derived from a seed, so that runs are reproducible.
"""

import contextlib
import random
import socket
import struct

import anyio
import attrs
from anyio import abc as anyio_abc

CHUNK_BYTES = 65_536
POLL_INTERVAL_S = 0.05
SWAP_TIMEOUT_S = 1.0
LINGER_ZERO = struct.pack('ii', 1, 0)
CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


@attrs.define
class LinkFaults:
    """Active faults of a proxy; all off by default.

    refuse closes new connections; black_hole accepts connections but forwards
    nothing; cut_requests and cut_responses drop the bytes of one direction;
    stall holds back both directions; truncate_after_bytes closes the
    connection cleanly after that many response bytes; swap_responses is the
    number of response pairs still to be swapped between connections.
    """

    refuse: bool = False
    black_hole: bool = False
    delay_s: float = 0.0
    cut_requests: bool = False
    cut_responses: bool = False
    stall: bool = False
    truncate_after_bytes: int = 0
    swap_responses: int = 0


class FaultProxy:
    """Forwards connections to one address and applies faults to them."""

    def __init__(self, target: str, group: anyio_abc.TaskGroup) -> None:
        """Forward to target (host:port); connections run in group."""
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._group = group
        self._listener: anyio_abc.Listener | None = None
        self._streams: set[anyio_abc.SocketStream] = set()
        self._pending_swap: tuple[list, anyio.Event] | None = None
        # Client addresses whose traffic is held back in both directions.
        self.cut_from: set[str] = set()
        self.faults = LinkFaults()
        self.address = ''
        self.connections = 0

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Listen on host, on a free port if none is given."""
        self._listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        port = self._listener.extra(anyio_abc.SocketAttribute.local_port)
        self.address = f'{host}:{port}'
        self._group.start_soon(self._listener.serve, self._handle_connection)

    def heal(self) -> None:
        """Clear all faults; bytes that were held back are forwarded."""
        self.faults = LinkFaults()

    async def reset_all(self) -> None:
        """Reset every open connection."""
        for stream in tuple(self._streams):
            with contextlib.suppress(*CONNECTION_ERRORS):
                raw = stream.extra(anyio_abc.SocketAttribute.raw_socket)
                # Closing with SO_LINGER set to 0 s sends RST instead of FIN.
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
                await stream.aclose()

    async def _handle_connection(self, client: anyio_abc.SocketStream) -> None:
        self.connections += 1
        self._streams.add(client)
        try:
            async with client:
                await self._forward(client)
        except CONNECTION_ERRORS:
            return
        finally:
            self._streams.discard(client)

    async def _forward(self, client: anyio_abc.SocketStream) -> None:
        if self.faults.refuse:
            return
        source = client.extra(anyio_abc.SocketAttribute.remote_address)[0]
        while self.faults.black_hole or source in self.cut_from:
            await anyio.sleep(POLL_INTERVAL_S)
        async with (
            await anyio.connect_tcp(*self._target) as server,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._forward_requests, client, server, source)
            with contextlib.suppress(*CONNECTION_ERRORS):
                await self._forward_responses(server, client, source)
            group.cancel_scope.cancel()

    async def _forward_requests(self, client, server, source) -> None:
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                chunk = await client.receive(CHUNK_BYTES)
                await self._hold_back(source)
                if not self.faults.cut_requests:
                    await server.send(chunk)
        with contextlib.suppress(*CONNECTION_ERRORS):
            await server.aclose()

    async def _forward_responses(self, server, client, source) -> None:
        sent_bytes = 0
        while True:
            chunk = await server.receive(CHUNK_BYTES)
            await self._hold_back(source)
            if self.faults.cut_responses:
                continue
            # Concurrent swaps may decrement the counter below 0.
            if self.faults.swap_responses > 0:
                chunk = await self._swap_response(server, chunk)
            limit = self.faults.truncate_after_bytes
            if limit and sent_bytes + len(chunk) > limit:
                await client.send(chunk[: max(0, limit - sent_bytes)])
                return
            sent_bytes += len(chunk)
            await client.send(chunk)

    async def _hold_back(self, source: str) -> None:
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        while self.faults.stall or source in self.cut_from:
            await anyio.sleep(POLL_INTERVAL_S)

    async def _swap_response(self, server, chunk: bytes) -> bytes:
        """Swap this complete response with that of another connection."""
        whole = chunk
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                with anyio.move_on_after(POLL_INTERVAL_S) as quiet:
                    whole += await server.receive(CHUNK_BYTES)
                if quiet.cancelled_caught:
                    break
        if self._pending_swap is None:
            mailbox, arrived = [whole], anyio.Event()
            self._pending_swap = (mailbox, arrived)
            with anyio.move_on_after(SWAP_TIMEOUT_S):
                await arrived.wait()
            if not arrived.is_set():
                self._pending_swap = None
            return mailbox[0]
        mailbox, arrived = self._pending_swap
        self._pending_swap = None
        self.faults.swap_responses -= 1
        other_response, mailbox[0] = mailbox[0], whole
        arrived.set()
        return other_response


@attrs.frozen
class ScheduledFault:
    """One fault on one link, from at_s for duration_s."""

    at_s: float
    duration_s: float
    link: str
    name: str

    def apply(self, faults: LinkFaults) -> None:
        """Activate the fault."""
        if self.name == 'delay':
            faults.delay_s = 0.2
        elif self.name != 'reset':
            setattr(faults, self.name, True)


LINK_FAULTS = (
    'refuse',
    'black_hole',
    'delay',
    'cut_requests',
    'cut_responses',
    'stall',
    'reset',
)


def make_schedule(
    seed: int, links: list[str], duration_s: float, mean_interval_s: float
) -> list[ScheduledFault]:
    """Return the faults of a run, ordered by start time."""
    rng = random.Random(seed)
    schedule = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1 / mean_interval_s)
        if at_s > duration_s:
            return schedule
        schedule.append(
            ScheduledFault(
                at_s,
                rng.uniform(0.2, 3.0),
                rng.choice(links),
                rng.choice(LINK_FAULTS),
            )
        )


async def run_schedule(
    schedule: list[ScheduledFault], proxies: dict[str, FaultProxy]
) -> None:
    """Apply each fault at its time, relative to now."""
    start_s = anyio.current_time()

    async def apply_at_time(fault: ScheduledFault) -> None:
        await anyio.sleep_until(start_s + fault.at_s)
        proxy = proxies[fault.link]
        fault.apply(proxy.faults)
        if fault.name == 'reset':
            await proxy.reset_all()
        await anyio.sleep(fault.duration_s)
        proxy.heal()

    async with anyio.create_task_group() as group:
        for fault in schedule:
            group.start_soon(apply_at_time, fault)
