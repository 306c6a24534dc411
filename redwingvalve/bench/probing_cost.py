"""What an entry spends on probing its share of the replicas.

The engines answer from a second thread, whose time is not counted: only the
work of the entry's own thread is, as on a node that has no engines beside it.
"""

import contextlib
import json
import time
from collections import abc as collections_abc

import anyio
import anyio.from_thread
import attrs
from anyio import abc as anyio_abc
from anyio.streams import buffered

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock
from redwingvalve.evidence import prober, table
from redwingvalve.membership import members
from redwingvalve.news import bus
from redwingvalve.platform_api import http_engine_orders

HOST = '127.0.0.1'
REGION = 'region-0'
VMS_PER_REPLICA = 4
MS_PER_S = 1000
SETTLING_S = 3.0
EPOCH = 7
HEAD_END = b'\r\n\r\n'
MAX_HEAD_BYTES = 4096
HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'content-length: %d\r\n\r\n'
)
CLOSED = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.frozen
class ProbingCost:
    """What one entry spends a second on probing; sent bytes are news."""

    replicas: int
    vouching: bool
    probes: float
    processor_ms: float
    news_bytes: float


@attrs.frozen
class _Reading:
    at_s: float
    spent_s: float
    answered: int
    said_bytes: int


@attrs.define
class _Engines:
    """Answers as all engines; a path names the engine."""

    vouching: bool
    answered: int = 0

    async def serve(self, *, task_status: anyio_abc.TaskStatus[int]) -> None:
        """Serve until cancelled, once started with the port."""
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio_abc.SocketAttribute.local_port)
        task_status.started(port)
        await listener.serve(self._answer)

    async def _answer(self, stream: anyio_abc.SocketStream) -> None:
        reader = buffered.BufferedByteReceiveStream(stream)
        with contextlib.suppress(*CLOSED):
            while True:
                request = await reader.receive_until(HEAD_END, MAX_HEAD_BYTES)
                self.answered += 1
                body = self._state(request.split(b'/', 2)[1])
                await stream.send(HEAD % len(body) + body)

    def _state(self, path: bytes) -> bytes:
        vm = path.decode()
        replica, place = vm.rsplit('_', 1)
        names = [f'{replica}_{each}' for each in range(VMS_PER_REPLICA)]
        seen = names[1:] if self.vouching and place == '0' else []
        state = {
            'vm': vm,
            'incarnation': 'a1b2c3d4e5f6',
            'ready': True,
            'replica': replica,
            'epoch': EPOCH,
            'model': 'race',
            'version': 'v1',
            'role': 'worker',
            'members': names,
            'adapters': [],
            'highest_fencing_number': 12,
            'in_flight': 9,
            'members_seen': [{'vm': name, 'age_s': 0.1} for name in seen],
        }
        return json.dumps(state).encode()


class _Alone(members.Members):
    """An entry that probes everything."""

    def local_member(self) -> members.Member:
        """Return the entry."""
        return members.Member('entry', 1, 'entry', HOST, 1, 2, 'dc-00', REGION)

    def known(self) -> tuple[members.Member, ...]:
        """Return the entry."""
        return (self.local_member(),)

    def isolated(self) -> bool:
        """Tell that it is not."""
        return False


@attrs.define
class _Configuration(snapshot.ConfigurationSource):
    """Replicas that do not change."""

    snapshot: snapshot.Snapshot

    def current(self) -> snapshot.Snapshot:
        """Return them."""
        return self.snapshot


@attrs.define
class _Board(bus.NewsBus):
    """Counts what is published; nobody else says anything."""

    published_bytes: int = 0

    def publish(self, channel: bus.Channel, key: str, body: bytes) -> None:
        """Count."""
        self.published_bytes += len(body)

    def read(self, channel: bus.Channel) -> tuple[bus.NewsItem, ...]:
        """Return nothing."""
        return ()


async def measure(
    replicas: int, measured_s: float, vouching: bool
) -> ProbingCost:
    """Probe so many replicas for measured_s and return what it costs."""
    engines = _Engines(vouching)
    with _serving(engines) as address:
        orders = http_engine_orders.make_http_engine_orders()
        news = _Board()
        probing = prober.make_prober(
            table.EvidenceTable(),
            _Configuration(
                snapshot.Snapshot(1, replicas=_replicas(replicas, address))
            ),
            _Alone(),
            news,
            orders,
            clock.make_system_clock(),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(probing.run)
            await anyio.sleep(SETTLING_S)
            before = _read(engines, news)
            await anyio.sleep(measured_s)
            after = _read(engines, news)
            group.cancel_scope.cancel()
        await orders.aclose()
    passed_s = after.at_s - before.at_s
    return ProbingCost(
        replicas=replicas,
        vouching=vouching,
        probes=(after.answered - before.answered) / passed_s,
        processor_ms=(after.spent_s - before.spent_s) * MS_PER_S / passed_s,
        news_bytes=(after.said_bytes - before.said_bytes) / passed_s,
    )


def _read(engines: _Engines, news: _Board) -> _Reading:
    return _Reading(
        time.monotonic(),
        time.thread_time(),
        engines.answered,
        news.published_bytes,
    )


def _replicas(count: int, address: str) -> tuple[snapshot.Replica, ...]:
    return tuple(
        snapshot.Replica(
            name=f'race-{index:04d}',
            deployment='race-model',
            epoch=EPOCH,
            fabric_domain='domain-000',
            data_centre='dc-00',
            region=REGION,
            members=tuple(
                snapshot.ReplicaMember(
                    f'race-{index:04d}_{vm}',
                    f'{address}/race-{index:04d}_{vm}',
                )
                for vm in range(VMS_PER_REPLICA)
            ),
            serving=True,
            model='race',
            version='v1',
        )
        for index in range(count)
    )


@contextlib.contextmanager
def _serving(engines: _Engines) -> collections_abc.Iterator[str]:
    """Serve in a thread of their own; the address."""
    with anyio.from_thread.start_blocking_portal() as portal:
        serving, port = portal.start_task(engines.serve)
        try:
            yield f'{HOST}:{port}'
        finally:
            serving.cancel()
