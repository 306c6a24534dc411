"""A fleet whose nodes share a few processes; store and endpoints are here.

One loop that runs 60 nodes is busy with them: on a slower machine they would
lose each other, the store and their endpoints for want of processor time.
"""

import contextlib
import multiprocessing
import time

import anyio
import attrs
from anyio import to_thread

from redwingvalve.node import daemon
from redwingvalve.node.tests import endpoint_cuts
from redwingvalve.platform.tests import fleet_harness

PROCESSES = 4
STARTED, CUT, RESTORE, STOP = range(4)


@attrs.frozen
class EndpointAddress:
    address: str


@attrs.frozen
class FleetShape:
    nodes: int
    plain: int
    engines: int


@attrs.frozen
class RemoteNode:
    settings: object


@attrs.define(eq=False)
class NodeProcess:
    """A child process with some of the nodes."""

    connection: object
    _turn: anyio.Lock = attrs.field(factory=anyio.Lock)

    async def ask(self, *command):
        """Send a command and its arguments; return the response."""
        async with self._turn:
            self.connection.send(command)
            return await to_thread.run_sync(
                self.connection.recv, abandon_on_cancel=True
            )


@attrs.frozen
class RemoteLinks:
    """The links of a node of another process to endpoints."""

    process: NodeProcess
    name: str

    def cut(self, mode, only=None):
        self.process.connection.send((CUT, self.name, mode, only))
        self.process.connection.recv()

    def restore(self):
        self.process.connection.send((RESTORE, self.name))
        self.process.connection.recv()


@attrs.define(eq=False)
class SplitFleet(fleet_harness.Fleet):
    """Nodes have settings only."""

    processes: list = attrs.field(factory=list)
    links: list = attrs.field(factory=list)

    async def wait_until_started(self):
        """Wait until all nodes know all others, endpoints and their work."""
        with anyio.fail_after(endpoint_cuts.START_TIMEOUT_S):
            while not all([await one.ask(STARTED) for one in self.processes]):
                await anyio.sleep(0.2)


@attrs.define(eq=False)
class NodeCommands:
    """Executes the commands of the parent on the nodes of this process."""

    nodes: list
    links: dict
    shape: FleetShape
    _sampled_s: float = attrs.field(factory=time.monotonic)
    _used_s: float = attrs.field(factory=time.process_time)

    def execute(self, command, *arguments):
        if command == STARTED:
            return self._have_started()
        name, *more = arguments
        if command == CUT:
            self.links[name].cut(*more)
        else:
            self.links[name].restore()
        return None

    def _have_started(self):
        """Return whether the nodes are ready, and this process idle enough."""
        now_s, used_s = time.monotonic(), time.process_time()
        share = (used_s - self._used_s) / (now_s - self._sampled_s)
        self._sampled_s, self._used_s = now_s, used_s
        is_idle = share < endpoint_cuts.MAX_PROCESSOR_SHARE
        return is_idle and all(self._is_ready(node) for node in self.nodes)

    def _is_ready(self, node):
        if not node.is_listening:
            return False
        known = node.peers.known.values()
        plain = node.table.find_targets(fleet_harness.PLAIN_SERVICE, '')
        replicas = node.table.find_targets(
            fleet_harness.ENGINE_SERVICE, fleet_harness.SMALL_MODEL
        )
        return (
            len(known) == self.shape.nodes - 1
            and not any(one.is_down for one in known)
            and len(plain) == self.shape.plain
            and len(replicas) == self.shape.engines // 2
        )


async def _run_nodes(connection, node_settings, endpoints, shape):
    nodes = [daemon.make_node(one) for one in node_settings]
    links = {
        node.settings.vm: endpoint_cuts.NodeLinks(node, endpoints)
        for node in nodes
    }
    commands = NodeCommands(nodes, links, shape)
    async with anyio.create_task_group() as group:
        for node in nodes:
            group.start_soon(node.run, anyio.Event())
        while True:
            command = await to_thread.run_sync(connection.recv)
            if command[0] == STOP:
                group.cancel_scope.cancel()
                return
            connection.send(commands.execute(*command))


def _run_process(*arguments):
    # The parent has ended.
    with contextlib.suppress(EOFError):
        anyio.run(_run_nodes, *arguments)


@contextlib.contextmanager
def _started_process(*arguments):
    context = multiprocessing.get_context('spawn')
    here, there = context.Pipe()
    child = context.Process(
        target=_run_process, args=(there, *arguments), daemon=True
    )
    child.start()
    there.close()
    try:
        yield NodeProcess(here)
    finally:
        # A child that has ended is no reason to hide the test's own failure.
        with contextlib.suppress(OSError):
            here.send((STOP,))
        child.join(5)
        child.kill()
        child.join()


@contextlib.asynccontextmanager
async def running(nodes, engines, plain, data_centres):
    """Yield a fleet once its processes run; nodes may still be starting."""
    async with fleet_harness.running(
        nodes=0, engines=engines, plain=plain
    ) as inner:
        fleet = SplitFleet(inner.store, inner.store_address, inner.endpoints)
        all_settings = [
            fleet_harness.node_settings(
                f'node-{number}',
                fleet.store_address,
                data_centre=f'zone-{number % data_centres + 1}',
            )
            for number in range(nodes)
        ]
        fleet.nodes = [RemoteNode(one) for one in all_settings]
        fleet.links = [None] * nodes
        addresses = {
            name: EndpointAddress(one.address)
            for name, one in fleet.endpoints.items()
        }
        shape = FleetShape(nodes, plain, engines)
        with contextlib.ExitStack() as stack:
            for first in range(PROCESSES):
                process = stack.enter_context(
                    _started_process(
                        all_settings[first::PROCESSES], addresses, shape
                    )
                )
                fleet.processes.append(process)
                for index in range(first, nodes, PROCESSES):
                    name = all_settings[index].vm
                    fleet.links[index] = RemoteLinks(process, name)
            yield fleet


def run(test, **shape):
    """Run an async test function with a fleet; shape as for running()."""

    async def main():
        with anyio.fail_after(fleet_harness.TIME_LIMIT_S):
            async with running(**shape) as fleet:
                await test(fleet)

    anyio.run(main)
