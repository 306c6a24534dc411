"""Starts real peer processes and gathers what they write.

Only for measurements: a process of the product starts no other one.
"""

import collections
import contextlib
import json
import signal
import subprocess
import sys
import time
import typing
from collections import abc as collections_abc

import anyio
import attrs
from anyio import abc as anyio_abc

from redwingvalve.platform_api import http_object_api, object_api
from redwingvalve.standins import ports

HOST = '127.0.0.1'
STORE_TIMEOUT_S = 5.0
STORE_START_S = 10.0
START_GAP_S = 0.15
POLL_S = 0.05
Event = dict[str, typing.Any]
VersionsSeen = tuple[float, dict[str, int]]


@attrs.define
class PeerProcess:
    """A running process and what it wrote last."""

    process: anyio_abc.Process
    name: str = ''
    port: int = 0
    states: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    versions: list[VersionsSeen] = attrs.field(factory=list)
    costs: list[Event] = attrs.field(factory=list)
    stopped: bool = False

    def take(self, event: Event) -> None:
        """Note a line that the process wrote."""
        at_s = event['at_s']
        if event['event'] == 'listening':
            self.name = event['name']
            self.port = event['port']
        if event['event'] == 'member':
            self.states[event['name']] = (event['state'], at_s)
        if event['event'] == 'versions':
            self.versions.append((at_s, event['versions']))
        if event['event'] == 'costs':
            self.costs.append(event)

    def has_version(self, kind: str, version: int) -> float | None:
        """Return when the process had a version, or None."""
        for at_s, versions in self.versions:
            if versions.get(kind, 0) >= version:
                return at_s
        return None

    def tell(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.process.send_signal(number)


class SpreadFleet:
    """Peer processes with one store."""

    def __init__(self, group: anyio_abc.TaskGroup, store_url: str) -> None:
        """Start processes in group."""
        self.objects: object_api.ObjectApi = (
            http_object_api.make_http_object_api(store_url, STORE_TIMEOUT_S)
        )
        self.peers: list[PeerProcess] = []
        self._group = group
        self._store_url = store_url

    def live(self) -> list[PeerProcess]:
        """Return the processes that have not been stopped."""
        return [peer for peer in self.peers if not peer.stopped]

    async def start(self, index: int, regions: int, loss: float) -> None:
        """Start one process and wait until it listens."""
        contacts = [f'{HOST}:{peer.port}' for peer in self.live()[:3]]
        command = [
            sys.executable,
            '-m',
            'redwingvalve.bench.peer_process',
            f'--index={index}',
            f'--regions={regions}',
            f'--store={self._store_url}',
            f'--contacts={",".join(contacts)}',
            f'--loss={loss}',
        ]
        process = await anyio.open_process(command, stderr=subprocess.DEVNULL)
        peer = PeerProcess(process)
        self._group.start_soon(self._read, peer)
        while not peer.port:
            await anyio.sleep(POLL_S)
        self.peers.append(peer)
        await anyio.sleep(START_GAP_S)

    async def all_know(
        self, name: str, state: str, timeout_s: float
    ) -> list[float]:
        """Return when each live process knew a state; late ones are absent."""
        await self._until(
            lambda: all(
                peer.states.get(name, ('', 0.0))[0] == state
                for peer in self.live()
                if peer.name != name
            ),
            timeout_s,
        )
        return [
            peer.states[name][1]
            for peer in self.live()
            if peer.name != name and peer.states[name][0] == state
        ]

    async def all_have(
        self, kind: str, version: int, timeout_s: float
    ) -> list[float]:
        """Return when each live process had a version."""
        await self._until(
            lambda: all(
                peer.has_version(kind, version) is not None
                for peer in self.live()
            ),
            timeout_s,
        )
        found = [peer.has_version(kind, version) for peer in self.live()]
        return [at_s for at_s in found if at_s is not None]

    async def all_met(self, timeout_s: float) -> bool:
        """Wait until every process knows all live ones as alive."""
        names = {peer.name for peer in self.live()}
        return await self._until(
            lambda: all(
                names
                <= {
                    name
                    for name, (state, _) in peer.states.items()
                    if state == 'alive'
                }
                for peer in self.live()
            ),
            timeout_s,
        )

    async def costs(self) -> list[Event]:
        """Ask all live processes what they have spent."""
        wanted = {id(peer): len(peer.costs) + 1 for peer in self.live()}
        for asked in self.live():
            asked.tell(signal.SIGUSR2)
        await self._until(
            lambda: all(
                len(peer.costs) >= wanted[id(peer)] for peer in self.live()
            ),
            10.0,
        )
        return [peer.costs[-1] for peer in self.live()]

    def stop_all(self) -> None:
        """End every process."""
        for peer in self.peers:
            if peer.process.returncode is None:
                peer.process.kill()

    async def _until(
        self, condition: collections_abc.Callable[[], bool], timeout_s: float
    ) -> bool:
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                return False
            await anyio.sleep(POLL_S)
        return True

    async def _read(self, peer: PeerProcess) -> None:
        rest = b''
        async for chunk in peer.process.stdout:
            *lines, rest = (rest + chunk).split(b'\n')
            for line in lines:
                peer.take(json.loads(line))


@contextlib.asynccontextmanager
async def run_spread_fleet(
    size: int, regions: int, loss: float
) -> collections_abc.AsyncIterator[SpreadFleet]:
    """Start a store and size processes, and end them all."""
    port = ports.free_ports(1)[0]
    url = f'http://{HOST}:{port}'
    command = [sys.executable, '-m', 'redwingvalve.standins', 'object-api']
    command += [f'--port={port}', '--reads-per-s=2000', '--writes-per-s=300']
    store = await anyio.open_process(
        command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    async with anyio.create_task_group() as group:
        fleet = SpreadFleet(group, url)
        try:
            await _store_answers(fleet)
            for index in range(size):
                await fleet.start(index, regions, loss)
            yield fleet
        finally:
            fleet.stop_all()
            store.kill()
            group.cancel_scope.cancel()


async def _store_answers(fleet: SpreadFleet) -> None:
    with anyio.fail_after(STORE_START_S):
        while (await fleet.objects.list('nodes')).is_error():
            await anyio.sleep(POLL_S)


def states_seen(fleet: SpreadFleet) -> collections.Counter[str]:
    """Count the states that live processes see each other in."""
    return collections.Counter(
        peer.states.get(other.name, ('unknown', 0.0))[0]
        for peer in fleet.live()
        for other in fleet.live()
        if other is not peer
    )
