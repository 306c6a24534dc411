"""One peer node as a process of its own, for measurements of spread.

It writes a JSON line whenever its view changes, with the machine's monotonic
time, and one line of costs when it is asked to (SIGUSR2). SIGUSR1 makes it
leave, SIGTERM end.
"""

import argparse
import json
import random
import resource
import signal
import sys
import time
import typing
from collections import abc as collections_abc

import anyio
import psutil

from redwingvalve.bench import peer_fleet
from redwingvalve.core import clock
from redwingvalve.membership import node
from redwingvalve.platform_api import http_object_api
from redwingvalve.wire import call_errors, rpc

POLL_S = 0.02
STORE_TIMEOUT_S = 2.0
HALF = 0.5


class LossyCaller(rpc.PeerCaller):
    """Loses a share of messages, half of them on the way back."""

    loss: float = 0.0
    randomness: random.Random = random.Random()

    async def call(
        self,
        address: rpc.Address,
        method: str,
        argument: typing.Any,
        timeout_s: float = rpc.DEFAULT_TIMEOUT_S,
    ) -> rpc.CallResult:
        """Call, unless the question or the answer is lost."""
        lost = self.randomness.random() < 2 * self.loss
        there = self.randomness.random() < HALF
        if not lost:
            return await super().call(address, method, argument, timeout_s)
        if there:
            await super().call(address, method, argument, timeout_s)
        await anyio.sleep(timeout_s)
        return rpc.failed(call_errors.CallErrorKind.TIMEOUT, 'lost')


class Reporter:
    """Writes what changed in this process's view."""

    def __init__(self, watched: node.PeerNode) -> None:
        """Watch a node."""
        self._node = watched
        self._revision = -1
        self._states: dict[str, str] = {}
        self._versions: dict[str, int] = {}

    async def run(self) -> None:
        """Look often and write changes until cancelled."""
        while True:
            self._look()
            await anyio.sleep(POLL_S)

    def costs(self) -> None:
        """Write what this process has spent so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        traffic = self._node.caller.traffic
        _write(
            'costs',
            processor_s=usage.ru_utime + usage.ru_stime,
            sent_bytes=traffic.sent_bytes,
            received_bytes=traffic.received_bytes,
            memory_bytes=psutil.Process().memory_info().rss,
        )

    def _look(self) -> None:
        revision = self._node.members.table.statuses.revision
        if revision != self._revision:
            self._revision = revision
            self._write_states()
        versions = self._node.configuration.table.versions()
        if versions != self._versions:
            self._versions = versions
            _write('versions', versions=versions)

    def _write_states(self) -> None:
        states = {
            member.name: member.state.value
            for member in self._node.members.known()
        }
        if states != self._states:
            for name, state in states.items():
                if self._states.get(name) != state:
                    _write('member', name=name, state=state)
            self._states = states


def _write(event: str, **fields: typing.Any) -> None:
    line = {'at_s': time.monotonic(), 'event': event, **fields}
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()


async def run(arguments: argparse.Namespace) -> None:
    """Run the node until SIGTERM."""
    LossyCaller.loss = arguments.loss
    LossyCaller.randomness = random.Random(arguments.index)
    if arguments.loss:
        rpc.PeerCaller = LossyCaller
    objects = http_object_api.make_http_object_api(
        arguments.store, STORE_TIMEOUT_S
    )
    started = await node.start_peer_node(
        peer_fleet.make_member(arguments.index, arguments.regions),
        clock.make_system_clock(),
        tuple(arguments.contacts.split(',')) if arguments.contacts else (),
        objects,
        replicas_of=peer_fleet.replicas_in,
        seed=arguments.index,
    )
    name = started.members.local_member().name
    _write('listening', port=started.server.port, name=name)
    reporter = Reporter(started)
    async with anyio.create_task_group() as group:
        group.start_soon(started.run)
        group.start_soon(reporter.run)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGUSR1, signal.SIGUSR2
        ) as received:
            await _obey(received, started, reporter)
        group.cancel_scope.cancel()


async def _obey(
    received: collections_abc.AsyncIterator[signal.Signals],
    started: node.PeerNode,
    reporter: Reporter,
) -> None:
    async for number in received:
        if number == signal.SIGTERM:
            return
        if number == signal.SIGUSR1:
            started.members.leave()
        if number == signal.SIGUSR2:
            reporter.costs()


def main() -> None:
    """Read the options and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--index', type=int, required=True)
    parser.add_argument('--regions', type=int, default=1)
    parser.add_argument('--store', required=True)
    parser.add_argument('--contacts', default='')
    parser.add_argument('--loss', type=float, default=0.0)
    anyio.run(run, parser.parse_args())


if __name__ == '__main__':
    main()
